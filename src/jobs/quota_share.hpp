#pragma once
// This member's share of the teams' quotas: what it holds, uses and requests.
#include <map>

#include "cluster/message_bus.hpp"
#include "jobs/team_limits.hpp"
#include "messages/quota.hpp"

namespace limemast::jobs {
/// The quota that this member holds for each limited team. The leader grants totals. The member
/// lowers what it holds before it reports the reduction, and the leader counts the higher amount
/// until the report arrives, so the sum over all members never exceeds a limit. Only CPUs and
/// accelerators are counted. Not thread-safe; all calls come from the event loop.
class QuotaShare {
 public:
  /// All arguments must outlive the share. Subscribes to `QuotaGrant`. `heartbeat_interval`: of the
  /// machines, which repeat a refused pull with their next heartbeat.
  QuotaShare(net::Runtime& runtime, const TeamLimits& limits, cluster::Membership& membership,
             cluster::MessageBus& message_bus, net::Duration heartbeat_interval);

  /// Whether the quota held covers `need` in addition to what is used. If not, the wanted amount
  /// grows, and a demand may be sent to the leader at once. `waiting`: the number of pending tasks
  /// of this kind, including this one.
  bool may_use(const std::string& team, const wire::Resources& need, std::uint32_t waiting);
  /// Sets what all pending tasks of each team need in total. Replaces the previous value.
  void set_pending_demand(std::map<std::string, wire::Resources> demand) {
    pending_demand_ = std::move(demand);
  }
  /// Counts the resources of an assigned task as used. Does not check that the quota covers them.
  void use(const std::string& team, const wire::Resources& need);
  /// Counts the resources of a task as free again.
  void release(const std::string& team, const wire::Resources& need);

  /// Gives up quota that is held but neither used nor wanted, reports to the leader, and resets
  /// wanted amounts that have expired. The next refused tasks raise them again.
  void release_unneeded_and_report();
  /// Returns true if the epoch has another leader than the last one seen here.
  bool on_epoch_changed();

  /// The quota held for the team; zero if the team was never seen here.
  wire::Resources held(const std::string& team) const;
  /// Raises the quota held for each team to at least the amount used, and returns the result by
  /// team. Called on the leader once all tasks that lost members had assigned are known.
  std::map<std::string, wire::Resources> raise_held_to_used();

 private:
  struct TeamShare {
    wire::Resources used;
    wire::Resources held;
    wire::Resources wanted;  ///< in total, like `held`
    net::Time wanted_at{};   ///< when a refused task last raised `wanted`
  };
  /// Raises the amount wanted for the team after a task of it was refused.
  void raise_wanted(const std::string& team, const wire::Resources& limit,
                    const wire::Resources& need, std::uint32_t waiting);
  /// Whether the refused tasks of the team may still be pulled again.
  bool still_wanted(const std::string& team, const TeamShare& share) const;
  void send_demand();
  void on_grant(const cluster::ControllerId& from, const messages::QuotaGrant& grant);

  net::Runtime& runtime_;
  const TeamLimits& limits_;
  cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  std::map<std::string, TeamShare> teams_;
  std::map<std::string, wire::Resources> pending_demand_;
  cluster::ControllerId last_leader_;  ///< the leader that `last_serial_` refers to
  std::uint64_t last_serial_ = 0;      ///< of the newest applied grant; 0: none from this leader
  net::Time demand_sent_at_{};
  const net::Duration wanted_retention_;
};
}  // namespace limemast::jobs

#pragma once
// A member's part of the teams' quotas: what it may use, uses and asks for.
#include <map>

#include "cluster/message_bus.hpp"
#include "jobs/team_limits.hpp"
#include "messages/quota.hpp"

namespace limemast::jobs {
/// What this member holds of each limited team's quota. The leader grants totals; the member
/// lowers what it holds before it tells the leader so, and the leader counts the higher amount
/// until then: the sum over the members never exceeds a limit. Of the resources CPUs and
/// accelerators count. Not thread-safe; all calls come from the event loop.
class QuotaShare {
 public:
  /// All arguments must outlive the share. Subscribes to `QuotaGrant`.
  QuotaShare(net::Runtime& runtime, const TeamLimits& limits, cluster::Membership& membership,
             cluster::MessageBus& message_bus);

  /// True if what is held covers `need` beside what is used. If it does not, the demand grows and
  /// may be sent to the leader at once. `waiting`: the tasks of this kind that wait, this one
  /// included.
  bool may_use(const std::string& team, const wire::Resources& need, std::uint32_t waiting);
  /// What all waiting tasks of each team need together. It replaces the last such statement.
  void set_pending_demand(std::map<std::string, wire::Resources> waiting) {
    pending_demand_ = std::move(waiting);
  }
  /// Counts a task that was assigned. Does not check that it is covered.
  void use(const std::string& team, const wire::Resources& need);
  /// Counts a task's resources as free again.
  void release(const std::string& team, const wire::Resources& need);

  /// Gives up what is held and neither used nor wanted, tells the leader, and forgets what was
  /// wanted: it is asked for anew by the next tasks that are refused.
  void release_unneeded_and_report();
  /// True if the epoch has another leader than the last one seen here.
  bool on_epoch_changed();

  /// What is held of the team's quota; nothing if the team was never seen here.
  wire::Resources held(const std::string& team) const;
  /// Raises what is held to what is used, and returns what is then held of each team's quota. For
  /// a leader that has just found what lost members had assigned.
  std::map<std::string, wire::Resources> raise_held_to_used();

 private:
  struct TeamShare {
    wire::Resources used;
    wire::Resources held;
    wire::Resources wanted;  ///< a total, as `held` is
  };
  /// Raises what is wanted of the team's quota, as a refused task needs it.
  void raise_wanted(const std::string& team, const wire::Resources& limit,
                    const wire::Resources& need, std::uint32_t waiting);
  void send_demand();
  void on_grant(const cluster::ControllerId& from, const messages::QuotaGrant& grant);

  net::Runtime& runtime_;
  const TeamLimits& limits_;
  cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  std::map<std::string, TeamShare> teams_;
  std::map<std::string, wire::Resources> pending_demand_;
  cluster::ControllerId last_leader_;  ///< whose grants `last_serial_` counts
  std::uint64_t last_serial_ = 0;      ///< of the newest grant applied; 0: none of this leader
  net::Time demand_sent_at_{};
};
}  // namespace limemast::jobs

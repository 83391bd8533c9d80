#pragma once
// The leader's table of what each member was granted of the teams' quotas.
#include <map>

#include "cluster/message_bus.hpp"
#include "jobs/orphaned_usage.hpp"
#include "jobs/quota_share.hpp"
#include "jobs/team_limits.hpp"
#include "messages/quota.hpp"

namespace limemast::jobs {
/// Grants the members shares of the teams' limits while this controller leads. After a change of
/// the leader, or the loss of a member, nothing more is granted until every member has said what
/// it holds and all running tasks are known: what was granted before must be found again. Not
/// thread-safe; all calls come from the event loop.
class QuotaAllocator {
 public:
  /// All arguments must outlive the allocator. `own_share`: this controller's. Subscribes to
  /// `QuotaDemand`.
  QuotaAllocator(net::Runtime& runtime, const TeamLimits& limits, cluster::Membership& membership,
                 cluster::MessageBus& message_bus, QuotaShare& own_share);

  /// What runs on machines and is counted by no owner: it is not granted.
  void set_orphaned_usage(OrphanedUsage orphaned_usage) {
    orphaned_usage_ = std::move(orphaned_usage);
  }
  /// Ends the recovery once it may. `all_tasks_known`: every task that may run is known to an
  /// owner, or counted as orphaned usage.
  void finish_recovery_if_complete(bool all_tasks_known);
  /// `leader_changed`: the new epoch has another leader than the one before.
  void on_epoch_changed(bool leader_changed);
  /// The newest epoch that lost a member, or got another leader.
  ids::EpochNumber recovery_epoch() const { return recovery_epoch_; }
  /// This controller leads, and grants nothing more until the recovery has ended.
  bool recovering() const { return membership_.is_leader() && !recovery_finished_; }

 private:
  struct MemberGrants {
    std::uint64_t serial = 0;   ///< of the last grant
    bool reported = false;      ///< it has said what it holds
    net::Time grant_sent_at{};  ///< the last one
    std::map<std::string, wire::Resources> granted;
  };
  bool all_members_reported() const;
  void on_demand(const cluster::ControllerId& from, const messages::QuotaDemand& demand);
  /// Takes what the member says it holds, and grants of what it wants as much as is free; true if
  /// that is anything.
  bool apply_demand(const cluster::ControllerId& from, MemberGrants& member,
                    const messages::QuotaDemand& demand);
  /// What is left of the team's limit.
  wire::Resources free_quota(const std::string& team, const wire::Resources& limit) const;
  void send_grant(const cluster::ControllerId& to, MemberGrants& member);

  net::Runtime& runtime_;
  const TeamLimits& limits_;
  cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  QuotaShare& own_share_;
  OrphanedUsage orphaned_usage_;
  std::map<cluster::ControllerId, MemberGrants> members_;
  bool recovery_finished_ = false;
  ids::EpochNumber recovery_epoch_{};
};
}  // namespace limemast::jobs

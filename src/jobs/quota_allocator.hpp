#pragma once
// The leader's record of the quota that each member was granted.
#include <map>

#include "cluster/message_bus.hpp"
#include "jobs/orphaned_usage.hpp"
#include "jobs/quota_share.hpp"
#include "jobs/team_limits.hpp"
#include "messages/quota.hpp"

namespace limemast::jobs {
/// Grants the members shares of the teams' limits while this controller leads. After a change of
/// leader or the loss of a member, earlier grants must be reconstructed: nothing is granted until
/// every member has reported what it holds and all running tasks are known. Not thread-safe; all
/// calls come from the event loop.
class QuotaAllocator {
 public:
  /// All arguments must outlive the allocator. `own_share`: the share of this controller.
  /// Subscribes to `QuotaDemand`.
  QuotaAllocator(net::Runtime& runtime, const TeamLimits& limits, cluster::Membership& membership,
                 cluster::MessageBus& message_bus, QuotaShare& own_share);

  /// Sets the resources that are used on machines and counted by no owner. They are not granted to
  /// any member.
  void set_orphaned_usage(OrphanedUsage orphaned_usage) {
    orphaned_usage_ = std::move(orphaned_usage);
  }
  /// Ends the recovery if every member has reported and `all_tasks_known` is true: every task that
  /// may run is known to an owner or counted as orphaned usage.
  void finish_recovery_if_complete(bool all_tasks_known);
  /// To be called for each new epoch. `leader_changed`: it has another leader than the epoch
  /// before.
  void on_epoch_changed(bool leader_changed);
  /// The newest epoch in which a member was lost or the leader changed.
  ids::EpochNumber recovery_epoch() const { return recovery_epoch_; }
  /// Whether this controller leads and withholds grants until the recovery has ended.
  bool recovering() const { return membership_.is_leader() && !recovery_finished_; }

 private:
  struct MemberGrants {
    std::uint64_t serial = 0;   ///< of the last grant
    bool reported = false;      ///< the member has reported what it holds
    net::Time grant_sent_at{};  ///< when the last grant was sent
    std::map<std::string, wire::Resources> granted;
  };
  bool all_members_reported() const;
  void on_demand(const cluster::ControllerId& from, const messages::QuotaDemand& demand);
  /// Stores what the member reports to hold, and grants what it requests as far as quota is free.
  /// Returns true if anything was granted.
  bool apply_demand(const cluster::ControllerId& from, MemberGrants& member,
                    const messages::QuotaDemand& demand);
  /// The part of the team's limit that is neither granted nor used by orphaned tasks.
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

#pragma once
// The teams' resource limits, divided among the members of the cluster.
#include <map>

#include "jobs/orphaned_usage.hpp"
#include "jobs/quota_allocator.hpp"
#include "jobs/quota_share.hpp"
#include "jobs/team_limits.hpp"

namespace limemast::jobs {
using wire::Resources;

/// The quotas as the job owner uses them: this member's share, and the leader's allocator, which
/// works only while this controller leads.
class Quota {
 public:
  /// All arguments must outlive the quota.
  Quota(net::Runtime& runtime, const wire::Settings& settings, cluster::Membership& membership,
        cluster::MessageBus& message_bus)
      : membership_(membership),
        limits_(settings),
        share_(runtime, limits_, membership, message_bus,
               net::to_duration(settings.heartbeat_interval)),
        allocator_(runtime, limits_, membership, message_bus, share_) {}

  /// Whether a task of the team may be assigned now. If not, more quota is requested from the
  /// leader. `waiting`: the number of pending tasks of this kind, including this one.
  bool may_use(const std::string& team, const Resources& need, std::uint32_t waiting = 1) {
    return share_.may_use(team, need, waiting);
  }
  /// Sets what all pending tasks of each team need in total. The next refused task requests quota
  /// for all of them at once, which saves many round trips.
  void set_pending_demand(std::map<std::string, Resources> demand) {
    share_.set_pending_demand(std::move(demand));
  }
  /// Sets the resources that are used on machines and counted by no owner. They are not granted to
  /// any member.
  void set_orphaned_usage(OrphanedUsage orphaned_usage) {
    allocator_.set_orphaned_usage(std::move(orphaned_usage));
  }
  /// Counts the resources of an assigned or adopted task as used.
  void use(const std::string& team, const Resources& need) { share_.use(team, need); }
  /// Counts the resources of a task as free again.
  void release(const std::string& team, const Resources& need) { share_.release(team, need); }

  /// Returns unneeded quota to the leader and requests missing quota. To be called once a second.
  /// `all_tasks_known`: every task that may run is known to an owner or counted as orphaned usage.
  void tick(bool all_tasks_known) {
    if (!membership_.may_act()) return;
    allocator_.finish_recovery_if_complete(all_tasks_known);
    share_.release_unneeded_and_report();
  }
  /// To be called when the membership epoch has changed.
  void on_epoch_changed() { allocator_.on_epoch_changed(share_.on_epoch_changed()); }
  /// The newest epoch in which a member was lost or the leader changed. Earlier grants must be
  /// reconstructed.
  ids::EpochNumber recovery_epoch() const { return allocator_.recovery_epoch(); }
  /// Whether this controller leads and withholds grants until all earlier ones are reconstructed.
  bool recovering() const { return allocator_.recovering(); }
  /// Whether the use of any team is limited. Constant.
  bool any_limited() const { return limits_.any_limited(); }

 private:
  cluster::Membership& membership_;
  TeamLimits limits_;
  QuotaShare share_;
  QuotaAllocator allocator_;
};

}  // namespace limemast::jobs

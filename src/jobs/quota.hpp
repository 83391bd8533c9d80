#pragma once
// The teams' limits, shared out among the members of the cluster.
#include <map>

#include "jobs/orphaned_usage.hpp"
#include "jobs/quota_allocator.hpp"
#include "jobs/quota_share.hpp"
#include "jobs/team_limits.hpp"

namespace limemast::jobs {
using wire::Resources;

/// What a job owner needs of the quotas: this member's share, and the leader's allocator, which
/// works only while this controller leads.
class Quota {
 public:
  /// All arguments must outlive the quota.
  Quota(net::Runtime& runtime, const wire::Settings& settings, cluster::Membership& membership,
        cluster::MessageBus& message_bus)
      : membership_(membership),
        limits_(settings),
        share_(runtime, limits_, membership, message_bus),
        allocator_(runtime, limits_, membership, message_bus, share_) {}

  /// True if a task of the team may be assigned now; if not, the leader is asked for more.
  /// `waiting`: the tasks of this kind that wait, this one included.
  bool may_use(const std::string& team, const Resources& need, std::uint32_t waiting = 1) {
    return share_.may_use(team, need, waiting);
  }
  /// What all waiting tasks of each team need together, as of now: it is demanded at once, so that
  /// a thousand tasks do not take a hundred round trips.
  void set_pending_demand(std::map<std::string, Resources> waiting) {
    share_.set_pending_demand(std::move(waiting));
  }
  /// What runs on machines and is counted by no owner: it is not granted.
  void set_orphaned_usage(OrphanedUsage orphaned_usage) {
    allocator_.set_orphaned_usage(std::move(orphaned_usage));
  }
  /// Counts a task that was assigned, or found running.
  void use(const std::string& team, const Resources& need) { share_.use(team, need); }
  /// Counts a task's resources as free again.
  void release(const std::string& team, const Resources& need) { share_.release(team, need); }

  /// To be called once a second: returns what is not needed and asks for what is.
  /// `all_tasks_known`: all that runs since `recovery_epoch()` is known here.
  void tick(bool all_tasks_known) {
    if (!membership_.may_act()) return;
    allocator_.finish_recovery_if_complete(all_tasks_known);
    share_.release_unneeded_and_report();
  }
  /// The membership has a new epoch.
  void on_epoch_changed() { allocator_.on_epoch_changed(share_.on_epoch_changed()); }
  /// The newest epoch that lost a member, or got another leader: what was granted before it must
  /// be found again.
  ids::EpochNumber recovery_epoch() const { return allocator_.recovery_epoch(); }
  /// This controller leads, and grants nothing more until what was granted before is found.
  bool recovering() const { return allocator_.recovering(); }
  /// Some team's use is limited; otherwise quotas restrict nothing. Constant.
  bool any_limited() const { return limits_.any_limited(); }

 private:
  cluster::Membership& membership_;
  TeamLimits limits_;
  QuotaShare share_;
  QuotaAllocator allocator_;
};

}  // namespace limemast::jobs

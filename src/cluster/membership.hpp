#pragma once
// This controller's membership: which actions it may take, and which controllers are members.
#include <functional>
#include <vector>

#include "cluster/epoch_tracker.hpp"
#include "cluster/keys.hpp"
#include "cluster/leader_election.hpp"
#include "cluster/lease_keeper.hpp"
#include "cluster/startup_timeline.hpp"

namespace limemast::cluster {
/// The store is considered unavailable after this long without a successful lease renewal.
constexpr std::chrono::seconds kStoreUnavailableAfter{4};

/// Membership interface for the other actors. Combines this controller's lease (LeaseKeeper), the
/// current epoch (EpochTracker) and the election (LeaderElection).
class Membership {
 public:
  struct Events {
    std::function<void()> epoch_changed;  ///< called when a new epoch is in force
    std::function<void()> stepped_down;   ///< called when the lease is lost; no state of this
                                          ///< instance may be used afterwards
  };
  /// All arguments must outlive this object.
  Membership(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
             store::WatchCache& watch_cache);
  void start(Events events);
  /// Must be called with each batch of watch cache changes.
  void on_changes(const std::vector<store::Change>& changes);

  const MembershipEpoch& epoch() const { return epoch_.epoch(); }
  /// Id of this controller's incarnation; empty until it is registered.
  const ControllerId& self() const { return lease_keeper_.self(); }
  bool is_member(const ControllerId& controller) const { return epoch_.is_member(controller); }
  /// Returns the member with this label, or the empty id.
  ControllerId member_with_label(const std::string& label) const;

  /// True if this controller may act as a member: its lease is valid, its watch cache is recent
  /// enough, and the current epoch includes it. Only this controller renews the leases of its
  /// workers, so a task that others cancel while this controller is isolated ends within the cancel
  /// timeout.
  bool may_act() const;
  /// True if this controller may act and is the leader.
  bool is_leader() const;
  /// True if this controller may act and renewed its lease so recently that it is certain to still
  /// be a member, even if it is being evicted at this moment. Without this certainty, users may
  /// only be given final states from memory.
  bool lease_certain() const;
  /// True if a lease renewal succeeded within kStoreUnavailableAfter.
  bool store_available() const;
  /// When the last successful renewal was sent.
  net::Time last_lease_renewal() const { return lease_keeper_.last_renewal(); }
  store::LeaseId lease() const { return lease_keeper_.lease(); }
  /// Longest time for which an isolated controller continues to act.
  net::Duration lease_ttl() const { return lease_keeper_.lease_ttl(); }

  /// True if the current epoch dropped a member of the previous one.
  bool lost_member() const { return epoch_.lost_member(); }
  /// When this controller last observed the first epoch or an epoch that dropped a member.
  net::Time last_member_loss() const { return epoch_.last_member_loss(); }
  /// From this time on, no dropped member answers user queries from memory. Jobs taken over from
  /// one must not end before.
  net::Time lost_members_silent_from() const { return epoch_.lost_members_silent_from(); }
  /// First epoch of the current leader's uninterrupted term.
  ids::EpochNumber leader_since_epoch() const { return epoch_.leader_since_epoch(); }

  /// Returns `own` extended by the conditions that this controller's epoch and member key are
  /// unchanged, for every transaction that it sends. `own` must contain each written key with the
  /// revision last read. Within one incarnation and epoch, only these conditions prevent an
  /// unanswered transaction from being executed after newer ones.
  std::vector<store::Compare> ownership_guards(std::vector<store::Compare> own) const;
  /// Gives up membership and restarts as a new incarnation, as after a lost lease.
  void step_down() { lease_keeper_.mark_lost(); }
  /// When each startup phase was reached; Time{} for phases not reached yet.
  const StartupTimeline::Times& startup_times() const { return timeline_.times(); }

 private:
  void on_epoch_advanced(const ControllerId& previous_leader);
  net::Time valid_until() const;

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  store::Client& client_;
  store::WatchCache& watch_cache_;
  Events events_;
  StartupTimeline timeline_;
  LeaseKeeper lease_keeper_;
  EpochTracker epoch_;
  LeaderElection election_;
};
}  // namespace limemast::cluster

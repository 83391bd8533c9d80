#pragma once
// Detection and eviction of controllers that have failed.
#include <map>
#include <string>
#include <vector>

#include "cluster/membership.hpp"
#include "cluster/message_bus.hpp"
#include "cluster/suspicion_state.hpp"
#include "failure_detection/failure_detector.hpp"

namespace limemast::cluster {
/// Evicts failed members by suspicion, refutation and confirmation, as in SWIM (Das et al., 2002),
/// with the key-value store in place of gossip:
///
/// 1. Suspicion. The leader writes a suspicion record (`w/suspect/<label>`) for a member that the
///    failure detector reports; any member does so for the leader. The suspect receives no new work
///    while the record exists.
/// 2. Refutation. A suspect that is alive and reaches the store deletes the record, at the cost of
///    two writes. The author withdraws the suspicion if it receives heartbeats of the suspect
///    again.
/// 3. Confirmation. If the record exists for longer than the refutation timeout, its author changes
///    it into an eviction, on the condition that it was not deleted. An eviction cannot be refuted.
/// 4. Revocation. The suspect's lease is revoked only after the confirmation. This deletes its
///    member key, and the leader writes an epoch without it, as after a lease expiry.
///
/// Invariants, enforced by transaction conditions and independent of clocks:
/// - Only the lease of an evicted controller is revoked.
/// - An eviction only replaces a suspicion that the suspect could have refuted and did not.
/// - Evictions are written only by members that may act: by the leader, or by any member if the
///   suspect is the leader. Nobody is suspected or evicted during a store outage.
class MemberEviction {
 public:
  /// All arguments must outlive this object.
  MemberEviction(net::Runtime& runtime, store::Client& client, store::WatchCache& watch_cache,
                 Membership& membership, MessageBus& message_bus);
  void start();
  /// Must be called with each batch of changes, after Membership has processed it.
  void on_changes(const std::vector<store::Change>& changes);
  void on_epoch_changed();
  /// True if any controller suspects or has evicted `controller`, which should then receive no new
  /// work.
  bool is_suspected(const ControllerId& controller) const;
  const failure_detection::FailureDetector& failure_detector() const { return detector_; }

  struct Counts {
    std::uint64_t suspicions = 0;       ///< raised by this controller
    std::uint64_t withdrawn = 0;        ///< of those, withdrawn because heartbeats arrived again
    std::uint64_t refuted = 0;          ///< of those, refuted by the suspect
    std::uint64_t evictions = 0;        ///< written by this controller
    std::uint64_t own_refutations = 0;  ///< sent against suspicions of this controller
  };
  const Counts& counts() const { return counts_; }

 private:
  void tick();
  void send_heartbeat(net::Time now);
  void on_suspicion_removed(const std::string& label, bool raised_here);
  /// Returns false if this controller stepped down because it was evicted.
  bool on_suspicion_written(const std::string& label, const std::string& key);
  void advance(const std::string& label, SuspicionState& suspicion, net::Time now);
  void raise_next_suspicion(net::Time now);
  void raise_suspicion(const ControllerId& controller);
  void refute(SuspicionState& suspicion);
  void withdraw(const std::string& label, SuspicionState& suspicion);
  void remove_record(const std::string& label, const std::vector<store::Compare>& guards);
  void evict(const std::string& label, SuspicionState& suspicion);
  void revoke_lease(const std::string& label, SuspicionState& suspicion);
  /// Clears the request in flight about the suspicion of `label`. Returns nullptr if that suspicion
  /// no longer exists.
  SuspicionState* request_answered(const std::string& label);
  bool may_evict(const ControllerId& controller) const;
  /// Returns the registered incarnation, or the empty id.
  ControllerId registered_incarnation(const std::string& label) const;
  store::Compare registration_guard(const std::string& label) const;

  net::Runtime& runtime_;
  store::Client& client_;
  store::WatchCache& watch_cache_;
  Membership& membership_;
  MessageBus& message_bus_;
  failure_detection::FailureDetector detector_;
  std::map<std::string, SuspicionState> suspicions_;  ///< by the suspect's label
  /// When this controller raised a suspicion that the watch cache does not show yet, by label.
  std::map<std::string, net::Time> raised_at_;
  Counts counts_;
  bool heartbeat_this_check_ = false;  ///< toggled at every check, so every second one sends
};
}  // namespace limemast::cluster

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
/// Evicts failed members by suspicion, refutation and confirmation, as SWIM does (Das et al.,
/// 2002), with the key-value store as the medium in place of gossip:
///
/// 1. Suspicion. A member that the failure detector reports is written down as a suspect
///    (`w/suspect/<label>`). Nothing new is given to it meanwhile.
/// 2. Refutation. A suspect that lives and reaches the store deletes the record; nothing is lost
///    but two writes. The author withdraws its suspicion if it hears the suspect again.
/// 3. Confirmation. If the record stands for longer than the refutation timeout, it is changed into
///    an eviction, on the condition that it was not deleted. From then on it cannot be refuted.
/// 4. Only then is the suspect's lease revoked. Its member key goes with the lease, and the leader
///    writes an epoch without it, as if the lease had expired by itself.
///
/// Invariants, all of them kept by conditions of the store's transactions and none by time:
/// - no lease is revoked but that of an evicted controller;
/// - an eviction is written only over a suspicion that its subject could have refuted and did not;
/// - evictions are written by members that may act: by the leader, or where the leader is the
///   suspect by any of them. During an outage of the store nobody is suspected or evicted.
class MemberEviction {
 public:
  /// All arguments must outlive it.
  MemberEviction(net::Runtime& runtime, store::Client& client, store::WatchCache& watch_cache,
                 Membership& membership, MessageBus& message_bus);
  void start();
  /// To be called with each batch of changes, after the membership has read it.
  void on_changes(const std::vector<store::Change>& changes);
  void on_epoch_changed();
  /// Some controller suspects it, or has evicted it: nothing new should be given to it.
  bool is_suspected(const ControllerId& controller) const;
  const failure_detection::FailureDetector& failure_detector() const { return detector_; }

  struct Counts {
    std::uint64_t suspicions = 0;       ///< raised by this controller
    std::uint64_t withdrawn = 0;        ///< of those, taken back as the suspect was heard again
    std::uint64_t refuted = 0;          ///< of those, refuted by the suspect
    std::uint64_t evictions = 0;        ///< written by this controller
    std::uint64_t own_refutations = 0;  ///< sent against suspicions of this controller
  };
  const Counts& counts() const { return counts_; }

 private:
  void tick();
  void send_heartbeat(net::Time now);
  void on_suspicion_removed(const std::string& label, bool raised_here);
  /// False if this controller has stepped down, being evicted.
  bool on_suspicion_written(const std::string& label, const std::string& key);
  void advance(const std::string& label, SuspicionState& suspicion, net::Time now);
  void suspect_one(net::Time now);
  void suspect(const ControllerId& controller);
  void refute(SuspicionState& suspicion);
  void withdraw(const std::string& label, SuspicionState& suspicion);
  void remove_record(const std::string& label, const std::vector<store::Compare>& guards);
  void evict(const std::string& label, SuspicionState& suspicion);
  void revoke_lease(const std::string& label, SuspicionState& suspicion);
  /// The request about this suspicion was answered; null if the suspicion is over.
  SuspicionState* request_answered(const std::string& label);
  bool may_evict(const ControllerId& controller) const;
  /// The incarnation that is registered now, or the empty id.
  ControllerId registered(const std::string& label) const;
  store::Compare registration_guard(const std::string& label) const;

  net::Runtime& runtime_;
  store::Client& client_;
  store::WatchCache& watch_cache_;
  Membership& membership_;
  MessageBus& message_bus_;
  failure_detection::FailureDetector detector_;
  std::map<std::string, SuspicionState> suspicions_;  ///< by the suspect's label
  /// When this controller raised a suspicion, until the watch cache shows it.
  std::map<std::string, net::Time> raised_;
  Counts counts_;
  bool heartbeat_due_ = false;  ///< alternates: a heartbeat is sent at every other tick
};
}  // namespace limemast::cluster

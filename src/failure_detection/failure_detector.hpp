#pragma once
// Failure detection between controllers, based on heartbeats and on whether the store serves them.
#include <map>
#include <set>

#include "failure_detection/phi_accrual.hpp"
#include "ids/controller_id.hpp"

namespace limemast::failure_detection {
/// Health of another controller as observed by this one, from best to worst.
enum class PeerHealth {
  Alive,
  Slow,              ///< late, but within the variation of its heartbeats
  Partitioned,       ///< its heartbeats reach another controller but not this one
  StoreUnavailable,  ///< sends heartbeats, but the store serves this controller and not the peer
  Silent             ///< no reachable controller receives its heartbeats
};
/// Returns the name for log messages.
const char* name_of(PeerHealth health);

/// Detects failed controllers from heartbeats with a phi accrual detector, which adapts to the
/// observed intervals, and Lifeguard's local health, which compensates for delays of the observer
/// itself. Performs no I/O: the caller passes in heartbeats and time and acts on suspicions
/// (cluster::MemberEviction).
///
/// A suspect may refute the suspicion. It is then suspected again only after a delay, which doubles
/// with each refutation until the count expires, because its earlier silence was a false positive.
class FailureDetector {
 public:
  explicit FailureDetector(net::Duration heartbeat_interval)
      : heartbeat_interval_(heartbeat_interval) {}

  /// Sets the controllers to observe. State about all others is discarded.
  void set_members(const std::set<ids::ControllerId>& members, net::Time now);
  /// Records a heartbeat. `store_available` is whether the store serves its sender, and `reachable`
  /// are the controllers whose heartbeats the sender receives. Heartbeats of controllers that are
  /// not observed are ignored.
  void record_heartbeat(const ids::ControllerId& from, bool store_available,
                        std::set<ids::ControllerId> reachable, net::Time now);
  /// Must be called twice per heartbeat interval. `store_available` is whether the store serves
  /// this controller.
  void tick(bool store_available, net::Time now);
  /// Records that a controller refuted a suspicion about it.
  void record_refutation(const ids::ControllerId& controller, net::Time now);

  /// Returns Silent for a controller that is not observed.
  PeerHealth health(const ids::ControllerId& controller, net::Time now) const;
  /// True if the controller appears to have failed and a suspicion should be raised.
  bool should_suspect(const ids::ControllerId& controller, net::Time now) const;
  /// Returns how long a suspect may take to refute a suspicion.
  net::Duration refutation_timeout(const ids::ControllerId& controller) const;
  /// Returns the controllers whose heartbeats this controller receives.
  std::set<ids::ControllerId> reachable_peers(net::Time now) const;
  const LocalHealth& local_health() const { return local_health_; }

 private:
  struct Peer {
    PhiAccrualEstimator arrivals;
    bool store_available = true;
    net::Time store_unavailable_since{};
    std::set<ids::ControllerId> reachable;  ///< controllers whose heartbeats it receives
    unsigned refutations = 0;
    net::Time suspect_not_before{};  ///< no new suspicion before this time, because of a refutation
    net::Time refutation_count_expires_at{};  ///< when `refutations` is reset
  };
  bool reachable_from_others(const ids::ControllerId& controller, net::Time now) const;

  net::Duration heartbeat_interval_;
  std::map<ids::ControllerId, Peer> peers_;
  LocalHealth local_health_;
  net::Time last_check_{};
  net::Time store_available_since_{};  ///< start of the current uninterrupted availability to this
                                       ///< controller
  bool store_available_ = false;
};
}  // namespace limemast::failure_detection

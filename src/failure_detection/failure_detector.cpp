#include "failure_detection/failure_detector.hpp"

#include <algorithm>

namespace limemast::failure_detection {
namespace {
using namespace std::chrono_literals;
constexpr double kSuspectPhi = 8;
constexpr double kSlowPhi = 1;
/// A controller is not suspected before this many heartbeat intervals of silence.
constexpr int kMinMissedHeartbeats = 3;
/// Number of heartbeat intervals during which the store must have served this controller and not
/// the peer.
constexpr int kMinUnavailableHeartbeats = 2;
/// Minimum time for a suspect to see the record in its watch cache and delete it.
constexpr auto kMinRefutationTime = 2s;
/// Multiple of a peer's heartbeat spread that is added to its refutation timeout.
constexpr double kRefutationSpreadFactor = 4;
constexpr auto kInitialResuspicionDelay = 4s;
constexpr unsigned kMaxDelayDoublings = 4;
constexpr auto kRefutationHistoryDuration = 120s;
/// Ticks occur twice per heartbeat interval. A longer gap, in heartbeat intervals, means that this
/// process was suspended.
constexpr double kSuspensionIntervals = 1.5;
constexpr int kSuspensionPenalty = 3;
constexpr int kStoreUnavailablePenalty = 1;
}  // namespace

const char* name_of(PeerHealth health) {
  switch (health) {
    case PeerHealth::Alive:
      return "alive";
    case PeerHealth::Slow:
      return "slow";
    case PeerHealth::Partitioned:
      return "partitioned from this controller";
    case PeerHealth::StoreUnavailable:
      return "not served by the key-value store";
    case PeerHealth::Silent:
      return "silent";
  }
  return "";
}

void FailureDetector::set_members(const std::set<ids::ControllerId>& members, net::Time now) {
  std::erase_if(peers_, [&](const auto& entry) { return !members.contains(entry.first); });
  for (const auto& controller : members)
    peers_.try_emplace(
        controller, Peer{PhiAccrualEstimator(heartbeat_interval_, now), true, {}, {}, 0, {}, {}});
}

void FailureDetector::record_heartbeat(const ids::ControllerId& from, bool store_available,
                                       std::set<ids::ControllerId> reachable, net::Time now) {
  const auto it = peers_.find(from);
  if (it == peers_.end()) return;
  auto& peer = it->second;
  peer.arrivals.record_heartbeat(now);
  peer.reachable = std::move(reachable);
  if (peer.store_available && !store_available) peer.store_unavailable_since = now;
  peer.store_available = store_available;
}

void FailureDetector::tick(bool store_available, net::Time now) {
  const auto since_last_check = net::to_seconds(now - last_check_);
  const bool suspended =
      last_check_ != net::Time{} &&
      since_last_check > kSuspensionIntervals * net::to_seconds(heartbeat_interval_);
  last_check_ = now;
  if (suspended) {
    // Heartbeats received during the suspension are not processed yet, so the observed silence is
    // meaningless.
    local_health_.degrade(kSuspensionPenalty);
    for (auto& [controller, peer] : peers_) peer.arrivals.ignore_silence(now);
  } else if (!store_available) {
    local_health_.degrade(kStoreUnavailablePenalty);
  } else {
    local_health_.improve();
  }
  if (!store_available || !store_available_) store_available_since_ = now;
  store_available_ = store_available;
}

void FailureDetector::record_refutation(const ids::ControllerId& controller, net::Time now) {
  const auto it = peers_.find(controller);
  if (it == peers_.end()) return;
  auto& peer = it->second;
  if (now > peer.refutation_count_expires_at) peer.refutations = 0;
  const auto doublings = std::min(peer.refutations, kMaxDelayDoublings);
  ++peer.refutations;
  peer.suspect_not_before = now + kInitialResuspicionDelay * (1U << doublings);
  peer.refutation_count_expires_at = now + kRefutationHistoryDuration;
}

bool FailureDetector::reachable_from_others(const ids::ControllerId& controller,
                                            net::Time now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const auto& [other, peer] = entry;
    return other != controller && peer.arrivals.phi(now) < kSuspectPhi &&
           peer.reachable.contains(controller);
  });
}

PeerHealth FailureDetector::health(const ids::ControllerId& controller, net::Time now) const {
  const auto it = peers_.find(controller);
  if (it == peers_.end()) return PeerHealth::Silent;
  const auto& peer = it->second;
  const auto phi = peer.arrivals.phi(now);
  if (phi > kSuspectPhi * local_health_.factor() &&
      peer.arrivals.silence(now) > kMinMissedHeartbeats * heartbeat_interval_)
    return reachable_from_others(controller, now) ? PeerHealth::Partitioned : PeerHealth::Silent;
  // The store must have served this controller for the whole time. Otherwise this may be a general
  // outage that ended here before it ended for the peer.
  const auto store_differs_since = std::max(peer.store_unavailable_since, store_available_since_);
  if (!peer.store_available && store_available_ &&
      now - store_differs_since > kMinUnavailableHeartbeats * heartbeat_interval_)
    return PeerHealth::StoreUnavailable;
  return phi > kSlowPhi ? PeerHealth::Slow : PeerHealth::Alive;
}

bool FailureDetector::should_suspect(const ids::ControllerId& controller, net::Time now) const {
  const auto it = peers_.find(controller);
  if (it == peers_.end() || now < it->second.suspect_not_before || !store_available_) return false;
  const auto observed = health(controller, now);
  return observed == PeerHealth::Silent || observed == PeerHealth::StoreUnavailable;
}

net::Duration FailureDetector::refutation_timeout(const ids::ControllerId& controller) const {
  const auto it = peers_.find(controller);
  const auto spread = it == peers_.end() ? wire::Seconds(0) : it->second.arrivals.spread();
  return kMinRefutationTime +
         net::to_duration(spread * kRefutationSpreadFactor * local_health_.factor());
}

std::set<ids::ControllerId> FailureDetector::reachable_peers(net::Time now) const {
  std::set<ids::ControllerId> out;
  for (const auto& [controller, peer] : peers_)
    if (peer.arrivals.silence(now) <= kMinMissedHeartbeats * heartbeat_interval_)
      out.insert(controller);
  return out;
}
}  // namespace limemast::failure_detection

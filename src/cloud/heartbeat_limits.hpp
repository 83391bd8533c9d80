#pragma once
// Time limits for heartbeats of machines.
#include "net/runtime.hpp"
#include "wire/settings.hpp"

namespace limemast::cloud {
/// A machine is silent after two missed heartbeats, with half an interval allowed for jitter.
inline net::Duration silent_after(const wire::Settings& settings) {
  constexpr double kMissedIntervals = 2.5;
  return net::to_duration(settings.heartbeat_interval * kMissedIntervals);
}

/// The shorter limit for a machine that blocks the failover barrier. It covers the longest interval
/// between two heartbeats and one heartbeat that a controller has rejected.
inline net::Duration silent_after_while_blocking(const wire::Settings& settings) {
  constexpr double kMissedIntervals = 1.5;
  return net::to_duration(settings.heartbeat_interval * kMissedIntervals) + std::chrono::seconds(1);
}

/// How long the contents of a heartbeat are treated as the machine's current state.
inline net::Duration heartbeat_validity(const wire::Settings& settings) {
  return net::to_duration(settings.heartbeat_interval * 2) + std::chrono::seconds(2);
}
}  // namespace limemast::cloud

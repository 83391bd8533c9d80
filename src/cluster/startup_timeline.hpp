#pragma once
// Records when a controller reached each phase of its startup.
#include <array>

#include "net/runtime.hpp"

namespace limemast::cluster {
/// Phases of a controller's startup. A crash may occur between any two (tests/restart/,
/// CrashDuringStartup).
enum class StartupPhase : unsigned char {
  Started,
  PreviousIncarnationFenced,  ///< no lease of an earlier process with this label remains
  LeaseAcquired,
  Registered,   ///< the member key is written
  CacheSynced,  ///< the watch cache holds a complete listing
  Member        ///< an epoch names this controller
};
constexpr std::size_t kStartupPhases = static_cast<std::size_t>(StartupPhase::Member) + 1;
/// Returns the phase name for log messages.
const char* name_of(StartupPhase phase);

/// Records when each phase was first reached.
class StartupTimeline {
 public:
  /// Times by phase; Time{} for phases not reached yet.
  using Times = std::array<net::Time, kStartupPhases>;
  void record_phase(StartupPhase phase, net::Time now) {
    auto& at = times_.at(static_cast<std::size_t>(phase));
    if (at == net::Time{}) at = now;
  }
  const Times& times() const { return times_; }

 private:
  Times times_{};
};
}  // namespace limemast::cluster

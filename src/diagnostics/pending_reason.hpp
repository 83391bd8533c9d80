#pragma once
// The reasons why jobs are pending, and their names.
#include <array>
#include <cstddef>
#include <string>

namespace limemast::diagnostics {
/// Why a job's tasks are pending. Each scheduling decision that leaves tasks pending records one of
/// these reasons.
enum class PendingReason : unsigned char {
  Placing,     ///< nothing prevents it; the tasks are being assigned
  NoMachine,   ///< there is no machine of its types, zone and kind, and none is being provisioned
  Booting,     ///< eligible machines were launched and are not ready yet
  Resources,   ///< eligible machines are full of work of the same or a lower rank
  HigherRank,  ///< eligible machines are used by, or reserved for, work of higher rank
  ShortPartition,     ///< its tasks are long, and only machines of the short partition have room
  BesideLongTasks,    ///< its tasks are short, and only machines with long tasks have room
  TeamLimit,          ///< its team has reached its limit
  OthersGuarantee,    ///< the only room must be left to teams with a guarantee
  ZoneRule,           ///< its zone rules allow no further task in the zones with room
  BackingOff,         ///< it failed and waits before the next attempt
  FailoverBarrier,    ///< its owner was lost, and its running tasks are not confirmed yet
  StoreUnavailable,   ///< the key-value store does not answer its owner
  Draining,           ///< only machines that are being drained have room
  FetchingImage,      ///< all its tasks are assigned, and machines are fetching its image
  OwnerUnresponsive,  ///< the controller that owns it has not answered
};
/// The number of reasons.
constexpr std::size_t kPendingReasons =
    static_cast<std::size_t>(PendingReason::OwnerUnresponsive) + 1;
/// All reasons, in the order of their values.
constexpr std::array<PendingReason, kPendingReasons> kAllPendingReasons = [] {
  std::array<PendingReason, kPendingReasons> out{};
  for (std::size_t i = 0; i < kPendingReasons; ++i) out[i] = static_cast<PendingReason>(i);
  return out;
}();

/// The name on the wire, in metrics and in the tools, such as "team_limit".
const char* name_of(PendingReason reason);
/// A short explanation for operators, without a full stop.
const char* explain(PendingReason reason);
}  // namespace limemast::diagnostics

#pragma once
// The reasons for which jobs wait, and their names.
#include <array>
#include <cstddef>
#include <string>

namespace limemast::diagnostics {
/// Why a job's tasks wait. The set is closed: whatever decides about a job records one of these, so
/// that the reason need not be guessed afterwards.
enum class PendingReason : unsigned char {
  Placing,            ///< nothing prevents it; it is being assigned
  NoMachine,          ///< no machine of its types, zone and kind, and none is being provisioned
  Booting,            ///< such machines were launched and are not up yet
  Resources,          ///< such machines are full of work of its own rank or below
  HigherRank,         ///< what fills them, or what they are reserved for, ranks above it
  ShortPartition,     ///< the only room is in the short partition, and its tasks are long
  BesideLongTasks,    ///< the only room is beside long tasks, and its tasks are short
  TeamLimit,          ///< its team uses all that it may
  OthersGuarantee,    ///< room that a team without a guarantee must leave to those that have one
  ZoneRule,           ///< there is room, but its rules about zones allow no further task there
  BackingOff,         ///< it has failed and waits before it is retried
  FailoverBarrier,    ///< its owner was lost; where its tasks may run is not confirmed yet
  StoreUnavailable,   ///< the key-value store does not answer its owner
  Draining,           ///< there would be room on machines that are being drained
  FetchingImage,      ///< all its tasks are assigned; machines fetch its image
  OwnerUnresponsive,  ///< the controller that owns it has not answered
};
/// How many reasons there are.
constexpr std::size_t kPendingReasons =
    static_cast<std::size_t>(PendingReason::OwnerUnresponsive) + 1;
/// All of them, in the order of their values.
constexpr std::array<PendingReason, kPendingReasons> kAllPendingReasons = [] {
  std::array<PendingReason, kPendingReasons> out{};
  for (std::size_t i = 0; i < kPendingReasons; ++i) out[i] = static_cast<PendingReason>(i);
  return out;
}();

/// The name used on the wire, in metrics and by the tools: "team_limit".
const char* name_of(PendingReason reason);
/// A sentence for people, without a full stop.
const char* explain(PendingReason reason);
}  // namespace limemast::diagnostics

#include "diagnostics/pending_reason.hpp"

namespace limemast::diagnostics {
const char* name_of(PendingReason reason) {
  switch (reason) {
    case PendingReason::Placing:
      return "placing";
    case PendingReason::NoMachine:
      return "no_machine";
    case PendingReason::Booting:
      return "booting";
    case PendingReason::Resources:
      return "room";
    case PendingReason::HigherRank:
      return "higher_rank";
    case PendingReason::ShortPartition:
      return "short_part";
    case PendingReason::BesideLongTasks:
      return "beside_long";
    case PendingReason::TeamLimit:
      return "team_limit";
    case PendingReason::OthersGuarantee:
      return "others_guarantee";
    case PendingReason::ZoneRule:
      return "zone_rule";
    case PendingReason::BackingOff:
      return "backing_off";
    case PendingReason::FailoverBarrier:
      return "takeover";
    case PendingReason::StoreUnavailable:
      return "state_away";
    case PendingReason::Draining:
      return "drain";
    case PendingReason::FetchingImage:
      return "image";
    case PendingReason::OwnerUnresponsive:
      return "owner_silent";
  }
  return "";
}

const char* explain(PendingReason reason) {
  switch (reason) {
    case PendingReason::Placing:
      return "being handed out";
    case PendingReason::NoMachine:
      return "no machine of its types, zone and kind";
    case PendingReason::Booting:
      return "waits for machines that are booting";
    case PendingReason::Resources:
      return "machines it may use are full";
    case PendingReason::HigherRank:
      return "behind work of higher rank";
    case PendingReason::ShortPartition:
      return "machines with room are kept for short jobs";
    case PendingReason::BesideLongTasks:
      return "the only room is beside long tasks, which short ones shun";
    case PendingReason::TeamLimit:
      return "its team uses all that it may";
    case PendingReason::OthersGuarantee:
      return "room is left to teams with a guarantee";
    case PendingReason::ZoneRule:
      return "its rule about zones allows none with room";
    case PendingReason::BackingOff:
      return "pauses after failures";
    case PendingReason::FailoverBarrier:
      return "held until a lost controller's tasks are accounted for";
    case PendingReason::StoreUnavailable:
      return "the state service does not answer";
    case PendingReason::Draining:
      return "machines with room are being drained";
    case PendingReason::FetchingImage:
      return "machines fetch its image";
    case PendingReason::OwnerUnresponsive:
      return "the controller that owns it does not answer";
  }
  return "";
}
}  // namespace limemast::diagnostics

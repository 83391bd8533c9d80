#include "cluster/startup_timeline.hpp"

namespace limemast::cluster {
const char* name_of(StartupPhase phase) {
  switch (phase) {
    case StartupPhase::Started:
      return "started";
    case StartupPhase::PreviousIncarnationFenced:
      return "previous incarnation fenced";
    case StartupPhase::LeaseAcquired:
      return "lease acquired";
    case StartupPhase::Registered:
      return "registered";
    case StartupPhase::CacheSynced:
      return "watch cache synced";
    case StartupPhase::Member:
      return "member";
  }
  return "";
}
}  // namespace limemast::cluster

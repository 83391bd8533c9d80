#include "jobs/refused_machines.hpp"

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
constexpr auto kRefusalBackoff = 500ms;
/// The backoff is longer until a newer heartbeat arrives, because only that heartbeat shows the
/// resources held back for other owners.
constexpr auto kRefusalBackoffWithoutHeartbeat = 5s;
}  // namespace

void RefusedMachines::record(const std::string& machine, net::Time now) {
  const auto* machine_status = registry_.find(machine);
  refusals_[machine] = {now, machine_status ? machine_status->heartbeat.sequence : 0};
}

bool RefusedMachines::recently_refused(const std::string& machine, net::Time now) const {
  const auto it = refusals_.find(machine);
  if (it == refusals_.end()) return false;
  const auto* machine_status = registry_.find(machine);
  const bool no_heartbeat_since =
      machine_status && machine_status->heartbeat.sequence == it->second.sequence;
  return now - it->second.at <
         (no_heartbeat_since ? kRefusalBackoffWithoutHeartbeat : kRefusalBackoff);
}

void RefusedMachines::forget_expired(net::Time now) {
  std::erase_if(refusals_, [&](const auto& refusal) {
    return now - refusal.second.at > kRefusalBackoffWithoutHeartbeat;
  });
}
}  // namespace limemast::jobs

#include "jobs/machine_slot.hpp"

#include <algorithm>

#include "machines/registry.hpp"

namespace limemast::jobs {
namespace {
constexpr wire::Seconds kMaxStartDelayTolerance{5};
/// The tolerance is the wait that the class's objectives allow, divided by this.
constexpr double kAcceptedWaitDivisor = 4;
}  // namespace

wire::Seconds image_fetch_time(const machines::Registry& registry, const MachineSlot& slot,
                               const wire::JobSpec& spec) {
  if (registry.has_image(slot.machine_status->heartbeat.machine, spec.image) ||
      slot.type->fetch_gb_per_s <= 0)
    return wire::Seconds(0);
  return wire::Seconds(spec.image_gb / slot.type->fetch_gb_per_s);
}

wire::Seconds start_delay_tolerance(const wire::Settings& settings, const std::string& workload) {
  auto out = kMaxStartDelayTolerance;
  for (const auto& objective : settings.objectives)
    if (objective.kind == "wait" && objective.workload == workload)
      out = std::min(out, objective.within / kAcceptedWaitDivisor);
  return out;
}
}  // namespace limemast::jobs

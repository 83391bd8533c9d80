#pragma once
// Free capacity of one machine during one run of the leader's scheduler.
#include <vector>

#include "jobs/job.hpp"
#include "wire/resources.hpp"
#include "wire/settings.hpp"

namespace limemast::machines {
class Registry;
}

namespace limemast::jobs {
/// A machine that accepts tasks and sends heartbeats. Valid until the registry changes.
struct MachineSlot {
  const MachineStatus* machine_status = nullptr;  ///< never null
  const wire::MachineType* type = nullptr;        ///< never null
  /// Resources that are not used by running or starting tasks or by tasks placed in this run.
  wire::Resources free;
  bool short_partition = false;  ///< kept for short tasks
  /// Tasks on it are being preempted, and its next heartbeat will show what is free then.
  bool evicting = false;
};
using MachineSlots = std::vector<MachineSlot>;

/// Time until a task of the job could start on the machine: the fetch of its image, unless the
/// machine has that already.
wire::Seconds image_fetch_time(const machines::Registry& registry, const MachineSlot& slot,
                               const wire::JobSpec& spec);

/// Start delays that differ by less than this count as equal, so that the machine that is better
/// for the cluster can be chosen. The tolerance is a fraction of the wait that the objectives of
/// the class allow: if users expect an immediate start, machines that already have the image are
/// preferred.
wire::Seconds start_delay_tolerance(const wire::Settings& settings, const std::string& workload);
}  // namespace limemast::jobs

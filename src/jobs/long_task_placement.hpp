#pragma once
// Chooses machines for long tasks, either for single tasks or for all tasks of a gang together.
#include <vector>

#include "jobs/job_owner.hpp"
#include "jobs/machine_slot.hpp"

namespace limemast::jobs {
/// Places tasks of long jobs on machines with enough free resources. The leader uses it within one
/// run of the scheduler. It subtracts the resources of placed tasks from the slots.
class LongTaskPlacement {
 public:
  /// All arguments must outlive this object.
  LongTaskPlacement(const wire::Settings& settings, const cluster::JobDirectory& job_directory,
                    const machines::Registry& registry, JobOwner& job_owner)
      : settings_(settings),
        job_directory_(job_directory),
        registry_(registry),
        job_owner_(job_owner) {}

  /// To be called before each run. While short tasks lack capacity, best-effort long tasks are
  /// placed only on machines that already hold other long tasks.
  void begin_run(bool short_task_shortage) { short_task_shortage_ = short_task_shortage; }
  /// The slots with enough free resources for a task of the job, on machines that it may use.
  std::vector<MachineSlot*> slots_with_room(const Job& job, MachineSlots& slots) const;
  /// Assigns one task of the job to the best of these slots. Returns false if none has room or the
  /// assignment is refused.
  bool place_one(const Job& job, const std::vector<MachineSlot*>& slots);
  /// Assigns all tasks of a gang, or none if they do not fit together.
  void place_gang(const Job& job, MachineSlots& slots);

 private:
  bool accepts_best_effort(const MachineSlot& slot, const wire::JobSpec& spec) const;
  /// The slots in this zone if all pending tasks of the gang fit on them together, otherwise none.
  /// An empty `zone` means all zones.
  static std::vector<MachineSlot*> slots_for_gang(const Job& job,
                                                  const std::vector<MachineSlot*>& slots,
                                                  const std::string& zone);

  const wire::Settings& settings_;
  const cluster::JobDirectory& job_directory_;
  const machines::Registry& registry_;
  JobOwner& job_owner_;
  bool short_task_shortage_ = false;
};
}  // namespace limemast::jobs

#pragma once
// Chooses machines with room for long tasks, one by one or for a gang together.
#include <vector>

#include "jobs/job_owner.hpp"
#include "jobs/machine_slot.hpp"

namespace limemast::jobs {
/// Places tasks of long jobs on machines that have room. Runs on the leader, within one run of the
/// scheduler; changes the slots to what is left.
class LongTaskPlacement {
 public:
  /// All arguments must outlive this.
  LongTaskPlacement(const wire::Settings& settings, const cluster::JobDirectory& job_directory,
                    const machines::Registry& registry, JobOwner& job_owner)
      : settings_(settings),
        job_directory_(job_directory),
        registry_(registry),
        job_owner_(job_owner) {}

  /// To be called before each run. While short tasks lack room, preemptible long ones may not take
  /// further machines from them.
  void begin_run(bool short_task_shortage) { short_task_shortage_ = short_task_shortage; }
  /// The slots that have room for a task of the job, and where one may go.
  std::vector<MachineSlot*> slots_with_room(const Job& job, MachineSlots& slots) const;
  /// Assigns one task to the best of these slots; false if none has room or the task was refused.
  bool place_one(const Job& job, const std::vector<MachineSlot*>& slots);
  /// Assigns all tasks of a gang, or none if they do not fit together.
  void place_gang(const Job& job, MachineSlots& slots);

 private:
  bool accepts_best_effort(const MachineSlot& slot, const wire::JobSpec& spec) const;
  /// The slots that a gang may use in this zone; empty unless all its waiting tasks fit there. An
  /// empty zone stands for all zones.
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

#include "jobs/long_task_placement.hpp"

#include <algorithm>

#include "scheduling/placement.hpp"

namespace limemast::jobs {
using wire::Resources;

namespace {
scheduling::Candidate candidate_of(const MachineSlot& slot, const Resources& need,
                                   wire::Seconds delay) {
  const auto& type = *slot.type;
  scheduling::Candidate candidate;
  candidate.spot = slot.machine_status->heartbeat.spot;
  candidate.short_partition = slot.short_partition;
  candidate.delay = delay;
  candidate.price = (candidate.spot ? type.spot_price : type.price) / type.cpus;
  candidate.fill_after = 1 - (slot.free.cpus - need.cpus) / type.cpus;
  return candidate;
}
}  // namespace

std::vector<MachineSlot*> LongTaskPlacement::slots_with_room(const Job& job,
                                                             MachineSlots& slots) const {
  const auto& spec = job.record.spec;
  const auto need = Resources::of(spec);
  const bool best_effort = settings_.is_best_effort(spec);
  std::vector<MachineSlot*> out;
  for (auto& slot : slots)
    if (slot.free.fits(need) && (!best_effort || accepts_best_effort(slot, spec)) &&
        job_owner_.may_place(job, *slot.machine_status))
      out.push_back(&slot);
  return out;
}

/// A machine with a long task takes no short tasks and cannot be released. Best-effort tasks are
/// therefore placed only on machines that already hold other long tasks if short tasks lack
/// capacity, or if the machine is on-demand and the job could use spot machines.
bool LongTaskPlacement::accepts_best_effort(const MachineSlot& slot,
                                            const wire::JobSpec& spec) const {
  const auto& heartbeat = slot.machine_status->heartbeat;
  if (!short_task_shortage_ && (heartbeat.spot || !spec.spot)) return true;
  return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const auto& task) {
    const auto* other = task.exited() ? nullptr : job_directory_.find(task.uid);
    return other && other->is_long && !settings_.is_best_effort(other->spec);
  });
}

bool LongTaskPlacement::place_one(const Job& job, const std::vector<MachineSlot*>& slots) {
  const auto& spec = job.record.spec;
  const auto need = Resources::of(spec);
  std::vector<scheduling::Candidate> candidates;
  std::vector<MachineSlot*> candidate_slots;
  for (auto* slot : slots) {
    if (!slot->free.fits(need) || !job_owner_.may_place(job, *slot->machine_status)) continue;
    candidates.push_back(candidate_of(*slot, need, image_fetch_time(registry_, *slot, spec)));
    candidate_slots.push_back(slot);
  }
  const auto best =
      scheduling::choose_machine(candidates, start_delay_tolerance(settings_, spec.workload));
  if (!best) return false;
  auto& chosen = *candidate_slots[*best];
  if (!job_owner_.place(spec.uid, chosen.machine_status->heartbeat.machine)) return false;
  chosen.free -= need;
  return true;
}

void LongTaskPlacement::place_gang(const Job& job, MachineSlots& slots) {
  // A gang that holds machines while it waits for its last task would waste them, so all its tasks
  // are placed or none. Tasks left from an earlier attempt end by themselves before the next
  // attempt begins.
  if (!job.assignments.empty() || !job_owner_.quota_allows_all(job)) return;
  const auto with_room = slots_with_room(job, slots);
  const auto zones = job.record.spec.one_zone ? settings_.zones : std::vector<std::string>{""};
  for (const auto& zone : zones) {
    const auto gang_slots = slots_for_gang(job, with_room, zone);
    if (gang_slots.empty()) continue;
    while (job.pending() > 0 && place_one(job, gang_slots)) {
    }
    return;
  }
}

std::vector<MachineSlot*> LongTaskPlacement::slots_for_gang(const Job& job,
                                                            const std::vector<MachineSlot*>& slots,
                                                            const std::string& zone) {
  const auto& spec = job.record.spec;
  const auto need = Resources::of(spec);
  std::vector<MachineSlot*> out;
  std::uint64_t tasks_with_room = 0;
  std::map<std::string, std::uint64_t> tasks_by_zone;
  for (auto* slot : slots) {
    const auto& slot_zone = slot->machine_status->heartbeat.zone;
    if (slot->short_partition || (!zone.empty() && slot_zone != zone)) continue;
    out.push_back(slot);
    auto& in_zone = tasks_by_zone[slot_zone];
    for (auto free = slot->free; free.fits(need) && in_zone < spec.max_tasks_per_zone();
         free -= need) {
      ++tasks_with_room;
      ++in_zone;
    }
  }
  if (tasks_with_room < job.pending()) out.clear();
  return out;
}
}  // namespace limemast::jobs

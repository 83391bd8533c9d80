#include "jobs/short_task_capacity.hpp"

#include <algorithm>
#include <utility>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
/// A short job that has waited longer than this is assumed to lack something other than capacity.
/// Best-effort tasks are neither stopped nor held back for it.
constexpr auto kMaxWaitForCapacity = 240s;
}  // namespace

double ShortTaskCapacity::missing_cpus() const {
  double missing = 0;
  const auto now = runtime_.wall();
  for (const auto& [uid, job] : job_directory_.all()) {
    if (job.ended || job.is_long || settings_.is_best_effort(job.spec) ||
        now - job.submitted > kMaxWaitForCapacity)
      continue;
    const auto waiting = std::min(job.pending_tasks.value_or(job.spec.tasks),
                                  job.unfinished.value_or(job.spec.tasks));
    missing += waiting * job.spec.cpus;
  }
  if (missing <= 0) return 0;
  for (const auto& [name, machine_status] : registry_.machine_statuses())
    if (machine_status.accepts_tasks() && !registry_.has_long_tasks(machine_status) &&
        !job_owner_.has_long_tasks(name))
      missing -= registry_.free_resources(machine_status).cpus;
  return missing;
}

void ShortTaskCapacity::reclaim() {
  auto missing = missing_cpus();
  // A brief shortage needs no action, because short tasks end all the time.
  const bool had_shortage = std::exchange(had_shortage_, missing > 0);
  if (!had_shortage || missing <= 0) return;
  for (const auto& machine : reclaimable_machines()) {
    if (missing <= 0) break;
    missing -= registry_.free_resources(*machine.machine_status).cpus;
    missing = stop_long_tasks(*machine.machine_status, missing);
  }
}

const ActiveJob* ShortTaskCapacity::long_job_of(const wire::TaskStatus& task) const {
  const auto* job = task.exited() ? nullptr : job_directory_.find(task.uid);
  return job && job->is_long ? job : nullptr;
}

std::optional<ShortTaskCapacity::ReclaimableMachine> ShortTaskCapacity::reclaimable(
    const MachineStatus& machine_status) const {
  if (!machine_status.accepts_tasks() || !registry_.has_long_tasks(machine_status))
    return std::nullopt;
  ReclaimableMachine out{0, &machine_status};
  for (const auto& task : machine_status.heartbeat.tasks) {
    const auto* job = long_job_of(task);
    if (!job) continue;
    if (!settings_.is_best_effort(job->spec)) return std::nullopt;
    ++out.long_tasks;
  }
  return out;
}

std::vector<ShortTaskCapacity::ReclaimableMachine> ShortTaskCapacity::reclaimable_machines() const {
  std::vector<ReclaimableMachine> out;
  for (const auto& [name, machine_status] : registry_.machine_statuses())
    if (const auto machine = reclaimable(machine_status)) out.push_back(*machine);
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return std::tie(a.long_tasks, a.machine_status->heartbeat.machine) <
           std::tie(b.long_tasks, b.machine_status->heartbeat.machine);
  });
  return out;
}

double ShortTaskCapacity::stop_long_tasks(const MachineStatus& machine_status, double missing) {
  for (const auto& task : machine_status.heartbeat.tasks) {
    const auto* job = long_job_of(task);
    if (!job) continue;
    missing -= job->spec.cpus;
    if (task.phase != wire::TaskPhase::Saving)
      job_owner_.command_worker(machine_status.heartbeat.machine, task, wire::CommandKind::Stop,
                                job->spec.checkpoint_duration);
  }
  return missing;
}
}  // namespace limemast::jobs

#include "jobs/owned_jobs.hpp"

#include <utility>

namespace limemast::jobs {
Job& OwnedJobs::add(std::unique_ptr<Job> job) {
  auto& added = *job;
  jobs_.emplace(added.record.spec.uid, std::move(job));
  if (added.record.is_long) ++long_job_arrivals_;
  return added;
}

void OwnedJobs::assign(Job& job, std::uint32_t index, TaskAssignment assignment) {
  const auto& spec = job.record.spec;
  ++job.zones[assignment.zone];
  auto& held = tasks_by_machine_[assignment.machine];
  held.tasks.push_back({spec.uid, index});
  if (job.record.is_long) ++held.long_tasks;
  held.starting.reset();
  quota_.use(spec.team, wire::Resources::of(spec));
  job.assignments.emplace(index, std::move(assignment));
}

std::optional<TaskAssignment> OwnedJobs::unassign(Job& job, std::uint32_t index) {
  const auto it = job.assignments.find(index);
  if (it == job.assignments.end()) return std::nullopt;
  const auto& spec = job.record.spec;
  const auto zone = job.zones.find(it->second.zone);
  if (zone != job.zones.end() && --zone->second == 0) job.zones.erase(zone);
  const auto held = tasks_by_machine_.find(it->second.machine);
  if (held != tasks_by_machine_.end() &&
      std::erase(held->second.tasks, TaskRef{spec.uid, index}) > 0) {
    if (job.record.is_long) --held->second.long_tasks;
    held->second.starting.reset();
    if (held->second.tasks.empty()) tasks_by_machine_.erase(held);
  }
  ++capacity_changes_;
  quota_.release(spec.team, wire::Resources::of(spec));
  return std::move(job.assignments.extract(it).mapped());
}

bool OwnedJobs::is_assigned(const std::string& machine, const wire::TaskStatus& task) const {
  const auto* job = find(task.uid);
  if (!job) return false;
  const auto it = job->assignments.find(task.index);
  return it != job->assignments.end() && it->second.machine == machine &&
         it->second.attempt == task.attempt;
}

std::vector<TaskRef> OwnedJobs::tasks_on(const std::string& machine) const {
  const auto it = tasks_by_machine_.find(machine);
  return it == tasks_by_machine_.end() ? std::vector<TaskRef>() : it->second.tasks;
}

bool OwnedJobs::has_tasks_on(const std::string& machine) const {
  const auto it = tasks_by_machine_.find(machine);
  return it != tasks_by_machine_.end() && !it->second.tasks.empty();
}

bool OwnedJobs::has_long_tasks(const std::string& machine) const {
  const auto it = tasks_by_machine_.find(machine);
  return it != tasks_by_machine_.end() && it->second.long_tasks > 0;
}

wire::Resources OwnedJobs::starting_resources(const std::string& machine) const {
  wire::Resources total;
  const auto it = tasks_by_machine_.find(machine);
  if (it == tasks_by_machine_.end()) return total;
  if (it->second.starting) return *it->second.starting;
  const auto* machine_status = registry_.find(machine);
  if (!machine_status) return total;
  for (const auto& task : it->second.tasks) {
    const auto& job = *jobs_.at(task.uid);
    const auto attempt = job.assignments.at(task.index).attempt;
    if (!machine_status->heartbeat.find(task.uid, task.index, attempt))
      total += wire::Resources::of(job.record.spec);
  }
  it->second.starting = total;
  return total;
}

void OwnedJobs::on_heartbeat(const std::string& machine) {
  ++capacity_changes_;
  const auto it = tasks_by_machine_.find(machine);
  if (it != tasks_by_machine_.end()) it->second.starting.reset();
}
}  // namespace limemast::jobs

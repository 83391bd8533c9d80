#include "cloud/capacity_reader.hpp"

#include <algorithm>

#include "jobs/long_task_scheduler.hpp"

namespace limemast::cloud {
CapacityReader::CapacityReader(net::Runtime& runtime, const wire::Settings& settings,
                               const cluster::JobDirectory& job_directory,
                               const machines::Registry& registry, const jobs::JobOwner& job_owner,
                               const MachineInventory& inventory, const Provisioner& provisioner)
    : runtime_(runtime),
      settings_(settings),
      job_directory_(job_directory),
      registry_(registry),
      job_owner_(job_owner),
      inventory_(inventory),
      provisioner_(provisioner) {}

DemandInput CapacityReader::demand() const {
  DemandInput out;
  for (const auto& [name, type] : registry_.types()) {
    out.largest_machine_cpus = std::max(out.largest_machine_cpus, type.cpus);
    for (const auto& zone : type.zones)
      if (!registry_.zone_drained(zone)) out.zones.insert(zone);
  }
  for (const auto& [uid, job] : job_directory_.all())
    if (job.needs_capacity()) out.jobs.push_back(demand_of_job(job));
  return out;
}

JobDemand CapacityReader::demand_of_job(const cluster::ActiveJob& job) const {
  const auto& spec = job.spec;
  JobDemand out;
  out.spec = &spec;
  const auto owned = job_owner_.jobs().find(spec.uid);
  if (owned == job_owner_.jobs().end()) {
    out.tasks = job.unfinished.value_or(spec.tasks);
  } else {
    out.tasks = owned->second->unfinished();
    out.tasks_by_zone = &owned->second->zones;
  }
  out.time_critical = is_time_critical(spec);
  if (!out.time_critical) return out;
  const auto wall = runtime_.wall();
  if (const auto target = jobs::reachable_deadline(job, settings_, wall))
    out.until_target = net::to_seconds(*target - wall);
  return out;
}

bool CapacityReader::is_time_critical(const wire::JobSpec& spec) const {
  // Best-effort work and jobs without an expected finish do not justify the price of on-demand
  // machines. For 2,400 tasks of a reindexing job, 200 of them were once launched for ten minutes.
  return !settings_.is_best_effort(spec) &&
         (spec.due || settings_.has_finish_objective(spec.workload));
}

Capacity CapacityReader::supply() const {
  std::vector<MachineSupply> machines;
  for (const auto& [name, machine] : inventory_.machines())
    if (counts_as_supply(name, machine))
      machines.push_back({machine.zone, machine.spot, registry_.type(machine.type)->cpus});
  const auto launching = provisioner_.supply();
  machines.insert(machines.end(), launching.begin(), launching.end());
  return supply_of(machines);
}

bool CapacityReader::counts_as_supply(const std::string& name, const Machine& machine) const {
  if (!registry_.type(machine.type) || inventory_.is_marked_for_termination(name) ||
      registry_.cordoned(name) || registry_.drained(name, machine.zone) ||
      inventory_.is_overdue(name, machine, runtime_.now()))
    return false;
  const auto* status = registry_.find(name);
  return !status || !status->heartbeat.preemption_notice;
}
}  // namespace limemast::cloud

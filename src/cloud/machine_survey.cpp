#include "cloud/machine_survey.hpp"

#include <algorithm>

namespace limemast::cloud {
using wire::Resources;

namespace {
bool any_fits(const std::vector<Resources>& free, const wire::JobSpec& spec) {
  const auto need = Resources::of(spec);
  return std::any_of(free.begin(), free.end(),
                     [&](const auto& machine) { return machine.fits(need); });
}
}  // namespace

MachineSurvey::MachineSurvey(const MachineInventory& inventory, const machines::Registry& registry,
                             const jobs::JobOwner& job_owner,
                             const cluster::JobDirectory& job_directory, net::Time now)
    : registry_(registry), job_owner_(job_owner), job_directory_(job_directory) {
  for (const auto& [name, machine] : inventory.machines()) {
    const auto* type = registry.type(machine.type);
    const auto* status = registry.find(name);
    if (status) count_tasks_with_zone_constraints(*status);
    if (!type || registry.cordoned(name) || registry.drained(name, machine.zone) ||
        inventory.is_marked_for_termination(name) || inventory.is_overdue(name, machine, now))
      continue;
    if (status && status->heartbeat.preemption_notice) continue;
    auto& machines = by_kind_[{machine.type, machine.zone, machine.spot}];
    machines.type = type;
    if (status)
      add_running(*status, machines);
    else
      ++machines.booting;
  }
}

void MachineSurvey::count_tasks_with_zone_constraints(const machines::MachineStatus& status) {
  for (const auto& task : status.heartbeat.tasks) {
    const auto* job = task.exited() ? nullptr : job_directory_.find(task.uid);
    if (job && !job->is_long && (job->spec.spread || job->spec.one_zone))
      ++tasks_by_zone_[task.uid][status.heartbeat.zone];
  }
}

void MachineSurvey::add_running(const machines::MachineStatus& status, Machines& machines) {
  const auto& heartbeat = status.heartbeat;
  const auto& map = registry_.long_task_map();
  auto free = registry_.free_resources(status);
  free -= job_owner_.starting_resources(heartbeat.machine);
  machines.free.push_back(free);
  const bool open_to_short_jobs = !registry_.has_long_tasks(status) &&
                                  !job_owner_.has_long_tasks(heartbeat.machine) &&
                                  !map.reserved_for_services.contains(heartbeat.machine);
  machines.any_open_to_short_jobs = machines.any_open_to_short_jobs || open_to_short_jobs;

  auto beside_services = free;
  for (const auto& task : heartbeat.tasks) {
    const auto* job = task.exited() ? nullptr : job_directory_.find(task.uid);
    if (job && !job->spec.service) beside_services += Resources::of(job->spec);
  }
  if (!map.short_partition.contains(heartbeat.machine))
    machines.free_beside_services.push_back(beside_services);
}

template <class Condition>
bool MachineSurvey::any_kind(const wire::JobSpec& spec, const std::set<std::string>& zones,
                             Condition condition) const {
  return std::any_of(by_kind_.begin(), by_kind_.end(), [&](const auto& entry) {
    const auto& [kind, machines] = entry;
    return zones.contains(kind.zone) && (spec.spot || !kind.spot) && spec.allows_type(kind.type) &&
           machines.type->fits(spec) && condition(kind, machines);
  });
}

ShortJobOutlook MachineSurvey::outlook(const wire::JobSpec& spec,
                                       const std::set<std::string>& zones) const {
  ShortJobOutlook out;
  any_kind(spec, zones, [&](const auto&, const Machines& machines) {
    out.has_machine = true;
    out.has_full_machine = out.has_full_machine || machines.any_open_to_short_jobs;
    out.has_room = out.has_room || machines.booting > 0 || any_fits(machines.free, spec);
    return out.has_room;
  });
  return out;
}

bool MachineSurvey::is_booting(const wire::JobSpec& spec, const std::set<std::string>& zones,
                               bool spot) const {
  return any_kind(spec, zones, [&](const auto& kind, const Machines& machines) {
    return kind.spot == spot && machines.booting > 0;
  });
}

bool MachineSurvey::has_room_beside_services(const wire::JobSpec& spec,
                                             const std::set<std::string>& zones) const {
  return any_kind(spec, zones, [&](const auto&, const Machines& machines) {
    return machines.booting > 0 || any_fits(machines.free_beside_services, spec);
  });
}

const std::map<std::string, std::uint32_t>& MachineSurvey::tasks_by_zone(
    const std::string& uid) const {
  static const std::map<std::string, std::uint32_t> kNone;
  const auto it = tasks_by_zone_.find(uid);
  return it == tasks_by_zone_.end() ? kNone : it->second;
}
}  // namespace limemast::cloud

#include "cloud/scale_out.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
/// Machines are launched for a long job whose tasks have been pending for this long.
constexpr auto kUnschedulableDelay = 4s;
}  // namespace

ScaleOut::ScaleOut(net::Runtime& runtime, const wire::Settings& settings,
                   const cluster::Membership& membership,
                   const cluster::JobDirectory& job_directory, const machines::Registry& registry,
                   const jobs::JobOwner& job_owner, const MachineInventory& inventory,
                   Provisioner& provisioner)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      job_directory_(job_directory),
      registry_(registry),
      job_owner_(job_owner),
      inventory_(inventory),
      provisioner_(provisioner) {}

bool ScaleOut::launch_shortfall(const Demand& demand, const Capacity& supply) {
  const auto& wanted = demand.capacity;
  log_capacity(wanted, supply);
  const auto shortfall = on_demand_shortfall(wanted, supply);
  double unavailable = 0;
  for (const auto& [zone, cpus] : shortfall.missing) {
    const std::set<std::string> zones{zone};
    if (!provisioner_.launch({false, cpus, demand.on_demand_jobs, &zones})) unavailable += cpus;
  }
  // Capacity that is unavailable in one zone is launched in any zone.
  if (unavailable > shortfall.surplus)
    provisioner_.launch({false, unavailable - shortfall.surplus, demand.on_demand_jobs, nullptr});
  const double missing_spot = wanted.spot_cpus - supply.spot_cpus - shortfall.surplus;
  return missing_spot <= 0 || provisioner_.launch({true, missing_spot, demand.spot_jobs, nullptr});
}

void ScaleOut::log_capacity(const Capacity& wanted, const Capacity& supply) const {
  for (const auto& [zone, cpus] : wanted.on_demand) {
    const auto supplied = supply.on_demand.find(zone);
    spdlog::debug(
        "on-demand capacity in zone {}: {:.0f} CPUs wanted, {:.0f} running or launching, epoch {}",
        zone, cpus, supplied == supply.on_demand.end() ? 0 : supplied->second,
        membership_.epoch().number);
  }
}

void ScaleOut::launch_for_unschedulable() {
  // Sufficient total capacity may still not fit a job because of its zone, its machine types, or
  // its spread over zones.
  launch_for_long_jobs();
  launch_for_short_jobs();
  std::erase_if(waiting_since_,
                [&](const auto& job) { return !job_owner_.jobs().contains(job.first); });
}

bool ScaleOut::waits_for_machines(const jobs::Job& job) const {
  return job.record.is_long && job.active() && job.pending() > 0 && job_owner_.may_assign(job);
}

void ScaleOut::launch_for_long_jobs() {
  const auto now = runtime_.now();
  for (const auto& [uid, job] : job_owner_.jobs()) {
    if (!waits_for_machines(*job)) {
      waiting_since_.erase(uid);
      continue;
    }
    if (now - waiting_since_.try_emplace(uid, now).first->second < kUnschedulableDelay) continue;
    const auto& spec = job->record.spec;
    const auto zones = allowed_zones(*job);
    if (!is_provisioning(spec, zones))
      provisioner_.launch({spec.spot, job->pending() * spec.cpus, {&spec}, &zones});
  }
}

std::set<std::string> ScaleOut::allowed_zones(const jobs::Job& job) const {
  const auto& spec = job.record.spec;
  std::set<std::string> out;
  for (const auto& zone : settings_.zones) {
    const auto tasks = job.zones.find(zone);
    const bool has_tasks = tasks != job.zones.end();
    const bool full = spec.spread && has_tasks && tasks->second >= spec.max_tasks_per_zone();
    const bool is_elsewhere = spec.one_zone && !job.zones.empty() && !has_tasks;
    if (!full && !is_elsewhere && (!spec.zone || *spec.zone == zone)) out.insert(zone);
  }
  return out;
}

bool ScaleOut::is_provisioning(const wire::JobSpec& spec,
                               const std::set<std::string>& zones) const {
  const auto& machines = inventory_.machines();
  return std::any_of(machines.begin(), machines.end(), [&](const auto& entry) {
    const auto& [name, machine] = entry;
    return machine.phase == wire::MachinePhase::Booting && machine.spot == spec.spot &&
           zones.contains(machine.zone) && spec.allows_type(machine.type) &&
           !registry_.find(name) && !inventory_.is_marked_for_termination(name);
  });
}

void ScaleOut::launch_for_short_jobs() {
  for (const auto& [uid, job] : job_directory_.all()) {
    const auto& spec = job.spec;
    const bool goes_anywhere = !spec.types && !spec.zone && spec.spot;
    if (!job.needs_capacity() || job.is_long || goes_anywhere || has_machine_for(spec)) continue;
    if (!provisioner_.launch({spec.spot, spec.tasks * spec.cpus, {&spec}, nullptr}))
      provisioner_.launch({false, spec.cpus, {&spec}, nullptr});
  }
}

bool ScaleOut::has_machine_for(const wire::JobSpec& spec) const {
  const auto& machines = inventory_.machines();
  return std::any_of(machines.begin(), machines.end(), [&](const auto& entry) {
    const auto& [name, machine] = entry;
    const auto* type = registry_.type(machine.type);
    return type && type->fits(spec) && spec.allows_type(machine.type) &&
           (!spec.zone || *spec.zone == machine.zone) && (spec.spot || !machine.spot) &&
           !registry_.cordoned(name) && !registry_.drained(name, machine.zone) &&
           !inventory_.is_marked_for_termination(name);
  });
}
}  // namespace limemast::cloud

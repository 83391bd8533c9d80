#include "cloud/scale_out.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
/// Machines are launched for a job that existing machines cannot run if its tasks have been pending
/// for this long.
constexpr auto kUnschedulableDelay = 4s;
/// How long the pending tasks of a short job wait for room on full machines. Short tasks end
/// sooner.
constexpr auto kMaxWaitForFullMachines = 60s;

/// The CPUs without which the job cannot start: those of all pending tasks of a gang, otherwise of
/// one task.
double cpus_to_start(const jobs::Job& job) {
  return (job.record.spec.gang ? job.pending() : 1) * job.record.spec.cpus;
}
}  // namespace

ScaleOut::ScaleOut(net::Runtime& runtime, const wire::Settings& settings,
                   const cluster::Membership& membership,
                   const cluster::JobDirectory& job_directory, const machines::Registry& registry,
                   const jobs::JobOwner& job_owner, const MachineInventory& inventory,
                   diagnostics::CapacityDiagnosis& capacity_diagnosis, Provisioner& provisioner)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      job_directory_(job_directory),
      registry_(registry),
      job_owner_(job_owner),
      inventory_(inventory),
      capacity_diagnosis_(capacity_diagnosis),
      provisioner_(provisioner),
      team_limits_(settings) {}

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
  // Sufficient total capacity may still not fit a job because of its zone, its machine types, its
  // spread over zones, or other tasks on the machines.
  const MachineSurvey survey(inventory_, registry_, job_owner_, job_directory_, runtime_.now());
  launch_for_long_jobs(survey);
  launch_for_short_jobs(survey);
  std::erase_if(waiting_since_, [&](const auto& waiting) {
    const auto* job = job_directory_.find(waiting.first);
    return !job || !job->needs_capacity();
  });
}

bool ScaleOut::waits_for_machines(const jobs::Job& job) const {
  return job.record.is_long && job.active() && job.pending() > 0 && job_owner_.may_assign(job);
}

net::Duration ScaleOut::waited(const std::string& uid) {
  const auto now = runtime_.now();
  return now - waiting_since_.try_emplace(uid, now).first->second;
}

void ScaleOut::launch_for_long_jobs(const MachineSurvey& survey) {
  for (const auto& [uid, job] : job_owner_.jobs()) {
    if (!job->record.is_long) continue;
    if (!waits_for_machines(*job)) {
      waiting_since_.erase(uid);
      continue;
    }
    if (waited(uid) < kUnschedulableDelay) continue;
    const auto& spec = job->record.spec;
    const auto zones = allowed_zones(spec, job->zones);
    if (survey.is_booting(spec, zones, spec.spot) ||
        provisioner_.launch({spec.spot, job->pending() * spec.cpus, {&spec}, &zones}))
      continue;
    // Best-effort tasks that may use spot machines are not placed on empty on-demand machines.
    if (spec.spot && !settings_.is_best_effort(spec) &&
        !survey.has_room_beside_services(spec, zones))
      provisioner_.launch({false, cpus_to_start(*job), {&spec}, &zones});
  }
}

std::set<std::string> ScaleOut::allowed_zones(
    const wire::JobSpec& spec, const std::map<std::string, std::uint32_t>& tasks_by_zone) const {
  std::set<std::string> out;
  for (const auto& zone : settings_.zones) {
    const auto tasks = tasks_by_zone.find(zone);
    const bool has_tasks = tasks != tasks_by_zone.end();
    const bool full = spec.spread && has_tasks && tasks->second >= spec.max_tasks_per_zone();
    const bool is_elsewhere = spec.one_zone && !tasks_by_zone.empty() && !has_tasks;
    if (!full && !is_elsewhere && (!spec.zone || *spec.zone == zone)) out.insert(zone);
  }
  return out;
}

bool ScaleOut::is_at_team_limit(const wire::JobSpec& spec) const {
  const auto* limit = team_limits_.find(spec.team);
  if (!limit) return false;
  const auto& usage = capacity_diagnosis_.team_usage(runtime_.now());
  const auto used = usage.find(spec.team);
  auto with_next_task = wire::Resources::of(spec);
  if (used != usage.end()) with_next_task += used->second;
  with_next_task.ram_gb = 0;  // never limited
  return !limit->fits(with_next_task);
}

void ScaleOut::launch_for_short_jobs(const MachineSurvey& survey) {
  for (const auto& [uid, job] : job_directory_.all()) {
    if (job.is_long || !job.needs_capacity()) continue;
    if (job.pending_tasks.value_or(job.spec.tasks) == 0)
      waiting_since_.erase(uid);
    else if (!is_at_team_limit(job.spec))
      launch_for_short_job(job, survey);
  }
}

void ScaleOut::launch_for_short_job(const cluster::ActiveJob& job, const MachineSurvey& survey) {
  const auto& spec = job.spec;
  const auto time_waited = waited(spec.uid);
  const auto zones = allowed_zones(spec, survey.tasks_by_zone(spec.uid));
  const auto outlook = survey.outlook(spec, zones);
  if (outlook.has_room) return;
  if (outlook.has_full_machine && time_waited < kMaxWaitForFullMachines) return;
  if (outlook.has_machine && time_waited < kUnschedulableDelay) return;
  const double pending = job.pending_tasks.value_or(spec.tasks);
  if (provisioner_.launch({spec.spot, pending * spec.cpus, {&spec}, &zones})) return;
  if (spec.spot && !outlook.has_full_machine)
    provisioner_.launch({false, spec.cpus, {&spec}, &zones});
}
}  // namespace limemast::cloud

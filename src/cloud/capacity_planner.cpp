#include "cloud/capacity_planner.hpp"

#include <algorithm>

#include "jobs/long_task_scheduler.hpp"

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
/// On-demand machines replace missing spot machines only after the shortfall has lasted this long.
constexpr auto kOverflowDelay = 10s;
/// A job that has missed its target is planned to complete within this time.
constexpr wire::Seconds kOverdueJobCompletionTime{300};

/// The CPUs that the job needs to meet its target, capped at what its unfinished tasks can use.
double deadline_cpus(const JobDemand& job) {
  const auto& spec = *job.spec;
  const auto time_left =
      std::max(job.until_target.value_or(kOverdueJobCompletionTime), spec.estimate);
  if (time_left.count() <= 0) return 0;
  return std::min(job.tasks, job.tasks * spec.estimate / time_left) * spec.cpus;
}

/// Adds the job's CPUs to the zones that its assigned tasks or its spec determine. Returns the CPUs
/// that may be in any zone.
double add_on_demand(const JobDemand& job, Capacity& capacity) {
  const auto& spec = *job.spec;
  double unassigned = job.tasks;
  if (job.tasks_by_zone)
    for (const auto& [zone, count] : *job.tasks_by_zone) {
      capacity.on_demand[zone] += count * spec.cpus;
      unassigned -= count;
    }
  const double cpus = std::max(0.0, unassigned) * spec.cpus;
  if (!spec.zone) return cpus;
  capacity.on_demand[*spec.zone] += cpus;
  return 0;
}
}  // namespace

Demand demand_of(const DemandInput& input) {
  Demand out;
  double any_zone_cpus = 0;
  for (const auto& job : input.jobs) {
    const auto& spec = *job.spec;
    if (!spec.service && spec.spot) {
      out.capacity.spot_cpus += job.tasks * spec.cpus;
      out.spot_jobs.push_back(&spec);
      if (job.time_critical) out.capacity.deadline_cpus += deadline_cpus(job);
    } else {
      out.on_demand_jobs.push_back(&spec);
      any_zone_cpus += add_on_demand(job, out.capacity);
    }
  }
  double total = any_zone_cpus;
  for (const auto& [zone, cpus] : out.capacity.on_demand) total += cpus;
  // Adds spare capacity for new services and for the loss of a machine. It is spread over all zones
  // because zone constraints may exclude some of them.
  if (total > 0)
    any_zone_cpus += total * jobs::kServiceSpareFraction + input.largest_machine_cpus / 2;
  for (const auto& zone : input.zones)
    out.capacity.on_demand[zone] += any_zone_cpus / static_cast<double>(input.zones.size());
  return out;
}

Capacity supply_of(const std::vector<MachineSupply>& machines) {
  Capacity out;
  for (const auto& machine : machines)
    (machine.spot ? out.spot_cpus : out.on_demand[machine.zone]) += machine.cpus;
  return out;
}

Shortfall on_demand_shortfall(const Capacity& wanted, const Capacity& supply) {
  Shortfall out;
  for (const auto& [zone, cpus] : wanted.on_demand) {
    const auto supplied = supply.on_demand.find(zone);
    const double missing = cpus - (supplied == supply.on_demand.end() ? 0 : supplied->second);
    if (missing > 0) out.missing.emplace_back(zone, missing);
    out.surplus += std::max(0.0, -missing);
  }
  return out;
}

void CapacityPlanner::add_deadline_overflow(Demand& demand, const Capacity& supply, net::Time now) {
  auto& wanted = demand.capacity;
  const double overflow_cpus =
      (wanted.deadline_cpus - supply.spot_cpus) * tuning_.on_demand_fraction;
  if (overflow_cpus <= 0 || !spot_unavailable_)
    shortfall_since_ = {};
  else if (shortfall_since_ == net::Time{})
    shortfall_since_ = now;
  if (shortfall_since_ == net::Time{} || now - shortfall_since_ <= kOverflowDelay) return;
  for (auto& [zone, cpus] : wanted.on_demand)
    cpus += overflow_cpus / static_cast<double>(wanted.on_demand.size());
  if (demand.on_demand_jobs.empty()) demand.on_demand_jobs = demand.spot_jobs;
}

Capacity CapacityPlanner::recent_peak(const Capacity& needed, net::Time now) {
  recent_demand_.emplace_back(now, needed);
  while (now - recent_demand_.front().first > net::to_duration(tuning_.idle_return))
    recent_demand_.pop_front();
  auto peak = needed;
  for (const auto& [at, past] : recent_demand_) {
    peak.spot_cpus = std::max(peak.spot_cpus, past.spot_cpus);
    for (const auto& [zone, cpus] : past.on_demand)
      peak.on_demand[zone] = std::max(peak.on_demand[zone], cpus);
  }
  return peak;
}
}  // namespace limemast::cloud

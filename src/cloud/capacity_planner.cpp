#include "cloud/capacity_planner.hpp"

#include <algorithm>

#include "jobs/long_task_scheduler.hpp"

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
/// Spot machines must have been too few for this long before on-demand ones are added.
constexpr auto kOverflowDelay = 10s;
/// A job whose target has passed should be complete within this time.
constexpr wire::Seconds kLateJobTime{300};

/// CPUs that complete the job in time: as many as its work takes until its target, and no more than
/// its tasks can use.
double deadline_cpus(const JobDemand& job) {
  const auto& spec = *job.spec;
  const auto left = std::max(job.until_target.value_or(kLateJobTime), spec.estimate);
  if (left.count() <= 0) return 0;
  return std::min(job.tasks, job.tasks * spec.estimate / left) * spec.cpus;
}

/// Adds what the job needs in the zones that are known; returns what it needs in any zone.
double add_on_demand(const JobDemand& job, Capacity& capacity) {
  const auto& spec = *job.spec;
  double waiting = job.tasks;
  if (job.tasks_by_zone)
    for (const auto& [zone, count] : *job.tasks_by_zone) {
      capacity.on_demand[zone] += count * spec.cpus;
      waiting -= count;
    }
  const double cpus = std::max(0.0, waiting) * spec.cpus;
  if (!spec.zone) return cpus;
  capacity.on_demand[*spec.zone] += cpus;
  return 0;
}
}  // namespace

Demand demand_of(const DemandInput& input) {
  Demand out;
  double anywhere = 0;
  for (const auto& job : input.jobs) {
    const auto& spec = *job.spec;
    if (!spec.service && spec.spot) {
      out.capacity.spot_cpus += job.tasks * spec.cpus;
      out.spot_jobs.push_back(&spec);
      if (job.is_expected) out.capacity.deadline_cpus += deadline_cpus(job);
    } else {
      out.on_demand_jobs.push_back(&spec);
      anywhere += add_on_demand(job, out.capacity);
    }
  }
  double total = anywhere;
  for (const auto& [zone, cpus] : out.capacity.on_demand) total += cpus;
  // Spare capacity for what comes next and for the loss of a machine: in each zone, since services
  // may not all go to one.
  if (total > 0) anywhere += total * jobs::kServiceSpareFraction + input.largest_machine_cpus / 2;
  for (const auto& zone : input.zones)
    out.capacity.on_demand[zone] += anywhere / static_cast<double>(input.zones.size());
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
    const auto there = supply.on_demand.find(zone);
    const double missing = cpus - (there == supply.on_demand.end() ? 0 : there->second);
    if (missing > 0) out.missing.emplace_back(zone, missing);
    out.surplus += std::max(0.0, -missing);
  }
  return out;
}

void CapacityPlanner::add_deadline_overflow(Demand& demand, const Capacity& supply, net::Time now) {
  auto& wanted = demand.capacity;
  const double late = (wanted.deadline_cpus - supply.spot_cpus) * tuning_.overflow;
  if (late <= 0 || !spot_unavailable_)
    late_since_ = {};
  else if (late_since_ == net::Time{})
    late_since_ = now;
  if (late_since_ == net::Time{} || now - late_since_ <= kOverflowDelay) return;
  for (auto& [zone, cpus] : wanted.on_demand)
    cpus += late / static_cast<double>(wanted.on_demand.size());
  if (demand.on_demand_jobs.empty()) demand.on_demand_jobs = demand.spot_jobs;
}

Capacity CapacityPlanner::recent_peak(const Capacity& needed, net::Time now) {
  recent_.emplace_back(now, needed);
  while (now - recent_.front().first > net::to_duration(tuning_.idle_return)) recent_.pop_front();
  auto peak = needed;
  for (const auto& [at, past] : recent_) {
    peak.spot_cpus = std::max(peak.spot_cpus, past.spot_cpus);
    for (const auto& [zone, cpus] : past.on_demand)
      peak.on_demand[zone] = std::max(peak.on_demand[zone], cpus);
  }
  return peak;
}
}  // namespace limemast::cloud

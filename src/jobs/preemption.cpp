#include "jobs/preemption.hpp"

#include <algorithm>
#include <cmath>
#include <compare>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
using wire::Resources;

/// Backoff of a job for which no victims were found.
constexpr auto kRetryDelay = 1s;
/// Start delays are compared in steps of the tolerance, or of this if it is greater.
constexpr wire::Seconds kMinDelayStep{0.1};

/// Cost of preempting on one machine; lower is better.
struct PreemptionCost {
  double delay_steps = 0;
  std::size_t victims = 0;
  auto operator<=>(const PreemptionCost&) const = default;
};
}  // namespace

void Preemption::remove_expired_backoffs(net::Time now) {
  std::erase_if(retry_after_, [&](const auto& entry) { return entry.second < now; });
}

void Preemption::place_all(const Job& job, MachineSlots& slots, net::Time now) {
  while (job.pending() > 0) {
    if (place_one(job, slots)) continue;
    retry_after_[job.record.spec.uid] = now + kRetryDelay;
    return;
  }
}

/// Chooses the machine where the task starts soonest and, among equal ones, the one with the fewest
/// victims.
bool Preemption::place_one(const Job& job, MachineSlots& slots) {
  const auto& spec = job.record.spec;
  const auto need = Resources::of(spec);
  const auto step = std::max(start_delay_tolerance(settings_, spec.workload), kMinDelayStep);
  MachineSlot* best = nullptr;
  PreemptionCost best_cost;
  std::vector<wire::TaskStatus> best_victims;
  for (auto& slot : slots) {
    if (slot.evicting || slot.short_partition || !Resources::of(*slot.type).fits(need) ||
        !job_owner_.may_place(job, *slot.machine_status))
      continue;
    auto victims = choose_victims(slot, spec);
    if (victims.empty()) continue;
    const PreemptionCost cost{std::floor(image_fetch_time(registry_, slot, spec) / step),
                              victims.size()};
    if (best && cost >= best_cost) continue;
    best = &slot;
    best_cost = cost;
    best_victims = std::move(victims);
  }
  if (!best || !job_owner_.place(spec.uid, best->machine_status->heartbeat.machine, best_victims))
    return false;
  best->evicting = true;
  best->free = {};
  return true;
}

std::vector<wire::TaskStatus> Preemption::choose_victims(const MachineSlot& slot,
                                                         const wire::JobSpec& spec) {
  struct Preemptible {
    const wire::TaskStatus* task;
    const wire::JobSpec* spec;
  };
  std::vector<Preemptible> preemptible;
  for (const auto& task : slot.machine_status->heartbeat.tasks) {
    const auto* other = task.exited() ? nullptr : job_directory_.find(task.uid);
    if (other && !other->ended && may_preempt(other->spec, spec))
      preemptible.push_back({&task, &other->spec});
  }
  std::stable_sort(preemptible.begin(), preemptible.end(),
                   [](const auto& a, const auto& b) { return a.spec->rank < b.spec->rank; });
  const auto need = Resources::of(spec);
  auto free = slot.free;
  std::vector<wire::TaskStatus> victims;
  for (const auto& candidate : preemptible) {
    if (free.fits(need)) break;
    free += Resources::of(*candidate.spec);
    victims.push_back(*candidate.task);
  }
  if (!free.fits(need)) victims.clear();
  return victims;
}

bool Preemption::may_preempt(const wire::JobSpec& victim, const wire::JobSpec& job) {
  // If one task of a gang is stopped after others have completed, the gang can never run together
  // again.
  if (victim.gang) return false;
  // Urgent jobs preempt all jobs of lower rank; other jobs preempt only best-effort ones.
  if (victim.rank < job.rank &&
      (job.rank >= wire::Rank::Urgent || settings_.is_best_effort(victim)))
    return true;
  // Tasks of teams without a guarantee are preempted so that other teams get their guaranteed
  // resources.
  return settings_.is_best_effort_team(victim.team) && !settings_.is_best_effort_team(job.team) &&
         guarantees_.covers(job);
}
}  // namespace limemast::jobs

#include "drains/eviction_plan.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace limemast::drains {
const char* name_of(EvictionBlocker blocker) {
  switch (blocker) {
    case EvictionBlocker::AlreadyStopping:
      return "moving";
    case EvictionBlocker::DisruptionLimit:
      return "one_at_a_time";
    case EvictionBlocker::NoCapacity:
      return "no_room";
    case EvictionBlocker::ZoneConstraint:
      return "zone_rule";
    case EvictionBlocker::RunsToCompletion:
      return "runs_on";
    case EvictionBlocker::Unreachable:
      return "silent";
  }
  return "";
}

namespace {
using TasksByZone = std::map<std::string, std::uint32_t>;

/// Whether the job's zone constraints allow one of its tasks to move from zone `from` to zone `to`.
bool zones_allow(const wire::JobSpec& spec, const TasksByZone& zones, const std::string& from,
                 const std::string& to) {
  if (spec.zone && *spec.zone != to) return false;
  const auto count_without_task = [&](const std::string& zone) -> std::uint32_t {
    const auto it = zones.find(zone);
    if (it == zones.end()) return 0;
    return it->second - (zone == from && it->second > 0 ? 1 : 0);
  };
  if (spec.spread && count_without_task(to) + 1 > spec.max_tasks_per_zone()) return false;
  // A task of a job that must be in one zone may change the zone only if no other task remains
  // there.
  return !spec.one_zone || std::all_of(zones.begin(), zones.end(), [&](const auto& zone) {
    return zone.first == to || count_without_task(zone.first) == 0;
  });
}

/// Orders services before other tasks, then by descending rank. Earlier tasks reserve free capacity
/// first.
std::vector<const TaskOnDrainedMachine*> by_priority(
    const std::vector<TaskOnDrainedMachine>& tasks) {
  std::vector<const TaskOnDrainedMachine*> out;
  out.reserve(tasks.size());
  for (const auto& task : tasks) out.push_back(&task);
  const auto priority = [](const TaskOnDrainedMachine& task) {
    return std::tuple(!task.spec->service, -static_cast<int>(task.spec->rank));
  };
  std::stable_sort(out.begin(), out.end(),
                   [&](const auto* a, const auto* b) { return priority(*a) < priority(*b); });
  return out;
}

class EvictionPlanner {
 public:
  EvictionPlanner(std::vector<EvictionTarget> targets, EvictionLimits limits)
      : targets_(std::move(targets)), limits_(std::move(limits)) {}

  EvictionDecision decide(const TaskOnDrainedMachine& task) {
    EvictionDecision out{&task, intrinsic_blocker(task), {}};
    if (out.blocker) return out;
    const auto [target, zone_constrained] = find_target(task);
    // Once the drain's patience has expired, a task of a batch job is requeued even if no other
    // machine has free capacity.
    const bool needs_target = task.spec->service || !task.patience_expired;
    if (!target && needs_target) {
      out.blocker =
          zone_constrained ? EvictionBlocker::ZoneConstraint : EvictionBlocker::NoCapacity;
    } else if (limits_.max_evictions == 0) {
      out.blocker = EvictionBlocker::DisruptionLimit;
    } else {
      --limits_.max_evictions;
      if (target) {
        target->free -= wire::Resources::of(*task.spec);
        out.target = target->machine;
      }
      if (task.spec->service) limits_.moving_jobs.insert(task.uid);
    }
    return out;
  }

 private:
  /// The blocker that does not depend on free capacity elsewhere; empty if there is none.
  std::optional<EvictionBlocker> intrinsic_blocker(const TaskOnDrainedMachine& task) const {
    const auto& spec = *task.spec;
    const bool has_checkpoints = spec.checkpoint_interval.count() > 0;
    if (task.stopping) return EvictionBlocker::AlreadyStopping;
    if (!task.reachable) return EvictionBlocker::Unreachable;
    if (!spec.service && !has_checkpoints && !task.patience_expired)
      return EvictionBlocker::RunsToCompletion;
    if (spec.service && limits_.moving_jobs.contains(task.uid))
      return EvictionBlocker::DisruptionLimit;
    return std::nullopt;
  }

  struct TargetSearch {
    EvictionTarget* target = nullptr;  ///< nullptr: no allowed machine has free capacity
    bool zone_constrained = false;  ///< suitable machines exist only in zones that are not allowed
  };
  TargetSearch find_target(const TaskOnDrainedMachine& task) {
    const auto& spec = *task.spec;
    const auto need = wire::Resources::of(spec);
    TargetSearch out;
    bool any_compatible = false;
    bool any_in_allowed_zone = false;
    for (auto& target : targets_) {
      if (!spec.allows_type(target.type) || (target.spot && !spec.spot)) continue;
      any_compatible = true;
      if (!zones_allow(spec, limits_.tasks_by_zone(task.uid), task.zone, target.zone)) continue;
      any_in_allowed_zone = true;
      if (!target.free.fits(need)) continue;
      const bool has_image = target.images.contains(spec.image);
      if (!out.target || (has_image && !out.target->images.contains(spec.image)))
        out.target = &target;
    }
    out.zone_constrained = any_compatible && !any_in_allowed_zone;
    return out;
  }

  std::vector<EvictionTarget> targets_;  ///< `free` excludes reserved capacity
  EvictionLimits limits_;                ///< reduced by the decisions made so far
};
}  // namespace

std::vector<EvictionDecision> plan_evictions(const std::vector<TaskOnDrainedMachine>& tasks,
                                             std::vector<EvictionTarget> targets,
                                             EvictionLimits limits) {
  EvictionPlanner planner(std::move(targets), std::move(limits));
  std::vector<EvictionDecision> out;
  out.reserve(tasks.size());
  for (const auto* task : by_priority(tasks)) out.push_back(planner.decide(*task));
  return out;
}
}  // namespace limemast::drains

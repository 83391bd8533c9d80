#pragma once
// Plans which tasks are evicted from drained machines now, and says why the others are not. Does no
// I/O.
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "drains/drain.hpp"
#include "wire/resources.hpp"

namespace limemast::drains {
/// Why a task on a drained machine is not evicted now.
enum class EvictionBlocker {
  AlreadyStopping,   ///< a stop command was sent or the task is saving its state
  DisruptionLimit,   ///< another replica of its service is moving, or the limit of moves is reached
  NoCapacity,        ///< no machine has free capacity; the autoscaler launches one where it can
  ZoneConstraint,    ///< its zone, spread or single-zone constraint allows no other machine
  RunsToCompletion,  ///< it has no checkpoints and may finish until the drain's patience expires
  Unreachable,       ///< its machine has sent no recent heartbeat
};
/// The blocker's name in the operator API.
const char* name_of(EvictionBlocker blocker);

/// A task on a drained machine and the inputs to the decision about it.
struct TaskOnDrainedMachine {
  std::string machine;
  std::string zone;
  std::string uid;  ///< uid of the job
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  bool reachable = true;                ///< its machine has sent a recent heartbeat
  bool stopping = false;                ///< a stop command was just sent, or the task is saving
  bool patience_expired = false;        ///< a drain of the machine is older than the patience
  const wire::JobSpec* spec = nullptr;  ///< spec of the job; never nullptr
};

/// A machine to which evicted tasks can move: not drained and accepting tasks.
struct EvictionTarget {
  std::string machine;
  std::string zone;
  std::string type;
  bool spot = false;
  wire::Resources free;
  std::set<std::string> images;  ///< cached images, limited to those that the tasks need
};

struct EvictionDecision {
  const TaskOnDrainedMachine* task = nullptr;
  std::optional<EvictionBlocker> blocker;  ///< empty: the task is evicted now
  std::string target;                      ///< machine with reserved capacity; empty: none
};

/// Limits on the evictions of one step.
struct EvictionLimits {
  /// Returns the number of a job's assigned tasks by zone.
  std::function<const std::map<std::string, std::uint32_t>&(const std::string& uid)> tasks_by_zone;
  std::set<std::string> moving_jobs;  ///< jobs with an incomplete eviction
  std::size_t max_evictions = 0;
};

/// Decides for each task whether it is evicted now. A replica cannot start elsewhere before it has
/// stopped, because a task must never run twice at the same time. The plan therefore reserves free
/// capacity for it before the eviction, and moves one replica of a service at a time. Services are
/// considered before other tasks, and higher ranks before lower ones.
std::vector<EvictionDecision> plan_evictions(const std::vector<TaskOnDrainedMachine>& tasks,
                                             std::vector<EvictionTarget> targets,
                                             EvictionLimits limits);
}  // namespace limemast::drains

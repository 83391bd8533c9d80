#pragma once
// The leader's part of drains: evicts the tasks of drained machines.
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "drains/eviction_plan.hpp"
#include "jobs/long_task_scheduler.hpp"

namespace limemast::drains {
/// How far a drain has come, as the leader sees it.
struct DrainProgress {
  std::size_t machines = 0;                              ///< that it covers
  std::size_t empty = 0;                                 ///< of those
  std::size_t tasks = 0;                                 ///< still there
  std::map<EvictionBlocker, std::size_t> blocked_tasks;  ///< tasks by what blocks their eviction
  std::map<EvictionBlocker, std::string> example_tasks;  ///< the name of one task of each
};

/// Empties drained machines gracefully, as far as constraints and room allow. Which drains there
/// are is in the store, and what is stopped shows in heartbeats: a new leader goes on with both.
class DrainController {
 public:
  DrainController(net::Runtime& runtime, const wire::Settings& settings,
                  cluster::Membership& membership, cluster::JobDirectory& job_directory,
                  machines::Registry& registry, jobs::JobOwner& job_owner,
                  jobs::LongTaskScheduler& scheduler, const Drains& drains);
  /// The periodic step, to be called once a second; does nothing unless this controller leads.
  void tick();
  /// By the id of the drain; the leader has not looked yet at drains that are not in it.
  const std::map<std::string, DrainProgress>& progress() const { return progress_; }

 private:
  using TaskId = std::pair<std::string, std::uint32_t>;  ///< job and index
  struct Eviction {
    std::string machine;  ///< that the task left
    net::Time at{};
  };
  std::vector<TaskOnDrainedMachine> tasks_on_drained_machines() const;
  /// Adds the tasks of one machine.
  void collect_tasks(const machines::MachineStatus& status,
                     std::vector<TaskOnDrainedMachine>& out) const;
  bool is_past_patience(const machines::MachineStatus& status) const;
  bool is_reachable(const machines::MachineStatus& status) const;
  bool was_just_evicted(const TaskId& task) const;
  std::vector<EvictionTarget> targets(const std::vector<TaskOnDrainedMachine>& tasks) const;
  EvictionLimits limits() const;
  void forget_completed_evictions();
  /// It runs elsewhere, or need not be waited for any longer.
  bool is_completed(const TaskId& task, const Eviction& eviction) const;
  void update_progress(const std::vector<EvictionDecision>& decisions);
  DrainProgress progress_of(const Drain& drain,
                            const std::vector<EvictionDecision>& decisions) const;
  void evict(const EvictionDecision& decision);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  cluster::Membership& membership_;
  cluster::JobDirectory& job_directory_;
  machines::Registry& registry_;
  jobs::JobOwner& job_owner_;
  jobs::LongTaskScheduler& scheduler_;
  const Drains& drains_;
  std::map<TaskId, Eviction> evictions_;  ///< told to stop, not running elsewhere yet
  std::map<std::string, DrainProgress> progress_;
};
}  // namespace limemast::drains

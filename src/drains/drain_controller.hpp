#pragma once
// Evicts tasks from drained machines.
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "drains/eviction_plan.hpp"
#include "jobs/long_task_scheduler.hpp"

namespace limemast::drains {
/// The progress of a drain as known to the leader.
struct DrainProgress {
  std::size_t machines = 0;                              ///< number of machines it covers
  std::size_t empty = 0;                                 ///< number of them without live tasks
  std::size_t tasks = 0;                                 ///< number of live tasks on them
  std::map<EvictionBlocker, std::size_t> blocked_tasks;  ///< number of tasks by blocker
  std::map<EvictionBlocker, std::string> example_tasks;  ///< name of one task for each blocker
};

/// Evicts tasks from drained machines gracefully, as far as constraints and free capacity allow.
/// Drains are recorded in the store and heartbeats show which tasks are stopping, so a new leader
/// continues where the previous one stopped.
class DrainController {
 public:
  DrainController(net::Runtime& runtime, const wire::Settings& settings,
                  cluster::Membership& membership, cluster::JobDirectory& job_directory,
                  machines::Registry& registry, jobs::JobOwner& job_owner,
                  jobs::LongTaskScheduler& scheduler, const Drains& drains);
  /// Runs the periodic step. Must be called once a second; evicts nothing unless this controller is
  /// the leader.
  void tick();
  /// The progress by drain id. Drains that no step has processed yet are missing.
  const std::map<std::string, DrainProgress>& progress() const { return progress_; }

 private:
  using TaskId = std::pair<std::string, std::uint32_t>;  ///< uid of the job, index of the task
  struct Eviction {
    std::string machine;  ///< the drained machine
    net::Time started_at{};
  };
  std::vector<TaskOnDrainedMachine> tasks_on_drained_machines() const;
  /// Appends the live tasks of one machine to `out`.
  void collect_tasks(const machines::MachineStatus& status,
                     std::vector<TaskOnDrainedMachine>& out) const;
  bool is_patience_expired(const machines::MachineStatus& status) const;
  bool is_reachable(const machines::MachineStatus& status) const;
  bool was_just_evicted(const TaskId& task) const;
  std::vector<EvictionTarget> targets(const std::vector<TaskOnDrainedMachine>& tasks) const;
  EvictionLimits limits() const;
  void remove_completed_evictions();
  /// Whether the task runs on another machine or the eviction no longer has to be tracked.
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
  std::map<TaskId, Eviction> evictions_;  ///< evictions that are not complete yet
  std::map<std::string, DrainProgress> progress_;
};
}  // namespace limemast::drains

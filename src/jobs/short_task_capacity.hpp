#pragma once
// Frees capacity for short tasks by stopping best-effort long tasks.
#include "jobs/job_owner.hpp"

namespace limemast::jobs {
/// Short tasks do not run on machines with long tasks, and best-effort long tasks may have spread
/// to most machines while no other task needed them. Runs on the leader.
class ShortTaskCapacity {
 public:
  /// All arguments must outlive this object.
  ShortTaskCapacity(net::Runtime& runtime, const wire::Settings& settings,
                    const cluster::JobDirectory& job_directory, const machines::Registry& registry,
                    JobOwner& job_owner)
      : runtime_(runtime),
        settings_(settings),
        job_directory_(job_directory),
        registry_(registry),
        job_owner_(job_owner) {}

  /// CPUs that pending short tasks need beyond those free on machines without long tasks; zero or
  /// less if they have enough. Best-effort jobs do not count.
  double missing_cpus() const;
  /// Stops long tasks on as many machines as short tasks need, if the previous call found a
  /// shortage too. Chooses only machines whose long tasks are all best effort, those with the
  /// fewest first.
  void reclaim();

 private:
  struct ReclaimableMachine {
    std::size_t long_tasks = 0;
    const MachineStatus* machine_status = nullptr;
  };
  /// Ordered by the number of tasks that would be stopped.
  std::vector<ReclaimableMachine> reclaimable_machines() const;
  std::optional<ReclaimableMachine> reclaimable(const MachineStatus& machine_status) const;
  /// The job of a task that has not exited, if that job is known and long; otherwise nullptr.
  const ActiveJob* long_job_of(const wire::TaskStatus& task) const;
  /// Stops the machine's long tasks. Returns how many of the `missing` CPUs are still missing then.
  double stop_long_tasks(const MachineStatus& machine_status, double missing);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  const cluster::JobDirectory& job_directory_;
  const machines::Registry& registry_;
  JobOwner& job_owner_;
  bool had_shortage_ = false;  ///< in the previous call of `reclaim`
};
}  // namespace limemast::jobs

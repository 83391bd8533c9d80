#pragma once
// Keeps room for short tasks beside preemptible long ones.
#include "jobs/job_owner.hpp"

namespace limemast::jobs {
/// Short tasks do not run on machines with long tasks, and best-effort long tasks may have come to
/// most machines while nobody else needed them. Runs on the leader.
class ShortTaskCapacity {
 public:
  /// All arguments must outlive this.
  ShortTaskCapacity(net::Runtime& runtime, const wire::Settings& settings,
                    const cluster::JobDirectory& job_directory, const machines::Registry& registry,
                    JobOwner& job_owner)
      : runtime_(runtime),
        settings_(settings),
        job_directory_(job_directory),
        registry_(registry),
        job_owner_(job_owner) {}

  /// CPUs that waiting short tasks need beyond what is free on machines without long tasks. Zero or
  /// less if they have room. Best-effort tasks do not count.
  double missing_cpus() const;
  /// Stops long tasks on as many machines as the short ones lack, if they lacked some in the last
  /// call too. Only machines where all long tasks are preemptible, those with the fewest first.
  void reclaim();

 private:
  struct ReclaimableMachine {
    std::size_t long_tasks = 0;
    const MachineStatus* machine_status = nullptr;
  };
  /// Ordered by what is stopped there.
  std::vector<ReclaimableMachine> reclaimable_machines() const;
  std::optional<ReclaimableMachine> reclaimable(const MachineStatus& machine_status) const;
  /// The job of a task that has not exited, if it is a known long one; nullptr otherwise.
  const ActiveJob* long_job_of(const wire::TaskStatus& task) const;
  /// Stops the machine's long tasks. Of the `missing` CPUs, what is still missing after that.
  double stop_long_tasks(const MachineStatus& machine_status, double missing);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  const cluster::JobDirectory& job_directory_;
  const machines::Registry& registry_;
  JobOwner& job_owner_;
  bool had_shortage_ = false;  ///< in the last call of `reclaim`
};
}  // namespace limemast::jobs

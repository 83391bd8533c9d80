#pragma once
// The leader's scheduler for long tasks and services.
#include "jobs/job_owner.hpp"
#include "jobs/long_task_map_publisher.hpp"
#include "jobs/long_task_placement.hpp"
#include "jobs/machine_slot.hpp"
#include "jobs/preemption.hpp"
#include "jobs/scheduling_order.hpp"
#include "jobs/short_task_capacity.hpp"
#include "jobs/team_guarantees.hpp"

namespace limemast::jobs {
/// The centralized scheduler of Eagle (Delgado et al. 2016): places long tasks and services in one
/// global order, preempts other tasks for them, and publishes the long-task map. Does nothing
/// unless this controller leads. Not thread-safe; all calls come from the event loop.
class LongTaskScheduler {
 public:
  using Slots = MachineSlots;

  /// All arguments must outlive the scheduler.
  LongTaskScheduler(net::Runtime& runtime, const wire::Settings& settings,
                    cluster::Membership& membership, cluster::MessageBus& message_bus,
                    cluster::JobDirectory& job_directory, machines::Registry& registry,
                    JobOwner& job_owner, diagnostics::PendingReasonTable& pending_reasons);

  /// Places as many pending tasks as possible. May be called often: returns at once while nothing
  /// has changed.
  void run();
  /// Frees capacity for short tasks and publishes the long-task map. To be called periodically.
  void send_map();
  /// The machines that accept tasks, with their free resources.
  Slots slots() const;

 private:
  struct WaitingJob {
    SchedulingOrder order;
    const Job* job = nullptr;
  };
  /// Returns true if something may have changed since the last run, or if enough time has passed,
  /// and records the start of a run in that case.
  bool run_is_due(net::Time now);
  /// The long jobs with tasks to place, in scheduling order. Records for all other long jobs why
  /// their tasks are pending.
  std::vector<WaitingJob> collect_waiting_jobs();
  void place(const std::vector<WaitingJob>& waiting, net::Time now);
  bool best_effort_task_runs() const;
  /// Records the positions in the queue that users see.
  void record_queue_positions(const std::vector<WaitingJob>& waiting);
  void record_outcome(const std::vector<WaitingJob>& waiting);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  cluster::Membership& membership_;
  cluster::JobDirectory& job_directory_;
  machines::Registry& registry_;
  JobOwner& job_owner_;
  diagnostics::PendingReasonTable& pending_reasons_;
  TeamGuarantees guarantees_;
  LongTaskPlacement placement_;
  Preemption preemption_;
  ShortTaskCapacity short_task_capacity_;
  LongTaskMapPublisher map_publisher_;
  std::uint64_t seen_capacity_changes_ = 0;
  std::uint64_t seen_arrivals_ = 0;
  net::Time last_run_{};
};
}  // namespace limemast::jobs

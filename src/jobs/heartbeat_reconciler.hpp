#pragma once
// Reconciles task assignments with the tasks that machines report in their heartbeats.
#include "diagnostics/pending_reason_table.hpp"
#include "jobs/failover_barrier_state.hpp"
#include "jobs/job_completion.hpp"
#include "messages/tasks.hpp"

namespace limemast::jobs {
/// Whether a task returns to its job's queue when its assignment ends.
enum class Requeue { Yes, No };

/// Reconciles the assignments of owned jobs with the heartbeats of machines: confirms starts,
/// adopts orphaned tasks, stops duplicates, and records exits and failures. An assignment ends only
/// on one of the proofs listed in machines/delivery_resolution.hpp.
class HeartbeatReconciler {
 public:
  HeartbeatReconciler(net::Runtime& runtime, cluster::Membership& membership,
                      cluster::MessageBus& message_bus, cluster::JobDirectory& job_directory,
                      machines::Registry& registry,
                      diagnostics::PendingReasonTable& pending_reasons, OwnedJobs& owned_jobs,
                      FailoverBarrierState& failover_barrier, JobCompletion& job_completion);

  /// Reconciles with the machine's newest heartbeat, which must already be in the registry.
  void on_heartbeat(const std::string& machine);
  /// Ends all assignments to a machine that was terminated, since its tasks ended with it.
  void on_machine_removed(const std::string& machine);
  /// Marks the unconfirmed starts that lost members were to deliver, so that heartbeats with a
  /// token of the new epoch resolve them.
  void on_epoch_changed();
  /// Processes again the heartbeats of machines for which a step was deferred. To be called once a
  /// second.
  void reprocess_heartbeats();
  /// Ends the assignment of a task. Does nothing if the task is not assigned.
  void release(Job& job, std::uint32_t index, Requeue requeue);
  /// Sends a command for this task through the controller that the machine is attached to.
  /// `grace_period`: how long a stopped task may take to save its state.
  void command_worker(const std::string& machine, const wire::TaskStatus& task,
                      wire::CommandKind kind, wire::Seconds grace_period = wire::Seconds(0));

 private:
  /// If the machine is now attached to another controller, forgets which jobs have probes at it,
  /// because the former controller's probe queue is gone.
  void update_attached_controller(const MachineStatus& machine_status);
  /// Applies the heartbeat to a task that is assigned to the machine.
  void reconcile_assigned(Job& job, std::uint32_t index, const MachineStatus& machine_status);
  void confirm(Job& job, std::uint32_t index, TaskAssignment& assignment,
               const wire::TaskStatus& task, const wire::Heartbeat& heartbeat);
  /// Updates the task's running state from a heartbeat that does not resolve the delivery of its
  /// start.
  void observe_unresolved(Job& job, std::uint32_t index, TaskAssignment& assignment,
                          const wire::TaskStatus& task, const wire::Heartbeat& heartbeat);
  void stop_before_preemption(const wire::JobSpec& spec, TaskAssignment& assignment,
                              const wire::TaskStatus& task, const wire::Heartbeat& heartbeat);
  /// Clears the pending reason `Image` once every task of the job runs or is complete.
  void clear_image_wait(const Job& job);
  /// Applies the heartbeat to a task that it shows, whether or not the task is assigned.
  void reconcile_observed(const wire::TaskStatus& task, const MachineStatus& machine_status);
  void on_unassigned_exit(Job& job, const wire::TaskStatus& task,
                          const MachineStatus& machine_status);
  /// Assigns to the machine a task that it already runs and that has no assignment.
  void adopt_orphan(Job& job, const wire::TaskStatus& task, const MachineStatus& machine_status);
  /// Handles a task that the machine shows while it is assigned to another machine or under another
  /// attempt.
  void on_conflicting_observation(Job& job, const wire::TaskStatus& task,
                                  const MachineStatus& machine_status);
  /// Adopts the task on the first of these machines whose newest heartbeat shows the attempt and no
  /// exit of it. Returns false if there is none.
  bool adopt_conflicting(Job& job, std::uint32_t index, std::uint64_t attempt,
                         std::set<std::string> machines);
  void on_exit(Job& job, std::uint32_t index, const wire::TaskStatus& task,
               const std::string& machine);
  void on_failure(Job& job, std::uint32_t index, const std::string& machine,
                  net::Duration run_time);

  net::Runtime& runtime_;
  cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  cluster::JobDirectory& job_directory_;
  machines::Registry& registry_;
  diagnostics::PendingReasonTable& pending_reasons_;
  OwnedJobs& owned_jobs_;
  FailoverBarrierState& failover_barrier_;
  JobCompletion& job_completion_;
  /// Machines whose newest heartbeat must be processed again even if no newer one arrives.
  std::set<std::string> machines_to_reprocess_;
  /// By machine id: the controller that the machine was attached to when its last heartbeat was
  /// processed.
  std::vector<ControllerId> attached_controllers_;
};
}  // namespace limemast::jobs

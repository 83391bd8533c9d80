#pragma once
// Compares what heartbeats show with what is assigned, and acts on the difference.
#include "diagnostics/pending_reason_table.hpp"
#include "jobs/failover_barrier_state.hpp"
#include "jobs/job_completion.hpp"
#include "messages/tasks.hpp"

namespace limemast::jobs {
/// Whether a task whose assignment ends is to be assigned again.
enum class Requeue { Yes, No };

/// Reconciles the assignments of owned jobs with the machines' heartbeats: starts are confirmed,
/// orphaned tasks adopted, duplicates stopped, exits and failures recorded. An assignment ends only
/// by proof (machines/delivery_resolution.hpp).
class HeartbeatReconciler {
 public:
  HeartbeatReconciler(net::Runtime& runtime, cluster::Membership& membership,
                      cluster::MessageBus& message_bus, cluster::JobDirectory& job_directory,
                      machines::Registry& registry,
                      diagnostics::PendingReasonTable& pending_reasons, OwnedJobs& owned_jobs,
                      FailoverBarrierState& failover_barrier, JobCompletion& job_completion);

  /// Reads the machine's newest heartbeat, which the registry has taken in.
  void on_heartbeat(const std::string& machine);
  /// The machine is gone for good, and all that was on it.
  void on_machine_removed(const std::string& machine);
  /// Starts that a lost member was to deliver are resolved by heartbeats of the new epoch.
  void on_epoch_changed();
  /// Reads heartbeats again from which something could not be concluded yet. Once a second.
  void reprocess_heartbeats();
  /// Ends the assignment of a task, if there is one.
  void release(Job& job, std::uint32_t index, Requeue requeue);
  /// Sends the machine a command for this task. `grace_period`: how long the task may take to save
  /// its state when it is stopped.
  void command_worker(const std::string& machine, const wire::TaskStatus& task,
                      wire::CommandKind kind, wire::Seconds grace_period = wire::Seconds(0));

 private:
  /// The probes that the machine's former controller had queued are gone.
  void update_attached_controller(const MachineStatus& machine_status);
  /// What the heartbeat shows of a task that is assigned to the machine.
  void reconcile_assigned(Job& job, std::uint32_t index, const MachineStatus& machine_status);
  void confirm(Job& job, std::uint32_t index, TaskAssignment& assignment,
               const wire::TaskStatus& task, const wire::Heartbeat& heartbeat);
  /// The heartbeat shows the task, but its delivery is not resolved by it.
  void observe_unresolved(Job& job, std::uint32_t index, TaskAssignment& assignment,
                          const wire::TaskStatus& task, const wire::Heartbeat& heartbeat);
  void stop_before_preemption(const wire::JobSpec& spec, TaskAssignment& assignment,
                              const wire::TaskStatus& task, const wire::Heartbeat& heartbeat);
  /// Nothing of the job waits for an image any more once all its tasks run.
  void clear_image_wait(const Job& job);
  /// A task that the heartbeat shows, whether or not it is assigned.
  void reconcile_observed(const wire::TaskStatus& task, const MachineStatus& machine_status);
  void on_unassigned_exit(Job& job, const wire::TaskStatus& task,
                          const MachineStatus& machine_status);
  /// Takes over a task that runs on the machine and is not assigned.
  void adopt_orphan(Job& job, const wire::TaskStatus& task, const MachineStatus& machine_status);
  /// The machine shows a task that is assigned elsewhere, or under another attempt.
  void on_conflicting_observation(Job& job, const wire::TaskStatus& task,
                                  const MachineStatus& machine_status);
  /// Adopts the task where a conflicting observation still shows it. False if there is none.
  bool adopt_conflicting(Job& job, std::uint32_t index, std::uint64_t attempt,
                         std::set<std::string> machines);
  void on_exit(Job& job, std::uint32_t index, const wire::TaskStatus& task,
               const std::string& machine);
  void on_failure(Job& job, std::uint32_t index, const std::string& machine, net::Duration ran);

  net::Runtime& runtime_;
  cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  cluster::JobDirectory& job_directory_;
  machines::Registry& registry_;
  diagnostics::PendingReasonTable& pending_reasons_;
  OwnedJobs& owned_jobs_;
  FailoverBarrierState& failover_barrier_;
  JobCompletion& job_completion_;
  /// Machines whose newest heartbeat must be read again though no newer one may come.
  std::set<std::string> machines_to_reprocess_;
  /// By the machine's id: the controller it was attached to when its heartbeat was last read.
  std::vector<ControllerId> attached_controllers_;
};
}  // namespace limemast::jobs

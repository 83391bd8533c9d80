#pragma once
// The interface to the jobs that this controller owns.
#include "jobs/completion_recorder.hpp"
#include "jobs/prober.hpp"
#include "jobs/task_dispatcher.hpp"

namespace limemast::jobs {
/// Owns the short jobs that this controller accepted and, while it leads, all long jobs and the
/// short jobs of lost members. Only the owner of a job assigns its tasks, each to one machine at a
/// time.
///
/// This class takes ownership of jobs, runs the periodic work, and connects the classes that do the
/// rest: OwnedJobs (state), TaskDispatcher (assignments), DeliveryMonitor (unresolved starts),
/// HeartbeatReconciler (tasks that machines report), FailoverBarrierState (which machines have
/// confirmed a takeover), JobCompletion (final phases), CompletionRecorder (stored completions),
/// Prober (probes of short jobs) and PendingReasonRecorder (diagnostics).
class JobOwner {
 public:
  JobOwner(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
           cluster::Membership& membership, cluster::MessageBus& message_bus,
           cluster::JobDirectory& job_directory, machines::Registry& registry,
           diagnostics::PendingReasonTable& pending_reasons,
           diagnostics::CapacityDiagnosis& capacity_diagnosis,
           CompletionBroadcast& completion_broadcast);

  /// To be called when the set of registered machines has changed.
  void on_registrations_changed() { failover_barrier_.on_registrations_changed(); }
  /// Takes ownership of those of these jobs that belong to this controller in the current epoch.
  void take_ownership(const std::vector<std::string>& uids);
  /// To be called when the membership epoch has changed, since owners may change with it.
  void on_epoch_changed();
  /// To be called when the registry has stored a newer heartbeat of the machine.
  void on_heartbeat(const std::string& machine) { heartbeat_reconciler_.on_heartbeat(machine); }
  /// To be called when the machine is deregistered, that is, terminated together with its tasks.
  void on_machine_removed(const std::string& machine);
  /// Runs the periodic work. To be called once a second.
  void tick();

  /// All owned jobs, by uid.
  const OwnedJobs::JobMap& jobs() const { return owned_jobs_.all(); }
  /// nullopt if the job is not owned here.
  std::optional<Status> status(const std::string& uid) const;
  /// Cancels the job. `done` is called with the final phase once that is stored, which may be Done,
  /// or with nullopt if the job is not owned here.
  void cancel(const std::string& uid, std::function<void(std::optional<Phase>)> done) {
    job_completion_.cancel(uid, std::move(done));
  }
  /// To be called when the watch cache shows that the job's active record is gone.
  void on_active_record_removed(const std::string& uid) {
    job_completion_.on_active_record_removed(uid);
  }
  /// To be called when any controller has stored the job's final record. No task of the job is
  /// assigned afterwards.
  void on_job_ended(const std::string& uid, Phase phase) {
    job_completion_.on_job_ended(uid, phase);
  }

  /// See TaskDispatcher.
  bool may_assign(const Job& job) const { return task_dispatcher_.may_assign(job); }
  /// See TaskDispatcher.
  bool may_place(const Job& job, const MachineStatus& machine_status) const {
    return task_dispatcher_.may_place(job, machine_status);
  }
  /// See TaskDispatcher.
  bool place(const std::string& uid, const std::string& machine,
             const std::vector<wire::TaskStatus>& evict = {}) {
    return task_dispatcher_.place(uid, machine, evict);
  }
  /// See TaskDispatcher.
  bool quota_allows_all(const Job& job) { return task_dispatcher_.quota_allows_all(job); }
  /// See HeartbeatReconciler.
  void command_worker(const std::string& machine, const wire::TaskStatus& task,
                      wire::CommandKind kind, wire::Seconds grace_period = wire::Seconds(0)) {
    heartbeat_reconciler_.command_worker(machine, task, kind, grace_period);
  }
  /// See RefusedMachines.
  bool recently_refused(const std::string& machine) const {
    return refused_machines_.recently_refused(machine, runtime_.now());
  }

  /// Whether any task of an owned job is assigned to this machine.
  bool has_tasks_on(const std::string& machine) const { return owned_jobs_.has_tasks_on(machine); }
  /// See OwnedJobs.
  wire::Resources starting_resources(const std::string& machine) const {
    return owned_jobs_.starting_resources(machine);
  }
  /// Whether any task of an owned long job is assigned to this machine.
  bool has_long_tasks(const std::string& machine) const {
    return owned_jobs_.has_long_tasks(machine);
  }
  /// Counts events that may allow the leader to place further tasks.
  std::uint64_t capacity_changes() const { return owned_jobs_.capacity_changes(); }
  /// Counts the long jobs that this controller has taken ownership of.
  std::uint64_t long_job_arrivals() const { return owned_jobs_.long_job_arrivals(); }

  /// The epoch that machines must confirm before all pending tasks may be assigned; kNoEpoch if
  /// none.
  ids::EpochNumber failover_barrier_epoch() const { return failover_barrier_.awaited_epoch(); }
  /// Whether the machine has confirmed this epoch or a later one.
  bool machine_confirmed(const std::string& machine, ids::EpochNumber epoch) const {
    return failover_barrier_.confirmed_by(machine, epoch);
  }

  /// See PendingReasonRecorder.
  std::optional<diagnostics::PendingReason> blocking_reason(const Job& job) const {
    return pending_reasons_.blocking_reason(job);
  }
  /// See PendingReasonRecorder.
  void record_pending_reason(const Job& job) { pending_reasons_.record(job); }

 private:
  /// Collected in one pass of the periodic work over all owned jobs.
  struct JobsSummary {
    std::vector<Job*> to_announce;
    std::map<std::string, wire::Resources> pending_resources;  ///< by team
    std::vector<std::string> to_erase;
  };
  void on_probes_dropped(const messages::ProbesDropped& message);
  bool should_take_ownership(const std::string& uid) const;
  /// Whether no other controller can have assigned tasks of the job: a short job was accepted here,
  /// or a long one was accepted since this controller became leader.
  bool owned_since_acceptance(const ActiveJob& record) const;
  Job& add_owned_job(const ActiveJob& record);
  void apply_failover_barrier(Job& job);
  /// Forgets the probes at machines whose controller was lost, and announces all pending tasks
  /// again, because new members do not know them.
  void reset_probes_and_announcements();
  void update_job(Job& job, JobsSummary& summary);
  void update_short_job(Job& job, JobsSummary& summary);
  /// Whether the job has ended and none of its tasks is assigned.
  bool can_be_erased(const Job& job) const;
  /// Determines the epoch that machines must confirm. Returns true if all tasks that may run are
  /// known here.
  bool update_failover_barrier(bool work_pending);
  void update_orphaned_usage();

  net::Runtime& runtime_;
  cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  cluster::JobDirectory& job_directory_;
  machines::Registry& registry_;
  Quota quota_;
  OwnedJobs owned_jobs_;
  FailoverBarrierState failover_barrier_;
  RefusedMachines refused_machines_;
  Prober prober_;
  JobCompletion job_completion_;
  CompletionRecorder completion_recorder_;
  HeartbeatReconciler heartbeat_reconciler_;
  DeliveryMonitor delivery_monitor_;
  PendingReasonRecorder pending_reasons_;
  PendingTasksBroadcast pending_tasks_broadcast_;
  TaskDispatcher task_dispatcher_;
};
}  // namespace limemast::jobs

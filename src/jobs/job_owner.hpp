#pragma once
// The jobs that this controller owns, as the rest of the controller sees them.
#include "jobs/completion_recorder.hpp"
#include "jobs/prober.hpp"
#include "jobs/task_dispatcher.hpp"

namespace limemast::jobs {
/// Owns jobs: short ones that this controller accepted, and all long ones while it leads. It alone
/// assigns their tasks, each to one machine at a time.
///
/// This class takes jobs up, runs the periodic work, and wires the classes that do the rest:
/// OwnedJobs (state), TaskDispatcher (assignments), DeliveryMonitor (unacknowledged starts),
/// HeartbeatReconciler (what machines show), FailoverBarrierState (which machines have confirmed a
/// takeover), JobCompletion (final phases), CompletionRecorder (stored completions), Prober (probes
/// of short jobs) and PendingReasonRecorder (diagnostics).
class JobOwner {
 public:
  JobOwner(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
           cluster::Membership& membership, cluster::MessageBus& message_bus,
           cluster::JobDirectory& job_directory, machines::Registry& registry,
           diagnostics::PendingReasonTable& pending_reasons,
           diagnostics::CapacityDiagnosis& capacity_diagnosis,
           CompletionBroadcast& completion_broadcast);

  /// The set of registered machines has changed.
  void on_registrations_changed() { failover_barrier_.on_registrations_changed(); }
  /// Takes up those of these jobs that this controller owns in the present epoch.
  void take_ownership(const std::vector<std::string>& uids);
  /// The membership epoch has changed: owners may have.
  void on_epoch_changed();
  /// The registry has taken in a newer heartbeat of the machine.
  void on_heartbeat(const std::string& machine) { heartbeat_reconciler_.on_heartbeat(machine); }
  /// The machine is deregistered: it is gone for good, and all that was on it.
  void on_machine_removed(const std::string& machine);
  /// The periodic work. Once a second.
  void tick();

  /// All owned jobs, by uid.
  const OwnedJobs::JobMap& jobs() const { return owned_jobs_.all(); }
  /// nullopt if the job is not owned here.
  std::optional<Status> status(const std::string& uid) const;
  /// Cancels the job. `done` gets the final phase once it is stored, which may be Done; nullopt if
  /// the job is not owned here.
  void cancel(const std::string& uid, std::function<void(std::optional<Phase>)> done) {
    job_completion_.cancel(uid, std::move(done));
  }
  /// The watch cache shows that the job's active record is gone.
  void on_active_record_removed(const std::string& uid) {
    job_completion_.on_active_record_removed(uid);
  }
  /// The job's final record is stored, whoever wrote it. No task of it is assigned any more.
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

  /// A task is assigned to this machine.
  bool has_tasks_on(const std::string& machine) const { return owned_jobs_.has_tasks_on(machine); }
  /// See OwnedJobs.
  wire::Resources starting_resources(const std::string& machine) const {
    return owned_jobs_.starting_resources(machine);
  }
  /// A task of a long job is assigned to this machine.
  bool has_long_tasks(const std::string& machine) const {
    return owned_jobs_.has_long_tasks(machine);
  }
  /// Grows with everything that may make room or work for the leader's placement.
  std::uint64_t capacity_changes() const { return owned_jobs_.capacity_changes(); }
  /// Grows with each long job taken up.
  std::uint64_t long_job_arrivals() const { return owned_jobs_.long_job_arrivals(); }

  /// The epoch that machines must confirm before all waiting work may be assigned; kNoEpoch: none.
  ids::EpochNumber failover_barrier_epoch() const { return failover_barrier_.awaited_epoch(); }
  /// The machine has confirmed this epoch or a later one.
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
  /// What one round of the periodic work finds out about all jobs.
  struct JobsSummary {
    std::vector<Job*> to_announce;
    std::map<std::string, wire::Resources> pending_resources;  ///< by team
    std::vector<std::string> to_erase;
  };
  void on_probes_dropped(const messages::ProbesDropped& message);
  bool should_take_ownership(const std::string& uid) const;
  /// The job was accepted here, or since this controller has led: no other owner assigned its
  /// tasks.
  bool owned_since_acceptance(const ActiveJob& record) const;
  Job& add_owned_job(const ActiveJob& record);
  void apply_failover_barrier(Job& job);
  /// Probes that controllers of former epochs held are gone, and a new member knows of no pending
  /// tasks.
  void reset_probes_and_announcements();
  void update_job(Job& job, JobsSummary& summary);
  void update_short_job(Job& job, JobsSummary& summary);
  /// The job has ended and nothing of it is left here.
  bool can_be_erased(const Job& job) const;
  /// Finds the epoch that machines must confirm. Returns true if all that runs is known here.
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

#include "jobs/heartbeat_reconciler.hpp"

#include <utility>

#include <spdlog/spdlog.h>

#include "jobs/retry_backoff.hpp"

namespace limemast::jobs {
namespace {
/// A machine may be preempted earlier than its notice announces, so only this fraction of the
/// remaining time is relied on.
constexpr double kUsableNoticeFraction = 0.8;

/// Whether the exit completes the task. Replicas of a service never complete.
bool completes(const Job& job, const wire::TaskStatus& task) {
  return task.exit_cause == wire::ExitCause::Done && !job.record.spec.service;
}

/// Whether the exit counts as a failure of the task, as opposed to a refusal by the machine or a
/// stop.
bool is_failure(wire::ExitCause cause) {
  return cause == wire::ExitCause::Error || cause == wire::ExitCause::UnknownTask ||
         cause == wire::ExitCause::Done;
}

bool is_refusal(wire::ExitCause cause) {
  return cause == wire::ExitCause::NoRoom || cause == wire::ExitCause::DuplicateAttempt;
}
}  // namespace

HeartbeatReconciler::HeartbeatReconciler(
    net::Runtime& runtime, cluster::Membership& membership, cluster::MessageBus& message_bus,
    cluster::JobDirectory& job_directory, machines::Registry& registry,
    diagnostics::PendingReasonTable& pending_reasons, OwnedJobs& owned_jobs,
    FailoverBarrierState& failover_barrier, JobCompletion& job_completion)
    : runtime_(runtime),
      membership_(membership),
      message_bus_(message_bus),
      job_directory_(job_directory),
      registry_(registry),
      pending_reasons_(pending_reasons),
      owned_jobs_(owned_jobs),
      failover_barrier_(failover_barrier),
      job_completion_(job_completion) {}

void HeartbeatReconciler::on_heartbeat(const std::string& machine) {
  const auto* machine_status = registry_.find(machine);
  if (!machine_status) return;
  const auto& heartbeat = machine_status->heartbeat;
  owned_jobs_.on_heartbeat(machine);
  update_attached_controller(*machine_status);
  for (const auto& [uid, index] : owned_jobs_.tasks_on(machine))
    if (auto* job = owned_jobs_.find(uid)) reconcile_assigned(*job, index, *machine_status);

  // A machine is registered before it gets its first command. An unregistered machine that shows
  // tasks was therefore terminated, and a stale heartbeat has reached a controller that never knew
  // it, or the watch cache lags. Its tasks are not reconciled before it is registered: an
  // assignment to a terminated machine would never end, because only the removal of the machine's
  // record ends it (test: StaleHeartbeatsAtNewLeader.DoNotReregisterTerminatedMachines).
  if (!heartbeat.tasks.empty() && !registry_.registered(machine)) {
    machines_to_reprocess_.insert(machine);
    return;
  }
  for (const auto& task : heartbeat.tasks) reconcile_observed(task, *machine_status);
  // The machine is confirmed only after all its tasks are reconciled. If it were confirmed as soon
  // as the registry stores the heartbeat, a task that already runs on it could be assigned again
  // and run twice.
  failover_barrier_.confirm(machine, heartbeat.fencing_token);
}

void HeartbeatReconciler::update_attached_controller(const MachineStatus& machine_status) {
  const auto id = machine_status.id;
  if (id >= attached_controllers_.size()) attached_controllers_.resize(id + 1);
  auto& known = attached_controllers_[id];
  if (known == machine_status.attached_controller) return;
  const auto former = std::exchange(known, machine_status.attached_controller);
  if (former.empty()) return;
  for (const auto& [uid, job] : owned_jobs_.all())
    if (job->probing.machines.erase(id)) job->probing.exhausted_candidates_version = 0;
}

void HeartbeatReconciler::reconcile_assigned(Job& job, std::uint32_t index,
                                             const MachineStatus& machine_status) {
  const auto it = job.assignments.find(index);
  if (it == job.assignments.end()) return;
  auto& assignment = it->second;
  const auto& heartbeat = machine_status.heartbeat;
  if (heartbeat.incarnation < assignment.incarnation) return;
  const auto* task = heartbeat.find(job.record.spec.uid, index, assignment.attempt);
  switch (machines::evaluate_assignment(assignment, heartbeat, task)) {
    case machines::AssignmentState::Gone:
      return release(job, index, Requeue::Yes);
    case machines::AssignmentState::Confirmed:
      return confirm(job, index, assignment, *task, heartbeat);
    case machines::AssignmentState::Unresolved:
      if (task) observe_unresolved(job, index, assignment, *task, heartbeat);
  }
}

void HeartbeatReconciler::confirm(Job& job, std::uint32_t index, TaskAssignment& assignment,
                                  const wire::TaskStatus& task, const wire::Heartbeat& heartbeat) {
  assignment.confirmed = true;
  assignment.confirmed_sequence = heartbeat.sequence;
  if (task.exited())
    on_exit(job, index, task, heartbeat.machine);
  else
    assignment.running = task.runs();
}

void HeartbeatReconciler::observe_unresolved(Job& job, std::uint32_t index,
                                             TaskAssignment& assignment,
                                             const wire::TaskStatus& task,
                                             const wire::Heartbeat& heartbeat) {
  if (task.runs() && !assignment.running) assignment.running_since = runtime_.now();
  const bool was_running = std::exchange(assignment.running, task.runs());
  if (heartbeat.preemption_notice && !task.exited())
    stop_before_preemption(job.record.spec, assignment, task, heartbeat);
  // An exit is recorded only after the delivery is resolved, because until then the same start may
  // still be in flight. `on_exit` may end the assignment.
  if (task.exited() && assignment.confirmed) on_exit(job, index, task, heartbeat.machine);
  if (was_running != task.runs()) clear_image_wait(job);
}

void HeartbeatReconciler::clear_image_wait(const Job& job) {
  const auto& spec = job.record.spec;
  if (pending_reasons_.enabled() &&
      registry_.running_tasks(spec.uid) + job.completed_tasks >= spec.tasks)
    pending_reasons_.clear_if(spec.uid, diagnostics::PendingReason::FetchingImage, runtime_.now());
}

/// Stops a task that cannot finish before its machine is preempted. The task saves its state if it
/// can and is then started elsewhere, long before the machine's silence would prove it lost.
void HeartbeatReconciler::stop_before_preemption(const wire::JobSpec& spec,
                                                 TaskAssignment& assignment,
                                                 const wire::TaskStatus& task,
                                                 const wire::Heartbeat& heartbeat) {
  if (spec.service || assignment.preemption_stop_sent || task.phase == wire::TaskPhase::Saving)
    return;
  const auto run_time =
      task.runs() ? net::to_seconds(runtime_.now() - assignment.running_since) : wire::Seconds(0);
  const auto time_left = *heartbeat.preemption_notice * kUsableNoticeFraction;
  if (task.runs() && run_time + time_left > spec.estimate) return;
  assignment.preemption_stop_sent = true;
  command_worker(heartbeat.machine, task, wire::CommandKind::Stop, spec.grace_period());
}

void HeartbeatReconciler::reconcile_observed(const wire::TaskStatus& task,
                                             const MachineStatus& machine_status) {
  const auto& machine = machine_status.heartbeat.machine;
  // Most tasks in heartbeats belong to jobs of other owners, so those are skipped first. If the job
  // has ended, the controller that the machine is attached to handles the task. If the job is not
  // owned here yet, a later heartbeat shows the task again.
  auto* job = owned_jobs_.find(task.uid);
  if (!job || job_directory_.owner_of(task.uid) != membership_.self()) return;
  // Tasks are reconciled even while this controller may not act, for example when lease renewals
  // are answered late. The heartbeat counts as processed afterwards, so a task skipped here would
  // stay unknown and would run twice once this controller may act again (test:
  // OverlappingRandomFaults.BreakNoInvariant). The resulting commands are delivered by a controller
  // that may act.
  if (job->completed || task.index >= job->record.spec.tasks) return;
  if (owned_jobs_.is_assigned(machine, task)) return;
  if (task.exited()) return on_unassigned_exit(*job, task, machine_status);
  if (job->completions.done[task.index])
    command_worker(machine, task, wire::CommandKind::Stop);
  else if (job->assignments.contains(task.index))
    on_conflicting_observation(*job, task, machine_status);
  else
    adopt_orphan(*job, task, machine_status);
}

void HeartbeatReconciler::on_unassigned_exit(Job& job, const wire::TaskStatus& task,
                                             const MachineStatus& machine_status) {
  const auto& heartbeat = machine_status.heartbeat;
  const bool completed = completes(job, task);
  if (completed && !job.assignments.contains(task.index))
    job_completion_.mark_done(job, task.index);
  const bool confirmed = heartbeat.fencing_token >= ids::FencingToken::base(job.barrier_epoch);
  const bool recorded =
      job.completions.done[task.index] && job.completions.recorded.test(task.index);
  if (confirmed && (!completed || recorded))
    command_worker(heartbeat.machine, task, wire::CommandKind::Forget);
  machines_to_reprocess_.insert(heartbeat.machine);
}

void HeartbeatReconciler::adopt_orphan(Job& job, const wire::TaskStatus& task,
                                       const MachineStatus& machine_status) {
  const auto& heartbeat = machine_status.heartbeat;
  const auto barrier_token = ids::FencingToken::base(job.barrier_epoch);
  TaskAssignment assignment;
  assignment.machine = heartbeat.machine;
  assignment.zone = heartbeat.zone;
  assignment.incarnation = heartbeat.incarnation;
  assignment.attempt = task.attempt;
  assignment.confirmed = heartbeat.fencing_token >= barrier_token;
  assignment.confirmed_sequence = heartbeat.sequence;
  assignment.min_resolving_token = barrier_token;
  assignment.running = task.runs();
  assignment.running_since = runtime_.now();
  spdlog::debug("job {} task {}: adopted from the heartbeat of machine {}, epoch {}", task.uid,
                task.index, heartbeat.machine, membership_.epoch().number);
  owned_jobs_.assign(job, task.index, std::move(assignment));
  std::erase(job.queue.released, task.index);
}

/// The attempt number of a task only increases, and a new attempt starts only after the previous
/// one is proved gone. The higher attempt is therefore the newer one, whichever heartbeat arrives
/// first. A new owner may adopt a task from a stale heartbeat of one machine while the task runs on
/// another machine under a higher attempt. Stopping that one would restart the task needlessly
/// (test: StaleHeartbeatsAtNewLeader.DoNotOverrideNewerObservations).
void HeartbeatReconciler::on_conflicting_observation(Job& job, const wire::TaskStatus& task,
                                                     const MachineStatus& machine_status) {
  const auto& machine = machine_status.heartbeat.machine;
  const auto assigned_attempt = job.assignments.at(task.index).attempt;
  if (task.attempt > assigned_attempt) {
    release(job, task.index, Requeue::No);
    return adopt_orphan(job, task, machine_status);
  }
  // All tasks of a gang share one attempt number, so two machines may show the same attempt of a
  // task, and the number does not show which of them is current.
  if (task.attempt == assigned_attempt)
    job.conflicting_observations[task.index].insert(machine);
  else
    command_worker(machine, task, wire::CommandKind::Stop);
}

void HeartbeatReconciler::release(Job& job, std::uint32_t index, Requeue requeue) {
  const auto released = owned_jobs_.unassign(job, index);
  if (!released) return;
  spdlog::debug(
      "job {} task {}: assignment to machine {} ended (confirmed: {}, confirming heartbeat: {}, "
      "void from token: {}), epoch {}",
      job.record.spec.uid, index, released->machine, released->confirmed,
      released->confirmed_sequence, released->min_resolving_token, membership_.epoch().number);
  auto observations = job.conflicting_observations.extract(index);
  if (requeue == Requeue::No) return;
  if (!observations.empty() &&
      adopt_conflicting(job, index, released->attempt, std::move(observations.mapped())))
    return;
  if (!job.completions.done[index] && index < job.queue.first_never_assigned)
    job.queue.released.push_back(index);
}

bool HeartbeatReconciler::adopt_conflicting(Job& job, std::uint32_t index, std::uint64_t attempt,
                                            std::set<std::string> machines) {
  for (auto it = machines.begin(); it != machines.end(); ++it) {
    const auto* machine_status = registry_.find(*it);
    if (!machine_status) continue;
    const auto* task = machine_status->heartbeat.find(job.record.spec.uid, index, attempt);
    if (!task || task->exited()) continue;
    adopt_orphan(job, *task, *machine_status);
    machines.erase(it);
    job.conflicting_observations.emplace(index, std::move(machines));
    return true;
  }
  return false;
}

void HeartbeatReconciler::on_exit(Job& job, std::uint32_t index, const wire::TaskStatus& task,
                                  const std::string& machine) {
  const auto& uid = job.record.spec.uid;
  spdlog::debug("job {} task {}: exited on machine {}, cause {}, epoch {}", uid, index, machine,
                wire::name_of(task.exit_cause), membership_.epoch().number);
  const auto it = job.assignments.find(index);
  const auto run_time = it != job.assignments.end() && it->second.running
                            ? runtime_.now() - it->second.running_since
                            : net::Duration::zero();
  const bool completed = completes(job, task);
  release(job, index, completed ? Requeue::No : Requeue::Yes);
  if (completed)
    job_completion_.mark_done(job, index);
  else if (is_failure(task.exit_cause))
    on_failure(job, index, machine, run_time);
  else if (is_refusal(task.exit_cause))
    spdlog::debug("job {} task {}: refused by machine {}, to be assigned again, epoch {}", uid,
                  index, machine, membership_.epoch().number);
  // `reconcile_observed` sends the command to forget the task while it processes the same
  // heartbeat, unless the completion of the task is not recorded yet.
}

void HeartbeatReconciler::on_failure(Job& job, std::uint32_t index, const std::string& machine,
                                     net::Duration run_time) {
  const auto& uid = job.record.spec.uid;
  const auto epoch = membership_.epoch().number;
  if (record_failure(job, machine, run_time, runtime_.now()))
    spdlog::info(
        "job {} failed on several machines, last with task {} on machine {}; from now on its "
        "tasks are tried one at a time, epoch {}",
        uid, index, machine, epoch);
  else if (!job.retry.fails_everywhere)
    spdlog::info("job {} task {} failed on machine {} and will be retried, epoch {}", uid, index,
                 machine, epoch);
}

void HeartbeatReconciler::command_worker(const std::string& machine, const wire::TaskStatus& task,
                                         wire::CommandKind kind, wire::Seconds grace_period) {
  const auto* machine_status = registry_.find(machine);
  if (!machine_status) return;
  machines_to_reprocess_.insert(machine);
  const wire::Command command{kind, task.uid, task.index, task.attempt, grace_period};
  message_bus_.send(machine_status->attached_controller,
                    messages::CommandWorker{machine, command, runtime_.wall()});
}

void HeartbeatReconciler::reprocess_heartbeats() {
  for (const auto& machine : std::exchange(machines_to_reprocess_, {})) on_heartbeat(machine);
}

void HeartbeatReconciler::on_epoch_changed() {
  const auto token = ids::FencingToken::base(membership_.epoch().number);
  for (const auto& [uid, job] : owned_jobs_.all())
    for (auto& [index, assignment] : job->assignments) {
      if (assignment.confirmed || assignment.min_resolving_token != ids::kNoToken ||
          membership_.is_member(assignment.delivering_controller))
        continue;
      assignment.min_resolving_token = token;
      // The machine may have sent a heartbeat of the new epoch before this controller learned of
      // the epoch.
      machines_to_reprocess_.insert(assignment.machine);
    }
}

void HeartbeatReconciler::on_machine_removed(const std::string& machine) {
  for (const auto& [uid, index] : owned_jobs_.tasks_on(machine))
    if (auto* job = owned_jobs_.find(uid)) release(*job, index, Requeue::Yes);
  failover_barrier_.remove(machine);
  machines_to_reprocess_.erase(machine);
  const auto* machine_status = registry_.find(machine);
  if (!machine_status) return;
  // The registry may reuse the machine's id for another machine.
  for (const auto& [uid, job] : owned_jobs_.all()) job->probing.machines.erase(machine_status->id);
  if (machine_status->id < attached_controllers_.size())
    attached_controllers_[machine_status->id] = {};
}
}  // namespace limemast::jobs

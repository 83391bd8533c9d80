#include "jobs/heartbeat_reconciler.hpp"

#include <utility>

#include <spdlog/spdlog.h>

#include "jobs/retry_backoff.hpp"

namespace limemast::jobs {
namespace {
/// A machine may be preempted before its notice says: only this part of the time left is relied on.
constexpr double kPreemptionNoticeTrust = 0.8;

/// The exit completes the task. A replica of a service is never complete.
bool completes(const Job& job, const wire::TaskStatus& task) {
  return task.exit_cause == wire::ExitCause::Done && !job.record.spec.service;
}

/// The exit counts as a failure of the task, not as a refusal of the machine or a stop.
bool is_failure(wire::ExitCause cause) {
  return cause == wire::ExitCause::Error || cause == wire::ExitCause::NoSuch ||
         cause == wire::ExitCause::Done;
}

bool is_refusal(wire::ExitCause cause) {
  return cause == wire::ExitCause::Full || cause == wire::ExitCause::InUse;
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
  note_attached_controller(*machine_status);
  for (const auto& [uid, index] : owned_jobs_.tasks_on(machine))
    if (auto* job = owned_jobs_.find(uid)) reconcile_assigned(*job, index, *machine_status);

  // A machine is registered before its first command. One that shows tasks and is not registered
  // was terminated, and this is an old heartbeat that reached a controller which has never heard of
  // it; or our watch cache lags. Nothing is concluded before it is registered: an assignment to a
  // machine that is gone would never end, as only the removal of its record proves it gone (test:
  // StaleHeartbeatsAtNewLeader.DoNotBringTerminatedMachinesBack).
  if (!heartbeat.tasks.empty() && !registry_.registered(machine)) {
    to_reread_.insert(machine);
    return;
  }
  for (const auto& task : heartbeat.tasks) reconcile_observed(task, *machine_status);
  // The machine counts as confirmed only now that all that it shows is taken in. The registry knows
  // the heartbeat earlier than this owner, and a task assigned in between would run twice.
  failover_barrier_.confirm(machine, heartbeat.fencing_token);
}

void HeartbeatReconciler::note_attached_controller(const MachineStatus& machine_status) {
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
  // An exit counts once the delivery is resolved: until then the same start may still be on its
  // way. This may end the assignment.
  if (task.exited() && assignment.confirmed) on_exit(job, index, task, heartbeat.machine);
  if (was_running != task.runs()) clear_image_wait(job);
}

void HeartbeatReconciler::clear_image_wait(const Job& job) {
  const auto& spec = job.record.spec;
  if (pending_reasons_.on() &&
      registry_.running_tasks(spec.uid) + job.completed_tasks >= spec.tasks)
    pending_reasons_.clear_if(spec.uid, diagnostics::PendingReason::Image, runtime_.now());
}

/// A task that cannot finish before the machine is preempted is stopped now. It saves its state if
/// it can, and is started elsewhere in any case, long before the machine's silence would prove it
/// lost.
void HeartbeatReconciler::stop_before_preemption(const wire::JobSpec& spec,
                                                 TaskAssignment& assignment,
                                                 const wire::TaskStatus& task,
                                                 const wire::Heartbeat& heartbeat) {
  if (spec.service || assignment.preemption_stop_sent || task.phase == wire::TaskPhase::Saving)
    return;
  const auto ran =
      task.runs() ? net::to_seconds(runtime_.now() - assignment.running_since) : wire::Seconds(0);
  const auto time_left = *heartbeat.preemption_notice * kPreemptionNoticeTrust;
  if (task.runs() && ran + time_left > spec.estimate) return;
  assignment.preemption_stop_sent = true;
  command_worker(heartbeat.machine, task, wire::CommandKind::Stop, spec.grace_period());
}

void HeartbeatReconciler::reconcile_observed(const wire::TaskStatus& task,
                                             const MachineStatus& machine_status) {
  const auto& machine = machine_status.heartbeat.machine;
  // Most tasks that a controller reads of are of other owners' jobs: those are skipped first. A job
  // that has ended is left to the controller that the machine is attached to; one that was not
  // taken up yet will be read of again.
  auto* job = owned_jobs_.find(task.uid);
  if (!job || job_directory_.owner_of(task.uid) != membership_.self()) return;
  // This holds also while we may not act, as when lease renewals are answered late. The heartbeat
  // counts as read afterwards, so a task that was left out here would be unknown, and would run
  // twice once we may act again (test: RandomFaultPairs.BreakNoInvariant). Commands that follow are
  // sent by whoever may act.
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
  to_reread_.insert(heartbeat.machine);
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
  spdlog::debug("job {} task {} found on {}, epoch {}", task.uid, task.index, heartbeat.machine,
                membership_.epoch().number);
  owned_jobs_.assign(job, task.index, std::move(assignment));
  std::erase(job.queue.released, task.index);
}

/// Attempts of a task only grow, and a new one is made only once the one before is proved gone: the
/// higher one is the newer, whichever heartbeat came first. A new owner may adopt the task from an
/// old heartbeat of one machine while it runs on another under a higher attempt; stopping that one
/// would start the task anew for nothing (test:
/// StaleHeartbeatsAtNewLeader.LoseToNewerObservations).
void HeartbeatReconciler::on_conflicting_observation(Job& job, const wire::TaskStatus& task,
                                                     const MachineStatus& machine_status) {
  const auto& machine = machine_status.heartbeat.machine;
  const auto assigned_attempt = job.assignments.at(task.index).attempt;
  if (task.attempt > assigned_attempt) {
    release(job, task.index, Requeue::No);
    return adopt_orphan(job, task, machine_status);
  }
  // The tasks of a gang share one attempt, so the same attempt may be shown twice, and nothing
  // tells which observation is true.
  if (task.attempt == assigned_attempt)
    job.conflicting_observations[task.index].insert(machine);
  else
    command_worker(machine, task, wire::CommandKind::Stop);
}

void HeartbeatReconciler::release(Job& job, std::uint32_t index, Requeue requeue) {
  const auto released = owned_jobs_.unassign(job, index);
  if (!released) return;
  spdlog::debug(
      "job {} task {} released from {} (confirmed {}, sequence {}, void from {}), epoch {}",
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
  spdlog::debug("job {} task {} exited on {}: {}, epoch {}", uid, index, machine,
                wire::name_of(task.exit_cause), membership_.epoch().number);
  const auto it = job.assignments.find(index);
  const auto ran = it != job.assignments.end() && it->second.running
                       ? runtime_.now() - it->second.running_since
                       : net::Duration::zero();
  const bool completed = completes(job, task);
  release(job, index, completed ? Requeue::No : Requeue::Yes);
  if (completed)
    job_completion_.mark_done(job, index);
  else if (is_failure(task.exit_cause))
    on_failure(job, index, machine, ran);
  else if (is_refusal(task.exit_cause))
    spdlog::debug("job {} task {} refused by {}, epoch {}", uid, index, machine,
                  membership_.epoch().number);
  // The command to forget the task is sent by reconcile_observed, with the same heartbeat, unless
  // its completion has yet to be recorded.
}

void HeartbeatReconciler::on_failure(Job& job, std::uint32_t index, const std::string& machine,
                                     net::Duration ran) {
  const auto& uid = job.record.spec.uid;
  const auto epoch = membership_.epoch().number;
  if (record_failure(job, machine, ran, runtime_.now()))
    spdlog::info("job {} fails on every machine, task {} now on {}: one task at a time, epoch {}",
                 uid, index, machine, epoch);
  else if (!job.retry.fails_everywhere)
    spdlog::info("job {} task {} failed on {}, epoch {}", uid, index, machine, epoch);
}

void HeartbeatReconciler::command_worker(const std::string& machine, const wire::TaskStatus& task,
                                         wire::CommandKind kind, wire::Seconds grace_period) {
  const auto* machine_status = registry_.find(machine);
  if (!machine_status) return;
  to_reread_.insert(machine);
  const wire::Command command{kind, task.uid, task.index, task.attempt, grace_period};
  message_bus_.send(machine_status->attached_controller,
                    messages::CommandWorker{machine, command, runtime_.wall()});
}

void HeartbeatReconciler::reread_pending() {
  for (const auto& machine : std::exchange(to_reread_, {})) on_heartbeat(machine);
}

void HeartbeatReconciler::on_epoch_changed() {
  const auto token = ids::FencingToken::base(membership_.epoch().number);
  for (const auto& [uid, job] : owned_jobs_.all())
    for (auto& [index, assignment] : job->assignments) {
      if (assignment.confirmed || assignment.min_resolving_token != ids::kNoToken ||
          membership_.is_member(assignment.deliverer))
        continue;
      assignment.min_resolving_token = token;
      // Its machine may have shown the new epoch to another controller before we learned of it.
      to_reread_.insert(assignment.machine);
    }
}

void HeartbeatReconciler::on_machine_removed(const std::string& machine) {
  for (const auto& [uid, index] : owned_jobs_.tasks_on(machine))
    if (auto* job = owned_jobs_.find(uid)) release(*job, index, Requeue::Yes);
  failover_barrier_.remove(machine);
  to_reread_.erase(machine);
  const auto* machine_status = registry_.find(machine);
  if (!machine_status) return;
  // Its id will be given to another machine.
  for (const auto& [uid, job] : owned_jobs_.all()) job->probing.machines.erase(machine_status->id);
  if (machine_status->id < attached_controllers_.size())
    attached_controllers_[machine_status->id] = {};
}
}  // namespace limemast::jobs

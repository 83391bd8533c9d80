#include "jobs/task_dispatcher.hpp"

#include <algorithm>
#include <utility>

#include <spdlog/spdlog.h>

#include "jobs/retry_backoff.hpp"

namespace limemast::jobs {
namespace {
/// Low bits of an attempt number, which number the attempts of this controller. The membership
/// epoch is in the bits above.
constexpr unsigned kAttemptBits = 24;

/// Whether the zone constraints of the job allow another task in this zone.
bool zone_allowed(const Job& job, const std::string& zone) {
  const auto& spec = job.record.spec;
  if (spec.one_zone) {
    const bool elsewhere = std::any_of(
        job.zones.begin(), job.zones.end(),
        [&](const auto& assigned) { return assigned.second > 0 && assigned.first != zone; });
    if (elsewhere) return false;
  }
  if (!spec.spread) return true;
  const auto it = job.zones.find(zone);
  const auto assigned = it == job.zones.end() ? 0 : it->second;
  return assigned + 1 <= spec.max_tasks_per_zone();
}

messages::StartTask start_message(const Job& job, std::uint32_t index,
                                  const TaskAssignment& assignment,
                                  const std::vector<wire::TaskStatus>& evict) {
  messages::StartTask start;
  start.machine = assignment.machine;
  start.incarnation = assignment.incarnation;
  start.uid = job.record.spec.uid;
  start.index = index;
  start.attempt = assignment.attempt;
  start.need = wire::Resources::of(job.record.spec);
  for (const auto& task : evict)
    start.evictions.push_back(
        {wire::CommandKind::Stop, task.uid, task.index, task.attempt, wire::Seconds(0)});
  return start;
}
}  // namespace

TaskDispatcher::TaskDispatcher(net::Runtime& runtime, cluster::Membership& membership,
                               cluster::MessageBus& message_bus, machines::Registry& registry,
                               Quota& quota, OwnedJobs& owned_jobs,
                               const FailoverBarrierState& failover_barrier,
                               DeliveryMonitor& delivery_monitor,
                               PendingReasonRecorder& pending_reasons,
                               PendingTasksBroadcast& pending_tasks_broadcast)
    : runtime_(runtime),
      membership_(membership),
      message_bus_(message_bus),
      registry_(registry),
      quota_(quota),
      owned_jobs_(owned_jobs),
      failover_barrier_(failover_barrier),
      delivery_monitor_(delivery_monitor),
      pending_reasons_(pending_reasons),
      pending_tasks_broadcast_(pending_tasks_broadcast) {
  message_bus_.on<messages::PullTask>(
      [this](const ControllerId& from, const auto& message) { on_pull(from, message); });
}

bool TaskDispatcher::may_assign(const Job& job) const {
  const auto now = runtime_.now();
  return membership_.may_act() && job.active() && job.completions.loaded &&
         now >= job.retry.retry_after && may_start_another(job, now) &&
         failover_barrier_.passed(job);
}

bool TaskDispatcher::may_place(const Job& job, const MachineStatus& machine_status) const {
  const auto& spec = job.record.spec;
  const auto& heartbeat = machine_status.heartbeat;
  if (!spec.allows_type(heartbeat.type)) return false;
  if (spec.zone && *spec.zone != heartbeat.zone) return false;
  if (heartbeat.spot && !spec.spot) return false;
  if (failed_recently_on(job, heartbeat.machine, runtime_.now())) return false;
  return zone_allowed(job, heartbeat.zone);
}

bool TaskDispatcher::within_quota(Job& job) {
  const auto& spec = job.record.spec;
  if (quota_.may_use(spec.team, wire::Resources::of(spec), job.pending())) return true;
  job.last_quota_refusal = runtime_.now();
  return false;
}

bool TaskDispatcher::quota_allows_all(const Job& job) {
  const auto& spec = job.record.spec;
  const double tasks = job.pending();
  return quota_.may_use(spec.team,
                        {spec.cpus * tasks, spec.ram_gb * tasks, spec.accelerators * tasks});
}

std::optional<std::uint32_t> TaskDispatcher::next_task(Job& job) {
  auto& queue = job.queue;
  const auto assignable = [&](std::uint32_t index) {
    return !job.completions.done[index] && !job.assignments.contains(index);
  };
  while (!queue.released.empty()) {
    const auto index = queue.released.front();
    queue.released.pop_front();
    if (assignable(index)) return index;
  }
  while (queue.first_never_assigned < job.record.spec.tasks) {
    const auto index = queue.first_never_assigned;
    ++queue.first_never_assigned;
    if (assignable(index)) return index;
  }
  return std::nullopt;
}

/// Tasks of a gang find each other by the attempt number, so all of them must share it. With
/// different numbers they would wait for each other indefinitely.
std::uint64_t TaskDispatcher::next_attempt(Job& job) {
  const bool gang = job.record.spec.gang;
  if (gang && !job.assignments.empty()) return job.queue.gang_attempt;
  const auto attempt = membership_.epoch().number.value() << kAttemptBits | ++attempts_;
  if (gang) job.queue.gang_attempt = attempt;
  return attempt;
}

void TaskDispatcher::assign(Job& job, std::uint32_t index, const MachineStatus& machine_status,
                            Trigger trigger, const std::vector<wire::TaskStatus>& evict) {
  TaskAssignment assignment;
  assignment.machine = machine_status.heartbeat.machine;
  assignment.zone = machine_status.heartbeat.zone;
  assignment.incarnation = machine_status.heartbeat.incarnation;
  assignment.attempt = next_attempt(job);
  assignment.delivering_controller = machine_status.attached_controller;
  job.last_progress = runtime_.now();
  const auto& uid = job.record.spec.uid;
  spdlog::debug(
      "{}: job {} task {} assigned to machine {} through controller {}, barrier epoch {}, epoch {}",
      membership_.self(), uid, index, assignment.machine, assignment.delivering_controller,
      job.barrier_epoch, membership_.epoch().number);
  delivery_monitor_.watch(uid, index, assignment.attempt);
  auto start = start_message(job, index, assignment, evict);
  start.pulled = trigger == Trigger::Pull;
  start.sent_at = runtime_.wall();
  message_bus_.send(assignment.delivering_controller, start);
  owned_jobs_.assign(job, index, std::move(assignment));
  if (job.pending() == 0) pending_reasons_.record(job);
}

bool TaskDispatcher::place(const std::string& uid, const std::string& machine,
                           const std::vector<wire::TaskStatus>& evict) {
  auto* job = owned_jobs_.find(uid);
  const auto* machine_status = registry_.find(machine);
  if (!job || !machine_status || !may_assign(*job) || !may_place(*job, *machine_status) ||
      !within_quota(*job))
    return false;
  const auto index = next_task(*job);
  if (!index) return false;
  assign(*job, *index, *machine_status, Trigger::Placement, evict);
  return true;
}

bool TaskDispatcher::may_answer_pull(Job& job, const MachineStatus* machine_status,
                                     const ControllerId& from, const messages::PullTask& message) {
  return machine_status && machine_status->attached_controller == from &&
         machine_status->heartbeat.incarnation == message.incarnation &&
         registry_.registered(message.machine) && may_place(job, *machine_status) &&
         within_quota(job);
}

void TaskDispatcher::on_pull(const ControllerId& from, const messages::PullTask& message) {
  auto* job = owned_jobs_.find(message.uid);
  const auto* machine_status = registry_.find(message.machine);
  messages::NoTask no_task{message.uid, message.machine, false, false};
  if (!job || !job->active() || job->pending() == 0) {
    if (job && machine_status) job->probing.machines.erase(machine_status->id);
    no_task.none_left = true;
    return message_bus_.send(from, no_task);
  }
  job->probing.last_activity = runtime_.now();
  if (!may_assign(*job)) {
    job->announcement.refused_everywhere = true;
    no_task.on_any_machine = true;
    return message_bus_.send(from, no_task);
  }
  if (!may_answer_pull(*job, machine_status, from, message))
    return message_bus_.send(from, no_task);
  const auto index = next_task(*job);
  if (!index) return message_bus_.send(from, no_task);
  assign(*job, *index, *machine_status, Trigger::Pull, {});
  // Announces that no task is pending, so that the job's remaining probes are dropped at once. Each
  // would otherwise cost a pull and a refusal.
  if (job->pending() == 0) pending_tasks_broadcast_.send({job});
}
}  // namespace limemast::jobs

#include "drains/drain_controller.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

namespace limemast::drains {
namespace {
using namespace std::chrono_literals;
/// An evicted task that does not run elsewhere within this time no longer blocks the eviction of
/// the other replicas of its service.
constexpr auto kRescheduleTimeout = 60s;
constexpr auto kStopRetryInterval = 5s;
/// A machine without a heartbeat for this many intervals is unreachable.
constexpr double kSilentHeartbeatIntervals = 2.5;
}  // namespace

DrainController::DrainController(net::Runtime& runtime, const wire::Settings& settings,
                                 cluster::Membership& membership,
                                 cluster::JobDirectory& job_directory, machines::Registry& registry,
                                 jobs::JobOwner& job_owner, jobs::LongTaskScheduler& scheduler,
                                 const Drains& drains)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      job_directory_(job_directory),
      registry_(registry),
      job_owner_(job_owner),
      scheduler_(scheduler),
      drains_(drains) {}

void DrainController::tick() {
  if (!membership_.is_leader() || drains_.all().empty()) {
    progress_.clear();
    evictions_.clear();
    return;
  }
  remove_completed_evictions();
  const auto tasks = tasks_on_drained_machines();
  const auto decisions = plan_evictions(tasks, targets(tasks), limits());
  update_progress(decisions);
  for (const auto& decision : decisions)
    if (!decision.blocker) evict(decision);
}

std::vector<TaskOnDrainedMachine> DrainController::tasks_on_drained_machines() const {
  std::vector<TaskOnDrainedMachine> out;
  for (const auto& [name, status] : registry_.machine_statuses())
    if (status.drained) collect_tasks(status, out);
  return out;
}

void DrainController::collect_tasks(const machines::MachineStatus& status,
                                    std::vector<TaskOnDrainedMachine>& out) const {
  const bool patience_expired = is_patience_expired(status);
  const bool reachable = is_reachable(status);
  for (const auto& task : status.heartbeat.tasks) {
    const auto* job = task.exited() ? nullptr : job_directory_.find(task.uid);
    // The controller to which the machine is attached stops the tasks of ended jobs.
    if (!job || job->ended || !job->spec_known) continue;
    TaskOnDrainedMachine drained;
    drained.machine = status.heartbeat.machine;
    drained.zone = status.heartbeat.zone;
    drained.uid = task.uid;
    drained.index = task.index;
    drained.attempt = task.attempt;
    drained.reachable = reachable;
    drained.stopping =
        task.phase == wire::TaskPhase::Saving || was_just_evicted({task.uid, task.index});
    drained.patience_expired = patience_expired;
    drained.spec = &job->spec;
    out.push_back(std::move(drained));
  }
}

bool DrainController::is_patience_expired(const machines::MachineStatus& status) const {
  const auto& drains = drains_.all();
  return std::any_of(drains.begin(), drains.end(), [&](const auto& entry) {
    const auto& drain = entry.second;
    return drain.covers(status.heartbeat.machine, status.heartbeat.zone) &&
           runtime_.wall() - drain.requested_at >
               net::to_duration(settings_.drains.no_checkpoint_grace_period);
  });
}

bool DrainController::is_reachable(const machines::MachineStatus& status) const {
  return runtime_.now() - status.last_heartbeat <=
             net::to_duration(settings_.heartbeat_interval * kSilentHeartbeatIntervals) &&
         membership_.is_member(status.attached_controller);
}

bool DrainController::was_just_evicted(const TaskId& task) const {
  const auto eviction = evictions_.find(task);
  return eviction != evictions_.end() &&
         runtime_.now() - eviction->second.started_at < kStopRetryInterval;
}

std::vector<EvictionTarget> DrainController::targets(
    const std::vector<TaskOnDrainedMachine>& tasks) const {
  std::set<std::string> images;
  for (const auto& task : tasks) images.insert(task.spec->image);
  std::vector<EvictionTarget> out;
  for (const auto& slot : scheduler_.slots()) {
    const auto& heartbeat = slot.machine_status->heartbeat;
    EvictionTarget target{heartbeat.machine, heartbeat.zone, heartbeat.type,
                          heartbeat.spot,    slot.free,      {}};
    for (const auto& image : images)
      if (registry_.has_image(heartbeat.machine, image)) target.images.insert(image);
    out.push_back(std::move(target));
  }
  return out;
}

EvictionLimits DrainController::limits() const {
  static const std::map<std::string, std::uint32_t> kNoTasks;
  EvictionLimits out;
  out.tasks_by_zone =
      [this](const std::string& uid) -> const std::map<std::string, std::uint32_t>& {
    const auto job = job_owner_.jobs().find(uid);
    return job == job_owner_.jobs().end() ? kNoTasks : job->second->zones;
  };
  for (const auto& [task, eviction] : evictions_) out.moving_jobs.insert(task.first);
  const std::size_t max_evictions = settings_.drains.max_moving_tasks;
  out.max_evictions = max_evictions > evictions_.size() ? max_evictions - evictions_.size() : 0;
  return out;
}

void DrainController::remove_completed_evictions() {
  std::erase_if(evictions_,
                [this](const auto& entry) { return is_completed(entry.first, entry.second); });
}

bool DrainController::is_completed(const TaskId& task, const Eviction& eviction) const {
  const auto& [uid, index] = task;
  const auto* job = job_directory_.find(uid);
  const auto age = runtime_.now() - eviction.started_at;
  if (!job || job->ended || age > kRescheduleTimeout) return true;
  // The leader owns the long jobs and knows their tasks' assignments. A short job's eviction is
  // complete when the stop command no longer needs to be retried.
  const auto owned = job_owner_.jobs().find(uid);
  if (owned == job_owner_.jobs().end()) return age > kStopRetryInterval;
  const auto& assignments = owned->second->assignments;
  const auto assignment = assignments.find(index);
  return assignment != assignments.end() && assignment->second.running &&
         assignment->second.machine != eviction.machine;
}

void DrainController::update_progress(const std::vector<EvictionDecision>& decisions) {
  progress_.clear();
  for (const auto& [id, drain] : drains_.all()) progress_[id] = progress_of(drain, decisions);
}

DrainProgress DrainController::progress_of(const Drain& drain,
                                           const std::vector<EvictionDecision>& decisions) const {
  DrainProgress out;
  for (const auto& [name, status] : registry_.machine_statuses()) {
    if (!drain.covers(name, status.heartbeat.zone)) continue;
    const auto& tasks = status.heartbeat.tasks;
    ++out.machines;
    if (std::all_of(tasks.begin(), tasks.end(), [](const auto& task) { return task.exited(); }))
      ++out.empty;
  }
  for (const auto& decision : decisions) {
    const auto& task = *decision.task;
    if (!drain.covers(task.machine, task.zone)) continue;
    // Tasks that are evicted in this step count as stopping.
    const auto blocker = decision.blocker.value_or(EvictionBlocker::AlreadyStopping);
    ++out.tasks;
    ++out.blocked_tasks[blocker];
    out.example_tasks.try_emplace(blocker, wire::task_name(task.uid, task.index));
  }
  return out;
}

void DrainController::evict(const EvictionDecision& decision) {
  const auto& task = *decision.task;
  const auto* status = registry_.find(task.machine);
  const auto* reported_task =
      status ? status->heartbeat.find(task.uid, task.index, task.attempt) : nullptr;
  if (!reported_task) return;
  spdlog::info(
      "drain: evicting task {} from machine {}{}, epoch {}", wire::task_name(task.uid, task.index),
      task.machine,
      decision.target.empty() ? std::string() : ", machine " + decision.target + " has room for it",
      membership_.epoch().number);
  evictions_[{task.uid, task.index}] = {task.machine, runtime_.now()};
  job_owner_.command_worker(task.machine, *reported_task, wire::CommandKind::Stop,
                            task.spec->grace_period());
}
}  // namespace limemast::drains

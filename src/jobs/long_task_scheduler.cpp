#include "jobs/long_task_scheduler.hpp"

#include <algorithm>
#include <compare>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
/// Minimum interval between runs while capacity changes, as it does constantly in a large cluster.
constexpr auto kRunInterval = 200ms;
/// Minimum interval between runs while no change is known. Runs are still needed, because backoffs
/// expire and machines stop sending heartbeats.
constexpr auto kIdleRunInterval = 500ms;
/// A machine that has sent no heartbeat for this many heartbeat intervals gets no tasks.
constexpr double kMaxMissedHeartbeats = 2.5;

/// Everything that decides which machines a task fits on, except where other tasks of its job run.
struct TaskShape {
  bool spot = false;
  double cpus = 0;
  double ram_gb = 0;
  double accelerators = 0;
  std::optional<std::string> zone;
  std::optional<std::vector<std::string>> types;

  explicit TaskShape(const wire::JobSpec& spec)
      : spot(spec.spot),
        cpus(spec.cpus),
        ram_gb(spec.ram_gb),
        accelerators(spec.accelerators),
        zone(spec.zone),
        types(spec.types) {}
  auto operator<=>(const TaskShape&) const = default;
};
}  // namespace

LongTaskScheduler::LongTaskScheduler(net::Runtime& runtime, const wire::Settings& settings,
                                     cluster::Membership& membership,
                                     cluster::MessageBus& message_bus,
                                     cluster::JobDirectory& job_directory,
                                     machines::Registry& registry, JobOwner& job_owner,
                                     diagnostics::PendingReasonTable& pending_reasons)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      job_directory_(job_directory),
      registry_(registry),
      job_owner_(job_owner),
      pending_reasons_(pending_reasons),
      guarantees_(settings, job_directory, registry),
      placement_(settings, job_directory, registry, job_owner),
      preemption_(settings, job_directory, registry, job_owner, guarantees_),
      short_task_capacity_(runtime, settings, job_directory, registry, job_owner),
      map_publisher_(runtime, settings, membership, message_bus, registry, job_owner,
                     pending_reasons) {}

LongTaskScheduler::Slots LongTaskScheduler::slots() const {
  Slots out;
  const auto now = runtime_.now();
  const auto silent = net::to_duration(settings_.heartbeat_interval * kMaxMissedHeartbeats);
  const auto& short_partition = registry_.long_task_map().in_short_partition;
  out.reserve(registry_.machine_statuses().size());
  for (const auto& [name, machine_status] : registry_.machine_statuses()) {
    if (!machine_status.accepts_tasks() || now - machine_status.last_heartbeat > silent ||
        !membership_.is_member(machine_status.attached_controller) ||
        registry_.suspected(machine_status.attached_controller) ||
        job_owner_.recently_refused(name))
      continue;
    const auto* type = machine_status.type;
    if (!type) continue;
    auto free = registry_.free_resources(machine_status);
    free -= job_owner_.starting_resources(name);
    out.push_back(
        {&machine_status, type, free, short_partition.contains(machine_status.id), false});
  }
  return out;
}

void LongTaskScheduler::run() {
  if (!membership_.is_leader()) return;
  const auto now = runtime_.now();
  if (!run_is_due(now)) return;
  guarantees_.reset();
  const auto waiting = collect_waiting_jobs();
  preemption_.remove_expired_backoffs(now);
  if (waiting.empty()) return;
  if (pending_reasons_.enabled()) record_queue_positions(waiting);
  place(waiting, now);
  if (pending_reasons_.enabled()) record_outcome(waiting);
}

bool LongTaskScheduler::run_is_due(net::Time now) {
  // Tasks that found no room recently wait for the next interval; new jobs do not.
  const bool new_jobs = job_owner_.long_job_arrivals() != seen_arrivals_;
  const bool capacity_changed = job_owner_.capacity_changes() != seen_capacity_changes_;
  if (!new_jobs && now - last_run_ < (capacity_changed ? kRunInterval : kIdleRunInterval))
    return false;
  seen_capacity_changes_ = job_owner_.capacity_changes();
  seen_arrivals_ = job_owner_.long_job_arrivals();
  last_run_ = now;
  return true;
}

std::vector<LongTaskScheduler::WaitingJob> LongTaskScheduler::collect_waiting_jobs() {
  std::vector<WaitingJob> out;
  for (const auto& [uid, job] : job_owner_.jobs()) {
    if (!job->record.is_long) continue;
    if (job->active() && job->pending() > 0 && job_owner_.may_assign(*job))
      out.push_back({scheduling_order(*job, settings_, registry_.underserved_classes(), guarantees_,
                                      runtime_.wall()),
                     job.get()});
    else
      job_owner_.record_pending_reason(*job);
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.order < b.order; });
  return out;
}

bool LongTaskScheduler::best_effort_task_runs() const {
  const auto& jobs = job_directory_.all();
  return std::any_of(jobs.begin(), jobs.end(), [&](const auto& entry) {
    const auto& [uid, job] = entry;
    return !job.ended && settings_.is_best_effort(job.spec) && registry_.running_tasks(uid) > 0;
  });
}

void LongTaskScheduler::place(const std::vector<WaitingJob>& waiting, net::Time now) {
  auto free = slots();
  const bool best_effort_waits = std::any_of(
      waiting.begin(), waiting.end(),
      [&](const auto& entry) { return settings_.is_best_effort(entry.job->record.spec); });
  const bool best_effort_runs = best_effort_task_runs();
  placement_.begin_run(best_effort_waits && short_task_capacity_.missing_cpus() > 0);
  // If one task finds no room, other tasks of the same shape are not tried in this run.
  std::set<TaskShape> shapes_without_room;
  for (const auto& [order, job] : waiting) {
    const auto& spec = job->record.spec;
    if (spec.gang) {
      placement_.place_gang(*job, free);
      continue;
    }
    const TaskShape shape(spec);
    if (!shapes_without_room.contains(shape)) {
      const auto with_room = placement_.slots_with_room(*job, free);
      if (with_room.empty()) shapes_without_room.insert(shape);
      while (job->pending() > 0 && placement_.place_one(*job, with_room)) {
      }
    }
    const bool may_preempt =
        spec.rank >= wire::Rank::Urgent || (best_effort_runs && !settings_.is_best_effort(spec));
    if (may_preempt && !preemption_.is_backing_off(spec.uid))
      preemption_.place_all(*job, free, now);
  }
}

void LongTaskScheduler::record_queue_positions(const std::vector<WaitingJob>& waiting) {
  for (const auto& entry : waiting)
    pending_reasons_.long_job_queue().put(entry.order.uid, entry.order.queue_key());
}

void LongTaskScheduler::record_outcome(const std::vector<WaitingJob>& waiting) {
  for (const auto& [order, job] : waiting) {
    job_owner_.record_pending_reason(*job);
    if (job->pending() == 0) pending_reasons_.long_job_queue().erase(job->record.spec.uid);
  }
}

void LongTaskScheduler::send_map() {
  if (!membership_.is_leader()) return;
  short_task_capacity_.reclaim();
  map_publisher_.publish();
}
}  // namespace limemast::jobs

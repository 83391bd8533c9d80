#include "jobs/job_owner.hpp"

#include <algorithm>
#include <utility>

#include "jobs/retry_backoff.hpp"

namespace limemast::jobs {
JobOwner::JobOwner(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
                   cluster::Membership& membership, cluster::MessageBus& message_bus,
                   cluster::JobDirectory& job_directory, machines::Registry& registry,
                   diagnostics::PendingReasonTable& pending_reasons,
                   diagnostics::CapacityDiagnosis& capacity_diagnosis,
                   CompletionBroadcast& completion_broadcast)
    : runtime_(runtime),
      membership_(membership),
      message_bus_(message_bus),
      job_directory_(job_directory),
      registry_(registry),
      quota_(runtime, settings, membership, message_bus),
      owned_jobs_(registry, quota_),
      failover_barrier_(registry),
      refused_machines_(registry),
      prober_(runtime, settings, message_bus, registry),
      job_completion_(runtime, client, membership, job_directory, pending_reasons,
                      completion_broadcast, owned_jobs_),
      completion_recorder_(runtime, settings, client, membership, owned_jobs_, job_completion_),
      heartbeat_reconciler_(runtime, membership, message_bus, job_directory, registry,
                            pending_reasons, owned_jobs_, failover_barrier_, job_completion_),
      delivery_monitor_(runtime, membership, message_bus, owned_jobs_, heartbeat_reconciler_,
                        refused_machines_),
      pending_reasons_(runtime, membership, registry, pending_reasons, capacity_diagnosis,
                       failover_barrier_),
      pending_tasks_broadcast_(runtime, membership, message_bus),
      task_dispatcher_(runtime, membership, message_bus, registry, quota_, owned_jobs_,
                       failover_barrier_, delivery_monitor_, pending_reasons_,
                       pending_tasks_broadcast_) {
  message_bus_.on<messages::ProbesRejected>([this](const ControllerId&, const auto& message) {
    prober_.on_rejected(owned_jobs_.find(message.uid), message);
  });
  message_bus_.on<messages::ProbesDropped>(
      [this](const ControllerId&, const auto& message) { on_probes_dropped(message); });
}

void JobOwner::on_probes_dropped(const messages::ProbesDropped& message) {
  const auto* machine_status = registry_.find(message.machine);
  if (!machine_status) return;
  for (const auto& uid : message.jobs) {
    auto* job = owned_jobs_.find(uid);
    if (!job) continue;
    job->probing.machines.erase(machine_status->id);
    job->probing.exhausted_candidates_version = 0;
  }
}

bool JobOwner::should_take_ownership(const std::string& uid) const {
  const auto* record = job_directory_.find(uid);
  return record && record->needs_capacity() && !owned_jobs_.contains(uid) &&
         job_directory_.owner_of(uid) == membership_.self();
}

bool JobOwner::owned_since_acceptance(const ActiveJob& record) const {
  return record.is_long ? record.epoch >= membership_.leader_since_epoch()
                        : record.accepted_by == membership_.self();
}

Job& JobOwner::add_owned_job(const ActiveJob& record) {
  auto job = std::make_unique<Job>();
  job->record = record;
  job->last_progress = runtime_.now();
  job->completions.done.resize(record.spec.tasks);
  job->completions.recorded = TaskBitmap(record.spec.tasks);
  if (!owned_since_acceptance(record)) apply_failover_barrier(*job);
  return owned_jobs_.add(std::move(job));
}

/// The former owner, which was lost, may have assigned tasks and may have recorded some as
/// complete.
void JobOwner::apply_failover_barrier(Job& job) {
  job.barrier_epoch = membership_.epoch().number;
  job.completions.loaded = job.record.spec.service;
  job.completions.unsaved = true;
}

void JobOwner::take_ownership(const std::vector<std::string>& uids) {
  if (membership_.self().empty() || !membership_.is_member(membership_.self())) return;
  bool any_to_load = false;
  bool any_blocked = false;
  for (const auto& uid : uids) {
    if (!should_take_ownership(uid)) continue;
    auto& job = add_owned_job(*job_directory_.find(uid));
    const bool blocked = job.barrier_epoch != ids::kNoEpoch;
    any_blocked = any_blocked || blocked;
    any_to_load = any_to_load || !job.completions.loaded;
    if (!job.record.is_long && membership_.may_act() && !blocked) prober_.top_up(job);
  }
  if (any_to_load) completion_recorder_.load();
  if (!any_blocked) return;
  // A machine may have sent a heartbeat of the new epoch before this controller learned of the
  // epoch. Its tasks are reconciled now, because they were skipped then.
  for (const auto& [machine, status] : registry_.machine_statuses())
    heartbeat_reconciler_.on_heartbeat(machine);
}

void JobOwner::on_epoch_changed() {
  quota_.on_epoch_changed();
  heartbeat_reconciler_.on_epoch_changed();
  std::vector<std::string> all;
  for (const auto& [uid, record] : job_directory_.all()) all.push_back(uid);
  take_ownership(all);
  reset_probes_and_announcements();
}

void JobOwner::reset_probes_and_announcements() {
  ids::DenseIdSet not_attached;
  for (const auto& [machine, status] : registry_.machine_statuses())
    if (!membership_.is_member(status.attached_controller)) not_attached.insert(status.id);
  for (const auto& [uid, job] : owned_jobs_.all()) {
    job->announcement.last.reset();
    job->probing.machines.subtract(not_attached);
    job->probing.exhausted_candidates_version = 0;
  }
}

void JobOwner::on_machine_removed(const std::string& machine) {
  heartbeat_reconciler_.on_machine_removed(machine);
  refused_machines_.remove(machine);
}

std::optional<Status> JobOwner::status(const std::string& uid) const {
  const auto* job = owned_jobs_.find(uid);
  return job ? std::optional(status_of(*job)) : std::nullopt;
}

void JobOwner::tick() {
  JobsSummary summary;
  refused_machines_.forget_expired(runtime_.now());
  for (const auto& [uid, job] : owned_jobs_.all()) update_job(*job, summary);
  if (!summary.to_announce.empty() && membership_.may_act())
    pending_tasks_broadcast_.send(summary.to_announce);
  delivery_monitor_.tick();
  heartbeat_reconciler_.reprocess_heartbeats();
  for (const auto& uid : summary.to_erase) owned_jobs_.erase(uid);
  const bool all_tasks_known = update_failover_barrier(!summary.pending_resources.empty());
  quota_.set_pending_demand(std::move(summary.pending_resources));
  update_orphaned_usage();
  quota_.tick(all_tasks_known);
  completion_recorder_.save_if_due();
}

bool JobOwner::can_be_erased(const Job& job) const {
  if (!job.completed || !job.assignments.empty()) return false;
  // The watch cache must show the end too. Otherwise the job would be added again from its active
  // record.
  const auto* record = job_directory_.find(job.record.spec.uid);
  return !record || record->ended;
}

void JobOwner::update_job(Job& job, JobsSummary& summary) {
  const auto& spec = job.record.spec;
  if (can_be_erased(job)) summary.to_erase.push_back(spec.uid);
  forget_expired_failures(job, runtime_.now());
  if (job.active() && job.pending() > 0) {
    const double tasks = job.unfinished() == 1 ? 1 : job.pending();
    summary.pending_resources[spec.team] += {tasks * spec.cpus, 0, tasks * spec.accelerators};
  }
  // The leader's scheduler records the pending reasons of long jobs, but it does not run while this
  // controller may not act.
  if (job.record.is_long && !membership_.may_act()) pending_reasons_.record(job);
  if (!job.record.is_long && job.active()) update_short_job(job, summary);
}

void JobOwner::update_short_job(Job& job, JobsSummary& summary) {
  const bool assignable_again = job.announcement.refused_everywhere && may_assign(job);
  if (pending_tasks_broadcast_.is_due(job) || assignable_again) summary.to_announce.push_back(&job);
  if (pending_reasons_.enabled()) pending_reasons_.record(job);
  if (!membership_.may_act()) return;
  prober_.resend_if_lost(job);
  // Sends no further probes before tasks may be assigned, since all pulls would be refused until
  // then.
  if (!job.completions.loaded || !failover_barrier_.passed(job)) return;
  prober_.top_up(job);
  // Probing further machines does not help while the team's quota blocks the job.
  if (!job.quota_refused_recently(runtime_.now()) && may_assign(job))
    prober_.probe_further_machines(job);
}

bool JobOwner::update_failover_barrier(bool work_pending) {
  // Every task that a lost owner had assigned is known to some owner, and counted, once every
  // machine has confirmed the epoch without that owner. Members that joined later had assigned
  // nothing.
  auto awaited = ids::kNoEpoch;
  bool all_tasks_known = failover_barrier_.confirmed_by_all(quota_.recovery_epoch());
  if (!all_tasks_known && work_pending && quota_.recovering()) awaited = quota_.recovery_epoch();
  for (const auto& [uid, job] : owned_jobs_.all()) {
    if (job->completed || job->barrier_epoch == ids::kNoEpoch) continue;
    const bool confirmed = failover_barrier_.confirmed_by_all(job->barrier_epoch);
    all_tasks_known = all_tasks_known && confirmed && job->completions.loaded;
    if (!confirmed && job->active() && job->pending() > 0)
      awaited = std::max(awaited, job->barrier_epoch);
  }
  failover_barrier_.set_awaited_epoch(awaited);
  return all_tasks_known;
}

void JobOwner::update_orphaned_usage() {
  if (!membership_.is_leader() || !quota_.any_limited()) return;
  const auto assigned_here = [this](const std::string& machine, const wire::TaskStatus& task) {
    return owned_jobs_.is_assigned(machine, task);
  };
  quota_.set_orphaned_usage(orphaned_usage(registry_, job_directory_, membership_, assigned_here));
}
}  // namespace limemast::jobs

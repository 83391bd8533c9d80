#include "jobs/job_completion.hpp"

#include <algorithm>
#include <utility>

#include <spdlog/spdlog.h>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
constexpr auto kCommitRetryDelay = 300ms;

/// The final phase is decided, and it is not yet known whether its record is stored.
bool awaits_final_record(const Job* job) { return job && job->final_phase && !job->completed; }
}  // namespace

JobCompletion::JobCompletion(net::Runtime& runtime, store::Client& client,
                             cluster::Membership& membership, cluster::JobDirectory& job_directory,
                             diagnostics::PendingReasonTable& pending_reasons,
                             CompletionBroadcast& completion_broadcast, OwnedJobs& owned_jobs)
    : runtime_(runtime),
      client_(client),
      membership_(membership),
      job_directory_(job_directory),
      pending_reasons_(pending_reasons),
      completion_broadcast_(completion_broadcast),
      owned_jobs_(owned_jobs) {}

void JobCompletion::mark_done(Job& job, std::uint32_t index) {
  if (job.completions.done[index]) return;
  job.completions.done[index] = true;
  ++job.completed_tasks;
  std::erase(job.queue.released, index);
  job.completions.unsaved = true;
  if (job.completed_tasks == job.record.spec.tasks && job.active())
    decide_final_phase(job, Phase::Done);
}

void JobCompletion::cancel(const std::string& uid, std::function<void(std::optional<Phase>)> done) {
  auto* job = owned_jobs_.find(uid);
  if (!job) return done(std::nullopt);
  if (job->completed) return done(job->final_phase);
  job->cancellation_callbacks.push_back(std::move(done));
  if (!job->final_phase) decide_final_phase(*job, Phase::Cancelled);
}

void JobCompletion::decide_final_phase(Job& job, Phase phase) {
  job.final_phase = phase;
  commit(job.record.spec.uid);
}

bool JobCompletion::lost_owner_may_still_answer(const Job& job) const {
  return job.barrier_epoch != ids::kNoEpoch &&
         runtime_.now() < membership_.lost_members_silent_from();
}

void JobCompletion::commit(const std::string& uid) {
  const auto* job = owned_jobs_.find(uid);
  if (!awaits_final_record(job)) return;
  if (!membership_.may_act() || lost_owner_may_still_answer(*job))
    schedule_commit(uid);
  else
    write_final_record(*job);
}

void JobCompletion::schedule_commit(const std::string& uid) {
  runtime_.after(kCommitRetryDelay, [this, uid] { commit(uid); });
}

void JobCompletion::write_final_record(const Job& job) {
  const auto& uid = job.record.spec.uid;
  const auto active_key = cluster::keys::active_job(uid);
  const auto final_key = cluster::keys::final_job(uid);
  // The revision comes from the watch cache, because an operator may have edited the record by hand
  // and a comparison with the revision known to this owner would then fail forever (test:
  // ControllerRestarts.AJobWithAManuallyEditedRecordStillEnds).
  const auto* active = job_directory_.find(uid);
  const auto revision = active ? active->mod_revision : job.record.mod_revision;
  const auto guards =
      membership_.ownership_guards({{active_key, revision}, {final_key, store::kAbsent}});
  const auto record =
      cluster::JobDirectory::final_record(job.record.spec, name_of(*job.final_phase));
  client_.txn(
      store::Priority::UserWrite, guards, {{active_key, std::nullopt}, {final_key, record}},
      [this, uid](const store::TxnResult& txn) { on_final_record_written(uid, txn.status); });
}

void JobCompletion::on_final_record_written(const std::string& uid, store::TxnStatus status) {
  const auto* job = owned_jobs_.find(uid);
  if (!job) return;
  switch (status) {
    case store::TxnStatus::Ok:
      return announce(uid, *job->final_phase);
    case store::TxnStatus::Refused:
      return schedule_commit(uid);
    default:
      return read_final_record(uid);
  }
}

void JobCompletion::read_final_record(const std::string& uid) {
  client_.get(store::Priority::UserWrite, cluster::keys::final_job(uid),
              [this, uid](const store::GetResult& result) { on_final_record_read(uid, result); });
}

void JobCompletion::on_final_record_read(const std::string& uid, const store::GetResult& result) {
  if (!owned_jobs_.contains(uid)) return;
  const bool found = result.answered && result.found;
  const auto phase = found ? final_phase(result.value) : std::nullopt;
  if (phase) return announce(uid, *phase);
  if (found) client_.decode_errors().record(cluster::keys::final_job(uid));
  const bool not_stored = result.answered && !result.found;
  runtime_.after(kCommitRetryDelay, [this, uid, not_stored] {
    if (not_stored)
      commit(uid);
    else
      read_final_record(uid);
  });
}

void JobCompletion::on_active_record_removed(const std::string& uid) {
  if (!awaits_final_record(owned_jobs_.find(uid))) return;
  // The response to the write usually arrives shortly after this event. If it was lost, reading the
  // record spares users whose cancellation is already stored a wait of several seconds.
  runtime_.after(kCommitRetryDelay, [this, uid] {
    if (awaits_final_record(owned_jobs_.find(uid))) read_final_record(uid);
  });
}

void JobCompletion::announce(const std::string& uid, Phase phase) {
  const auto* job = owned_jobs_.find(uid);
  if (!job || job->completed) return;
  Status final_status;
  final_status.phase = phase;
  if (phase == Phase::Done) final_status.done = job->record.spec.tasks;
  completion_broadcast_.announce(uid, final_status);
}

void JobCompletion::on_job_ended(const std::string& uid, Phase phase) {
  auto* job = owned_jobs_.find(uid);
  if (!job || job->completed) return;
  job->final_phase = phase;
  job->completed = true;
  pending_reasons_.clear(uid, runtime_.now());
  spdlog::debug("job {} ended: phase {}, epoch {}", uid, name_of(phase),
                membership_.epoch().number);
  for (auto& callback : std::exchange(job->cancellation_callbacks, {})) callback(phase);
}
}  // namespace limemast::jobs

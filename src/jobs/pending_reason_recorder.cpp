#include "jobs/pending_reason_recorder.hpp"

#include "jobs/retry_backoff.hpp"

namespace limemast::jobs {
using diagnostics::PendingReason;

PendingReasonRecorder::PendingReasonRecorder(net::Runtime& runtime, cluster::Membership& membership,
                                             machines::Registry& registry,
                                             diagnostics::PendingReasonTable& pending_reasons,
                                             diagnostics::CapacityDiagnosis& capacity_diagnosis,
                                             const FailoverBarrierState& failover_barrier)
    : runtime_(runtime),
      membership_(membership),
      registry_(registry),
      pending_reasons_(pending_reasons),
      capacity_diagnosis_(capacity_diagnosis),
      failover_barrier_(failover_barrier) {}

std::optional<PendingReason> PendingReasonRecorder::blocking_reason(const Job& job) const {
  const auto now = runtime_.now();
  if (!membership_.may_act()) return PendingReason::StateAway;
  if (!job.completions.loaded)
    return membership_.store_available() ? PendingReason::Takeover : PendingReason::StateAway;
  if (!failover_barrier_.passed(job)) return PendingReason::Takeover;
  if (now < job.retry.retry_after || !may_start_another(job, now)) return PendingReason::BackingOff;
  return std::nullopt;
}

void PendingReasonRecorder::record(const Job& job) {
  if (!pending_reasons_.on()) return;
  if (!job.active())
    pending_reasons_.clear(job.record.spec.uid, runtime_.now());
  else if (job.pending() == 0)
    record_starting(job);
  else
    record_pending(job);
}

void PendingReasonRecorder::record_starting(const Job& job) {
  const auto& spec = job.record.spec;
  const auto now = runtime_.now();
  const auto started = registry_.running(spec.uid) + job.completed_tasks;
  if (started >= spec.tasks)
    pending_reasons_.clear(spec.uid, now);
  else
    pending_reasons_.note(spec.uid, PendingReason::Image, spec.tasks - started, now);
}

void PendingReasonRecorder::record_pending(const Job& job) {
  const auto& spec = job.record.spec;
  const auto now = runtime_.now();
  const auto pending = job.pending();
  if (const auto blocked = blocking_reason(job)) {
    std::optional<net::Time> until;
    if (*blocked == PendingReason::BackingOff && now < job.retry.retry_after)
      until = job.retry.retry_after;
    pending_reasons_.note(spec.uid, *blocked, pending, now, until);
    return;
  }
  // If the team is below its limit, the leader grants more within a moment, so the refusal is not
  // shown as a reason.
  if (job.quota_refused_recently(now) && capacity_diagnosis_.at_limit(spec, now)) {
    pending_reasons_.note(spec.uid, PendingReason::TeamLimit, pending, now);
    return;
  }
  const bool has_failures = !job.retry.last_failure_by_machine.empty();
  const auto verdict =
      capacity_diagnosis_.judge(spec, job.record.is_long, pending, job.zones, has_failures, now);
  pending_reasons_.note(spec.uid, verdict.reason, pending, now, verdict.until);
}
}  // namespace limemast::jobs

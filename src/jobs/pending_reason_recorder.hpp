#pragma once
// Records why the pending tasks of owned jobs are not assigned.
#include "diagnostics/capacity_diagnosis.hpp"
#include "diagnostics/pending_reason_table.hpp"
#include "jobs/failover_barrier_state.hpp"

namespace limemast::jobs {
/// Determines why tasks of a job are pending and enters the reason in the pending-reason table.
class PendingReasonRecorder {
 public:
  PendingReasonRecorder(net::Runtime& runtime, cluster::Membership& membership,
                        machines::Registry& registry,
                        diagnostics::PendingReasonTable& pending_reasons,
                        diagnostics::CapacityDiagnosis& capacity_diagnosis,
                        const FailoverBarrierState& failover_barrier);
  /// The reason that prevents this controller from assigning any task of the job, whatever capacity
  /// is free; nullopt if there is none.
  std::optional<diagnostics::PendingReason> blocking_reason(const Job& job) const;
  /// Enters why the job's tasks are still pending after a scheduling decision.
  void record(const Job& job);
  /// Whether the table is in use.
  bool enabled() const { return pending_reasons_.on(); }

 private:
  /// Used when all tasks are assigned: those that do not run yet wait for their image.
  void record_starting(const Job& job);
  void record_pending(const Job& job);

  net::Runtime& runtime_;
  cluster::Membership& membership_;
  machines::Registry& registry_;
  diagnostics::PendingReasonTable& pending_reasons_;
  diagnostics::CapacityDiagnosis& capacity_diagnosis_;
  const FailoverBarrierState& failover_barrier_;
};
}  // namespace limemast::jobs

#pragma once
// Why the pending tasks of owned jobs are not assigned.
#include "diagnostics/capacity_diagnosis.hpp"
#include "diagnostics/pending_reason_table.hpp"
#include "jobs/failover_barrier_state.hpp"

namespace limemast::jobs {
/// Finds the reason for which a job's tasks are pending and enters it in the pending-reason table.
class PendingReasonRecorder {
 public:
  PendingReasonRecorder(net::Runtime& runtime, cluster::Membership& membership,
                        machines::Registry& registry,
                        diagnostics::PendingReasonTable& pending_reasons,
                        diagnostics::CapacityDiagnosis& capacity_diagnosis,
                        const FailoverBarrierState& failover_barrier);
  /// What keeps this controller from assigning any task of the job, wherever there may be room;
  /// nullopt: nothing.
  std::optional<diagnostics::PendingReason> blocking_reason(const Job& job) const;
  /// Enters why the job's tasks are pending, after a scheduling decision has passed them over.
  void record(const Job& job);
  /// The table is in use.
  bool enabled() const { return pending_reasons_.enabled(); }

 private:
  /// All tasks are assigned: those that do not run yet wait for their image.
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

#pragma once
// Monitors how well the service-level objectives of job classes are met. Runs on the leader.
#include "diagnostics/slo_attainment.hpp"
#include "jobs/job_owner.hpp"
#include "jobs/status_reader.hpp"

namespace limemast::jobs {
/// Updates the attainment of the objectives from the job states that owners report, warns about
/// underserved classes, and publishes the classes that the scheduler prefers as a last resort.
/// Works only while this controller leads. Not thread-safe; all calls come from the event loop.
class SloMonitor {
 public:
  /// All arguments must outlive the monitor.
  SloMonitor(net::Runtime& runtime, const wire::Settings& settings, cluster::Membership& membership,
             cluster::JobDirectory& job_directory, machines::Registry& registry,
             JobOwner& job_owner, const StatusReader& status_reader,
             diagnostics::PendingReasonTable& pending_reasons,
             diagnostics::CapacityDiagnosis& capacity_diagnosis);
  /// To be called once a second; evaluates all active jobs every 3 s.
  void tick();
  /// Empty unless this controller leads.
  const diagnostics::SloAttainment& slo_attainment() const { return slo_attainment_; }

 private:
  /// The job if this controller owns it; nullptr otherwise.
  const Job* owned_job(const std::string& uid) const;
  diagnostics::SloAttainment::Work work_of(const ActiveJob& job) const;
  void observe(const std::string& uid, const ActiveJob& job, net::WallTime now);
  void observe_ended(const std::string& uid, const ActiveJob& job, net::WallTime now);
  void warn_about_underserved();
  /// Returns true once per warning interval while the class is underserved.
  bool should_warn(const std::string& workload, net::Time now);
  /// The reason why most of the class's pending tasks wait, as text for operators.
  std::string main_pending_reason(const std::string& workload);
  diagnostics::PendingReason pending_reason(const std::string& uid, const ActiveJob& active,
                                            const Job* own, std::uint32_t pending);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  cluster::Membership& membership_;
  cluster::JobDirectory& job_directory_;
  machines::Registry& registry_;
  JobOwner& job_owner_;
  const StatusReader& status_reader_;
  diagnostics::PendingReasonTable& pending_reasons_;
  diagnostics::CapacityDiagnosis& capacity_diagnosis_;
  diagnostics::SloAttainment slo_attainment_;
  net::Time last_update_{};
  std::map<std::string, net::Time> warned_at_;  ///< time of the last warning, by underserved class
};
}  // namespace limemast::jobs

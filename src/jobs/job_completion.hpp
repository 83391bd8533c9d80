#pragma once
// Ends owned jobs: counts completed tasks, handles cancellations, and writes final records.
#include "diagnostics/pending_reason_table.hpp"
#include "jobs/completion_broadcast.hpp"
#include "jobs/owned_jobs.hpp"

namespace limemast::jobs {
/// Decides the final phase of a job once, writes its final record in a transaction that compares
/// the revisions of the job's records, and announces the phase once it is stored. The phase in the
/// key-value store is authoritative, even if it differs from the one decided here.
class JobCompletion {
 public:
  JobCompletion(net::Runtime& runtime, store::Client& client, cluster::Membership& membership,
                cluster::JobDirectory& job_directory,
                diagnostics::PendingReasonTable& pending_reasons,
                CompletionBroadcast& completion_broadcast, OwnedJobs& owned_jobs);

  /// Marks the task as complete. The job ends when all its tasks are complete.
  void mark_done(Job& job, std::uint32_t index);
  /// Cancels the job. Calls `done` with the final phase once it is stored, or with nullopt if this
  /// controller does not own the job.
  void cancel(const std::string& uid, std::function<void(std::optional<Phase>)> done);
  /// To be called when the watch cache shows that the job's active record was deleted. Reads the
  /// final record if the response to this controller's own write was lost.
  void on_active_record_removed(const std::string& uid);
  /// To be called when the job's final record is stored, whichever controller wrote it. From then
  /// on no task of the job is assigned.
  void on_job_ended(const std::string& uid, Phase phase);

 private:
  void decide_final_phase(Job& job, Phase phase);
  /// Writes the decided final phase, or schedules a retry if that is not allowed yet.
  void commit(const std::string& uid);
  void schedule_commit(const std::string& uid);
  /// True while a lost former owner may still report the job as running to users, even after its
  /// end was announced here.
  bool lost_owner_may_still_answer(const Job& job) const;
  void write_final_record(const Job& job);
  void on_final_record_written(const std::string& uid, store::TxnStatus status);
  /// Reads the final record after a write whose outcome is unknown.
  void read_final_record(const std::string& uid);
  void on_final_record_read(const std::string& uid, const store::GetResult& result);
  void announce(const std::string& uid, Phase phase);

  net::Runtime& runtime_;
  store::Client& client_;
  cluster::Membership& membership_;
  cluster::JobDirectory& job_directory_;
  diagnostics::PendingReasonTable& pending_reasons_;
  CompletionBroadcast& completion_broadcast_;
  OwnedJobs& owned_jobs_;
};
}  // namespace limemast::jobs

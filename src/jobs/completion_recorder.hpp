#pragma once
// Saves the completed tasks of owned jobs and loads those of jobs taken over.
#include "jobs/completion_log.hpp"
#include "jobs/job_completion.hpp"

namespace limemast::jobs {
/// Saves which tasks are complete, so that the next owner does not run them again, and loads the
/// completed tasks that former owners saved. `Job::completions.loaded` is false until then.
class CompletionRecorder {
 public:
  CompletionRecorder(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
                     cluster::Membership& membership, OwnedJobs& owned_jobs,
                     JobCompletion& job_completion);
  /// Loads the completed tasks of all jobs that were taken over and not yet loaded.
  void load();
  /// Saves if there are unsaved completions and the progress interval has passed since the last
  /// save. To be called once a second.
  void save_if_due();

 private:
  using SavedBitmaps = std::map<std::string, TaskBitmap>;  ///< by job
  void on_loaded(const std::vector<BitmapChunk>& chunks, ids::EpochNumber read_epoch);
  /// Adds the chunks of owned jobs to the recorded completions. Returns the uids of these jobs.
  std::set<std::string> merge(const std::vector<BitmapChunk>& chunks);
  void mark_recorded_as_done(Job& job);
  bool due() const;
  std::vector<std::string> jobs_to_save() const;
  void save();
  void on_saved(const SavedBitmaps& saved, bool ok);
  bool all_loaded() const;

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  cluster::Membership& membership_;
  OwnedJobs& owned_jobs_;
  JobCompletion& job_completion_;
  CompletionLog completion_log_;
  net::Time last_save_{};
  bool loading_ = false;
};
}  // namespace limemast::jobs

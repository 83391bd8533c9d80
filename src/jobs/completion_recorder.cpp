#include "jobs/completion_recorder.hpp"

#include <algorithm>
#include <utility>

namespace limemast::jobs {
namespace {
TaskBitmap bitmap_of(const std::vector<bool>& done) {
  const auto tasks = static_cast<std::uint32_t>(done.size());
  TaskBitmap bitmap(tasks);
  for (std::uint32_t task = 0; task < tasks; ++task)
    if (done[task]) bitmap.set(task);
  return bitmap;
}
}  // namespace

CompletionRecorder::CompletionRecorder(net::Runtime& runtime, const wire::Settings& settings,
                                       store::Client& client, cluster::Membership& membership,
                                       OwnedJobs& owned_jobs, JobCompletion& job_completion)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      owned_jobs_(owned_jobs),
      job_completion_(job_completion),
      completion_log_(runtime, settings, client, membership) {}

void CompletionRecorder::load() {
  if (loading_) return;
  loading_ = true;
  const auto epoch = membership_.epoch().number;
  completion_log_.read(
      [this, epoch](const std::vector<BitmapChunk>& chunks) { on_loaded(chunks, epoch); });
}

void CompletionRecorder::on_loaded(const std::vector<BitmapChunk>& chunks,
                                   ids::EpochNumber read_in) {
  loading_ = false;
  const auto touched = merge(chunks);
  bool load_again = false;
  for (const auto& [uid, job] : owned_jobs_.all()) {
    if (job->completions.loaded) continue;
    if (job->barrier_epoch > read_in) {  // taken over while the records were read
      load_again = true;
      continue;
    }
    job->completions.loaded = true;
    if (touched.contains(uid)) mark_recorded_as_done(*job);
  }
  if (load_again) load();
}

std::set<std::string> CompletionRecorder::merge(const std::vector<BitmapChunk>& chunks) {
  std::set<std::string> touched;
  for (const auto& chunk : chunks) {
    auto* job = owned_jobs_.find(chunk.uid);
    if (job && job->barrier_epoch != ids::kNoEpoch &&
        job->completions.recorded.merge_hex(chunk.chunk, chunk.hex))
      touched.insert(chunk.uid);
  }
  return touched;
}

void CompletionRecorder::mark_recorded_as_done(Job& job) {
  for (std::uint32_t task = 0; task < job.record.spec.tasks; ++task)
    if (job.completions.recorded.test(task)) job_completion_.mark_done(job, task);
}

bool CompletionRecorder::due() const {
  if (completion_log_.busy() || !membership_.may_act()) return false;
  if (runtime_.now() - last_save_ < net::to_duration(settings_.tuning.progress_interval))
    return false;
  const auto& jobs = owned_jobs_.all();
  return std::any_of(jobs.begin(), jobs.end(), [](const auto& entry) {
    return entry.second->completions.unsaved && entry.second->active();
  });
}

void CompletionRecorder::save_if_due() {
  if (!due()) return;
  last_save_ = runtime_.now();
  save();
}

std::vector<std::string> CompletionRecorder::jobs_to_save() const {
  std::vector<std::string> uids;
  for (const auto& [uid, job] : owned_jobs_.all())
    if (job->active() && !job->record.spec.service && job->completions.loaded &&
        job->completed_tasks > 0)
      uids.push_back(uid);
  std::sort(uids.begin(), uids.end());
  return uids;
}

void CompletionRecorder::save() {
  std::vector<BitmapChunk> chunks;
  SavedBitmaps saved;
  for (const auto& uid : jobs_to_save()) {
    auto& job = *owned_jobs_.find(uid);
    auto bitmap = bitmap_of(job.completions.done);
    for (std::uint32_t chunk = 0; chunk < bitmap.chunks(); ++chunk)
      chunks.push_back({uid, chunk, bitmap.chunk_hex(chunk)});
    job.completions.unsaved = false;
    saved.emplace(uid, std::move(bitmap));
  }
  completion_log_.write(chunks, [this, saved = std::move(saved)](bool ok) { on_saved(saved, ok); });
}

void CompletionRecorder::on_saved(const SavedBitmaps& saved, bool ok) {
  for (const auto& [uid, bitmap] : saved) {
    auto* job = owned_jobs_.find(uid);
    if (!job) continue;
    if (ok)
      job->completions.recorded = bitmap;
    else
      job->completions.unsaved = true;
  }
  // Only now is all that departed owners saved contained in records of present ones.
  if (ok && all_loaded() && membership_.is_leader()) completion_log_.remove_departed_owners();
}

bool CompletionRecorder::all_loaded() const {
  const auto& jobs = owned_jobs_.all();
  return std::all_of(jobs.begin(), jobs.end(),
                     [](const auto& entry) { return entry.second->completions.loaded; });
}
}  // namespace limemast::jobs

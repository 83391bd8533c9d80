#include "cluster/job_directory.hpp"

#include "cluster/job_record.hpp"

namespace limemast::cluster {
namespace {
ActiveJob active_job_of(JobRecord record) {
  ActiveJob job;
  job.spec = std::move(record.spec);
  job.accepted_by = std::move(record.accepted_by);
  job.epoch = record.epoch;
  job.is_long = record.is_long;
  job.submitted = record.submitted;
  return job;
}

ActiveJob unknown_job(const std::string& uid) {
  ActiveJob job;
  job.spec.uid = uid;
  job.spec_known = job.resources_known = false;
  return job;
}

void set_task_usage(ActiveJob& job, const wire::json& final_record) {
  auto usage = decode_task_usage(final_record);
  if (!usage) return;
  job.spec.team = std::move(usage->team);
  job.spec.cpus = usage->cpus;
  job.spec.accelerators = usage->accelerators;
  job.resources_known = true;
}
}  // namespace

const ActiveJob* JobDirectory::find(const std::string& uid) const {
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? nullptr : &it->second;
}

ControllerId JobDirectory::owner_of(const std::string& uid) const {
  const auto* job = find(uid);
  if (job && !job->is_long && membership_.is_member(job->accepted_by)) return job->accepted_by;
  return membership_.epoch().leader;
}

wire::json JobDirectory::record(const wire::JobSpec& spec, const ControllerId& by,
                                ids::EpochNumber epoch, bool is_long, net::WallTime at) {
  return encode_job_record({spec, by, epoch, is_long, at});
}

wire::json JobDirectory::final_record(const wire::JobSpec& spec, const char* phase) {
  return encode_final_record(spec, phase);
}

bool JobDirectory::upsert(const std::string& uid, const store::Entry& entry) {
  const auto* known = find(uid);
  if (known && known->final) return true;
  auto record = decode_job_record(entry.value);
  const bool readable = record && record->spec.uid == uid;
  if (readable)
    jobs_[uid] = active_job_of(std::move(*record));
  else if (!known)
    jobs_[uid] = unknown_job(uid);
  jobs_[uid].mod_revision = entry.mod_revision;
  return readable;
}

bool JobDirectory::mark_ended(const std::string& uid, net::Time now) {
  const auto it = jobs_.find(uid);
  if (it == jobs_.end() || it->second.ended) return false;
  it->second.ended = true;
  it->second.ended_at = now;
  return true;
}

bool JobDirectory::mark_final(const std::string& uid, net::Time now, const wire::json* record) {
  if (!jobs_.contains(uid)) jobs_[uid] = unknown_job(uid);
  auto& job = jobs_[uid];
  if (record && !job.resources_known) set_task_usage(job, *record);
  if (record && is_completion(*record)) job.completed = true;
  const bool newly_ended = !job.ended;
  if (newly_ended) job.ended_at = now;
  job.ended = job.final = true;
  return newly_ended;
}

void JobDirectory::mark_completed(const std::string& uid) {
  if (const auto it = jobs_.find(uid); it != jobs_.end()) it->second.completed = true;
}

void JobDirectory::prune(net::Time before) {
  std::erase_if(jobs_, [&](const auto& entry) {
    const auto& job = entry.second;
    return job.ended && job.ended_at < before;
  });
}

void JobDirectory::set_pending_tasks(const std::string& uid, std::uint32_t pending,
                                     std::uint32_t unfinished) {
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) return;
  it->second.pending_tasks = pending;
  it->second.unfinished = unfinished;
  if (on_pending_tasks_) on_pending_tasks_(it->second);
}

void JobDirectory::set_pending_tasks_listener(std::function<void(const ActiveJob&)> listener) {
  on_pending_tasks_ = std::move(listener);
}
}  // namespace limemast::cluster

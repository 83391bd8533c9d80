#pragma once
// Directory of the active jobs in the watch cache and of the controller that owns each of them.
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "cluster/membership.hpp"
#include "wire/job.hpp"

namespace limemast::cluster {
/// What every controller knows about an accepted job, from its record and its owner's
/// announcements.
struct ActiveJob {
  // From the job record.
  wire::JobSpec spec;
  ControllerId accepted_by;
  ids::EpochNumber epoch{};  ///< epoch in which the job was accepted
  bool is_long = false;      ///< long jobs are owned by the leader
  net::WallTime submitted{};
  store::Revision mod_revision{};  ///< revision of the job record

  // From the owner's latest announcement; nullopt before the first one.
  std::optional<std::uint32_t> pending_tasks;  ///< tasks not assigned to a machine
  std::optional<std::uint32_t> unfinished;     ///< tasks that still need a machine

  /// True if the job record was decoded. Otherwise only the uid and the contents of the final
  /// record are known.
  bool spec_known = true;
  /// True if the resources that each task counts against the team's limit are known, from either
  /// record.
  bool resources_known = true;

  /// True once the job record was deleted because the job completed or was cancelled. The entry is
  /// kept for tasks that are still on machines.
  bool ended = false;
  /// True once the final record was read. A lagging watch cache must not make the job active again.
  bool final = false;
  /// True once it is known that the job ended because its tasks were completed. False also while it
  /// is unknown why the job ended.
  bool completed = false;
  net::Time ended_at{};  ///< when this controller learned that the job ended

  /// True if machines may have to be launched for this job.
  bool needs_capacity() const { return !ended && spec_known; }
};

/// Finds active jobs and their owners. Ended jobs are kept until they are pruned.
class JobDirectory {
 public:
  /// `membership` must outlive the directory.
  explicit JobDirectory(const Membership& membership) : membership_(membership) {}

  /// Returns nullptr if the job is unknown.
  const ActiveJob* find(const std::string& uid) const;
  /// Returns the owner of a job. Short jobs are owned by the controller incarnation that accepted
  /// them while it is a member. All other jobs, including unknown ones, are owned by the leader.
  ControllerId owner_of(const std::string& uid) const;
  const std::unordered_map<std::string, ActiveJob>& all() const { return jobs_; }

  /// Encodes the record of an accepted job (job_record.hpp).
  static wire::json record(const wire::JobSpec& spec, const ControllerId& by,
                           ids::EpochNumber epoch, bool is_long, net::WallTime at);
  /// Encodes the record of an ended job (job_record.hpp).
  static wire::json final_record(const wire::JobSpec& spec, const char* phase);

  /// Applies a written job record. Returns false if it cannot be decoded. A known job then keeps
  /// its spec. An unknown one is added with `spec_known` and `resources_known` false, so that none
  /// of its tasks is started until the record can be decoded.
  bool upsert(const std::string& uid, const store::Entry& entry);
  /// Marks a job as ended after its record was deleted. Returns false if the job is unknown or had
  /// already ended.
  bool mark_ended(const std::string& uid, net::Time now);
  /// Marks a job as ended because its final record is in the store, even if the watch cache still
  /// shows it as active. `record` is the final record if it was read, otherwise nullptr. Returns
  /// false if the job was already known to have ended.
  bool mark_final(const std::string& uid, net::Time now, const wire::json* record = nullptr);
  /// Records that an ended job was completed, not cancelled. Ignores unknown jobs.
  void mark_completed(const std::string& uid);
  /// Removes jobs that ended before this time. The caller must ensure that none of their tasks can
  /// still be on a machine.
  void prune(net::Time before);

  /// Stores the task counts that the job's owner announced.
  void set_pending_tasks(const std::string& uid, std::uint32_t pending, std::uint32_t unfinished);
  /// Sets the function that is called after each announcement about a known job.
  void set_pending_tasks_listener(std::function<void(const ActiveJob&)> listener);

 private:
  const Membership& membership_;
  std::unordered_map<std::string, ActiveJob> jobs_;  ///< by uid
  std::function<void(const ActiveJob&)> on_pending_tasks_;
};
}  // namespace limemast::cluster

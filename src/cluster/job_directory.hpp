#pragma once
// All jobs that have not ended, as the watch cache shows them, and which controller owns each.
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "cluster/membership.hpp"
#include "wire/job.hpp"

namespace limemast::cluster {
/// What every controller knows of an accepted job: its record, and what its owner announces.
struct ActiveJob {
  // Out of its record.
  wire::JobSpec spec;
  ControllerId accepted_by;
  ids::EpochNumber epoch{};  ///< in which it was accepted
  bool is_long = false;      ///< it belongs to the leader
  net::WallTime submitted{};
  store::Revision mod_revision{};  ///< of the record

  // As its owner announced last; nullopt until then.
  std::optional<std::uint32_t> pending_tasks;  ///< not assigned to a machine
  std::optional<std::uint32_t> unfinished;     ///< that machines are needed for

  /// Its record could be read. If not, only the uid and what its final record says are known.
  bool spec_known = true;
  /// What its tasks count against their team's limit is known, out of the record or the final one.
  bool resources_known = true;

  /// Its record is gone: it is complete or cancelled. It is kept for tasks still on machines.
  bool ended = false;
  /// Its final record was read: a watch cache that lags must not show it as active again.
  bool final = false;
  net::Time ended_at{};  ///< when this controller saw that it had ended

  /// Machines may have to be launched for it.
  bool needs_capacity() const { return !ended && spec_known; }
};

/// Finds active jobs and their owners. Ended jobs stay in it until they are pruned.
class JobDirectory {
 public:
  /// `membership` must outlive the directory.
  explicit JobDirectory(const Membership& membership) : membership_(membership) {}

  /// Null if the job is not known.
  const ActiveJob* find(const std::string& uid) const;
  /// Long jobs belong to the leader, short ones to the controller that accepted them while that
  /// incarnation of it is a member, then to the leader. So do jobs that are not known.
  ControllerId owner_of(const std::string& uid) const;
  const std::unordered_map<std::string, ActiveJob>& all() const { return jobs_; }

  /// The record of a job that is accepted (job_record.hpp).
  static wire::json record(const wire::JobSpec& spec, const ControllerId& by,
                           ids::EpochNumber epoch, bool is_long, net::WallTime at);
  /// The record of a job that has ended (job_record.hpp).
  static wire::json final_record(const wire::JobSpec& spec, const char* phase);

  /// A job's record was written. False if it cannot be read: a job that is known stays as it was;
  /// one that is not is added with `spec_known` false, so that nobody starts its tasks, and what it
  /// uses on machines is unknown, until its record can be read.
  bool upsert(const std::string& uid, const store::Entry& entry);
  /// A job's record is gone. False if it was known to have ended.
  bool mark_ended(const std::string& uid, net::Time now);
  /// A job's final record is in the store, whatever the watch cache shows by now. `record`: the
  /// final record if it was read. False if the job was known to have ended.
  bool mark_final(const std::string& uid, net::Time now, const wire::json* record = nullptr);
  /// Forgets jobs that ended before this time. The caller chooses it so that nothing of them can be
  /// on a machine.
  void prune(net::Time before);

  /// A job's owner announced how many of its tasks are pending and how many unfinished.
  void set_pending_tasks(const std::string& uid, std::uint32_t pending, std::uint32_t unfinished);
  /// `listener` is called after each announcement for a job that is known.
  void set_pending_tasks_listener(std::function<void(const ActiveJob&)> listener);

 private:
  const Membership& membership_;
  std::unordered_map<std::string, ActiveJob> jobs_;  ///< by uid
  std::function<void(const ActiveJob&)> on_pending_tasks_;
};
}  // namespace limemast::cluster

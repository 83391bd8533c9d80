#pragma once
// Keys that the controllers use in the key-value store.
#include <string>

namespace limemast::cluster::keys {
/// Prefix of the keys that every controller watches (store::WatchCache).
inline const std::string kWatched = "w/";
/// The membership epoch in force.
inline const std::string kEpoch = "w/generation";
/// Id of the elected leader.
inline const std::string kLeader = "w/leader";
/// Machine types that the cloud offers.
inline const std::string kCatalog = "w/catalog";
inline const std::string kMembers = "w/node/";
inline const std::string kMachines = "w/machine/";
inline const std::string kActiveJobs = "w/open/";
inline const std::string kSuspects = "w/suspect/";
inline const std::string kDrains = "w/drain/";
inline const std::string kLingeringTasks = "w/lingering/";
/// Final records of ended jobs.
inline const std::string kFinalJobs = "final/";
/// Completed tasks of active jobs.
inline const std::string kCompletionLog = "progress/";

/// Key of a registered controller. It is attached to the controller's lease.
inline std::string member(const std::string& label) { return kMembers + label; }
/// Key of the suspicion record about a controller (MemberEviction).
inline std::string suspect(const std::string& label) { return kSuspects + label; }
/// Key of a controller's record of lingering tasks (machines::LingeringTaskMonitor).
inline std::string lingering_tasks(const std::string& label) { return kLingeringTasks + label; }
/// Key of a record of registered machines.
inline std::string machines(const std::string& record) { return kMachines + record; }
/// Key of an active job.
inline std::string active_job(const std::string& uid) { return kActiveJobs + uid; }
/// Key of an ended job.
inline std::string final_job(const std::string& uid) { return kFinalJobs + uid; }

/// Returns true if `key` starts with `prefix`, and then stores the remainder of the key in `rest`.
inline bool match_prefix(const std::string& key, const std::string& prefix, std::string& rest) {
  if (!key.starts_with(prefix)) return false;
  rest = key.substr(prefix.size());
  return true;
}
}  // namespace limemast::cluster::keys

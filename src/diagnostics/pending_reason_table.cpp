#include "diagnostics/pending_reason_table.hpp"

namespace limemast::diagnostics {
void PendingReasonTable::remove_from_sum(Wait& wait, net::Time now) {
  auto& s = sum(wait.reason);
  s.task_seconds += wait.tasks * net::to_seconds(now - wait.summed_until).count();
  --s.jobs;
  s.tasks -= wait.tasks;
  wait.summed_until = now;
}

void PendingReasonTable::record(const std::string& uid, PendingReason reason, std::uint32_t tasks,
                                net::Time now, std::optional<net::Time> until) {
  if (!enabled_) return;
  auto [it, added] = waits_.try_emplace(uid);
  auto& wait = it->second;
  wait.until = until;
  if (!added && wait.reason == reason && wait.tasks == tasks) return;
  if (!added) remove_from_sum(wait, now);
  if (added || wait.reason != reason) wait.since = now;
  wait.reason = reason;
  wait.tasks = tasks;
  wait.summed_until = now;
  auto& s = sum(reason);
  ++s.jobs;
  s.tasks += tasks;
}

void PendingReasonTable::clear(const std::string& uid, net::Time now) {
  auto it = waits_.find(uid);
  if (it == waits_.end()) return;
  remove_from_sum(it->second, now);
  waits_.erase(it);
}

void PendingReasonTable::clear_if(const std::string& uid, PendingReason reason, net::Time now) {
  if (const auto* wait = find(uid); wait && wait->reason == reason) clear(uid, now);
}

const Wait* PendingReasonTable::find(const std::string& uid) const {
  auto it = waits_.find(uid);
  return it == waits_.end() ? nullptr : &it->second;
}
}  // namespace limemast::diagnostics

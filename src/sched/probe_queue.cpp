#include "sched/probe_queue.hpp"

namespace limemast::sched {
bool ProbeQueue::add(Probe probe) {
  if (auto it = by_job_.find(probe.uid); it != by_job_.end()) {
    it->second->remaining = probe.remaining;
    it->second->owner = probe.owner;
    it->second->not_before = {};
    return true;
  }
  if (probes_.size() >= kMaxProbes) return false;
  probes_.push_back(std::move(probe));
  by_job_.emplace(probes_.back().uid, std::prev(probes_.end()));
  return true;
}

void ProbeQueue::remove(const std::string& uid) {
  auto it = by_job_.find(uid);
  if (it == by_job_.end()) return;
  probes_.erase(it->second);
  by_job_.erase(it);
}

void ProbeQueue::set_remaining(const std::string& uid, std::uint32_t remaining) {
  if (auto it = by_job_.find(uid); it != by_job_.end()) it->second->remaining = remaining;
}

void ProbeQueue::postpone(const std::string& uid, net::Time until) {
  if (auto it = by_job_.find(uid); it != by_job_.end()) it->second->not_before = until;
}

const Probe* ProbeQueue::find(const std::string& uid) const {
  auto it = by_job_.find(uid);
  return it == by_job_.end() ? nullptr : &*it->second;
}
}  // namespace limemast::sched

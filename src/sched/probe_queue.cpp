#include "sched/probe_queue.hpp"

#include <algorithm>

namespace limemast::sched {
bool ProbeQueue::add(Probe probe) {
  auto it = std::find_if(probes_.begin(), probes_.end(), [&](const Probe& p) { return p.uid == probe.uid; });
  if (it != probes_.end()) {
    it->remaining = probe.remaining;
    it->owner = probe.owner;
    it->not_before = {};
    return true;
  }
  if (probes_.size() >= kMaxProbes) return false;
  probes_.push_back(std::move(probe));
  return true;
}

void ProbeQueue::remove(const std::string& uid) {
  probes_.remove_if([&](const Probe& p) { return p.uid == uid; });
}

void ProbeQueue::set_remaining(const std::string& uid, std::uint32_t remaining) {
  for (auto& p : probes_)
    if (p.uid == uid) p.remaining = remaining;
}

void ProbeQueue::postpone(const std::string& uid, net::Time until) {
  for (auto& p : probes_)
    if (p.uid == uid) p.not_before = until;
}

const Probe* ProbeQueue::find(const std::string& uid) const {
  auto it = std::find_if(probes_.begin(), probes_.end(), [&](const Probe& p) { return p.uid == uid; });
  return it == probes_.end() ? nullptr : &*it;
}
}  // namespace limemast::sched

#include "scheduling/probe_queue.hpp"

namespace limemast::scheduling {
bool ProbeQueue::add(DenseId job) {
  if (table_.has_probe(job, machine_)) {
    probes_[index_of(job)].not_before = {};
    return true;
  }
  if (probes_.size() >= kMaxProbes) return false;
  probes_.push_back({job});
  table_.add_machine(job, machine_);
  min_remaining_bypass_ = std::min(min_remaining_bypass_, remaining_bypass(probes_.back()));
  return true;
}

void ProbeQueue::remove(DenseId job) {
  if (!table_.has_probe(job, machine_)) return;
  const auto it = probes_.begin() + static_cast<std::ptrdiff_t>(index_of(job));
  const bool was_least = remaining_bypass(*it) <= min_remaining_bypass_;
  probes_.erase(it);
  table_.remove_machine(job, machine_);
  if (!was_least) return;
  min_remaining_bypass_ = wire::Seconds::max();
  for (const auto& probe : probes_)
    min_remaining_bypass_ = std::min(min_remaining_bypass_, remaining_bypass(probe));
}

void ProbeQueue::clear() {
  for (const auto& probe : probes_) table_.remove_machine(probe.job, machine_);
  probes_.clear();
  min_remaining_bypass_ = wire::Seconds::max();
}

void ProbeQueue::defer(DenseId job, net::Time until) {
  if (table_.has_probe(job, machine_)) probes_[index_of(job)].not_before = until;
}

std::vector<DenseId> ProbeQueue::jobs() const {
  std::vector<DenseId> jobs;
  jobs.reserve(probes_.size());
  for (const auto& probe : probes_) jobs.push_back(probe.job);
  return jobs;
}
}  // namespace limemast::scheduling

#include "scheduling/probe_table.hpp"

namespace limemast::scheduling {
DenseId ProbeTable::upsert(const ProbedJob& job) {
  const bool known = ids_.find(job.uid).has_value();
  const auto id = ids_.assign(job.uid);
  if (known) {
    auto& record = records_[id].job;
    record.owner = job.owner;
    record.not_before = {};
    set_remaining(id, job.remaining);
    return id;
  }
  if (id >= records_.size()) records_.resize(id + 1);
  records_[id] = {job, {}};
  by_remaining_work_.insert({job.remaining_work(), id});
  return id;
}

void ProbeTable::set_remaining(DenseId job, std::uint32_t remaining) {
  auto& record = records_[job].job;
  if (record.remaining == remaining) return;
  auto node = by_remaining_work_.extract({record.remaining_work(), job});
  record.remaining = remaining;
  node.value() = {record.remaining_work(), job};
  by_remaining_work_.insert(std::move(node));
}

void ProbeTable::remove_machine(DenseId job, DenseId machine) {
  records_[job].machines.erase(machine);
  erase_if_unprobed(job);
}

void ProbeTable::erase_if_unprobed(DenseId job) {
  auto& record = records_[job];
  if (!record.machines.empty()) return;
  by_remaining_work_.erase({record.job.remaining_work(), job});
  ids_.release(record.job.uid);
  record = {};
}
}  // namespace limemast::scheduling

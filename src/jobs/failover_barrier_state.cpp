#include "jobs/failover_barrier_state.hpp"

#include <algorithm>
#include <limits>

namespace limemast::jobs {
void FailoverBarrierState::confirm(const std::string& machine, ids::FencingToken token) {
  auto& confirmed = confirmed_[machine];
  if (confirmed == token) return;
  confirmed = token;
  least_confirmed_.reset();
}

void FailoverBarrierState::remove(const std::string& machine) {
  confirmed_.erase(machine);
  least_confirmed_.reset();
}

const FailoverBarrierState::LeastConfirmed& FailoverBarrierState::least_confirmed() const {
  if (least_confirmed_) return *least_confirmed_;
  constexpr ids::FencingToken kHighest(std::numeric_limits<std::uint64_t>::max());
  LeastConfirmed least{kHighest, kHighest};
  for (const auto& [name, registered] : registry_.all_registered()) {
    const auto it = confirmed_.find(name);
    const auto shown = it == confirmed_.end() ? ids::kNoToken : it->second;
    // A machine gets no commands before it is registered, so one that was registered after the
    // takeover holds no earlier tasks.
    const auto token = std::max(shown, ids::FencingToken::base(registered.epoch));
    least.all = std::min(least.all, token);
    if (!registered.spot) least.on_demand = std::min(least.on_demand, token);
  }
  return least_confirmed_.emplace(least);
}

bool FailoverBarrierState::confirmed_by_all(ids::EpochNumber epoch) const {
  return least_confirmed().all >= ids::FencingToken::base(epoch);
}

bool FailoverBarrierState::confirmed_by_on_demand(ids::EpochNumber epoch) const {
  return least_confirmed().on_demand >= ids::FencingToken::base(epoch);
}

bool FailoverBarrierState::confirmed_by(const std::string& machine, ids::EpochNumber epoch) const {
  const auto registered = registry_.all_registered().find(machine);
  if (registered != registry_.all_registered().end() && registered->second.epoch >= epoch)
    return true;
  const auto it = confirmed_.find(machine);
  return it != confirmed_.end() && it->second >= ids::FencingToken::base(epoch);
}

bool FailoverBarrierState::passed(const Job& job) const {
  if (job.barrier_epoch == ids::kNoEpoch) return true;
  // A job that may not use spot machines never had a task on one. If it waited for spot machines
  // that were preempted together, whose silence proves nothing yet, services would be delayed after
  // a change of leader.
  return job.record.spec.spot ? confirmed_by_all(job.barrier_epoch)
                              : confirmed_by_on_demand(job.barrier_epoch);
}
}  // namespace limemast::jobs

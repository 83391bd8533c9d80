#include "scheduling/placement.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace limemast::scheduling {
std::optional<std::size_t> choose_machine(const std::vector<Candidate>& candidates,
                                          wire::Seconds indifference) {
  std::optional<std::size_t> best;
  const auto preference = [&](const Candidate& candidate) {
    const double delay = candidate.delay.count();
    const double steps =
        indifference.count() > 0 ? std::floor(delay / indifference.count()) : delay;
    return std::tuple(candidate.spot ? 0 : 1, steps, -candidate.fill_after, candidate.price);
  };
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].short_partition) continue;
    if (!best || preference(candidates[i]) < preference(candidates[*best])) best = i;
  }
  return best;
}

std::vector<std::string> choose_short_partition(std::vector<PartitionCandidate> machines,
                                                double share) {
  const auto wanted =
      static_cast<std::size_t>(std::ceil(share * static_cast<double>(machines.size())));
  const auto preference = [](const PartitionCandidate& candidate) {
    return std::tuple(candidate.has_long_tasks, !candidate.spot, !candidate.in_short_partition);
  };
  std::stable_sort(machines.begin(), machines.end(),
                   [&](const PartitionCandidate& left, const PartitionCandidate& right) {
                     return preference(left) < preference(right);
                   });
  std::vector<std::string> chosen;
  for (const auto& candidate : machines)
    if (!candidate.has_long_tasks && chosen.size() < wanted) chosen.push_back(candidate.machine);
  return chosen;
}
}  // namespace limemast::scheduling

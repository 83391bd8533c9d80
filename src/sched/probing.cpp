#include "sched/probing.hpp"

#include <algorithm>

namespace limemast::sched {
std::size_t probe_count(std::uint32_t tasks, std::uint32_t min_probes, std::size_t machines) {
  return std::min<std::size_t>(std::max<std::size_t>(min_probes, std::size_t{2} * tasks), machines);
}

std::vector<std::string> draw(std::vector<std::string> from, std::size_t count, std::mt19937_64& random) {
  std::vector<std::string> out;
  std::sample(from.begin(), from.end(), std::back_inserter(out), count, random);
  std::shuffle(out.begin(), out.end(), random);
  return out;
}
}  // namespace limemast::sched

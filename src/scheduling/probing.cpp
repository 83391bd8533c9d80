#include "scheduling/probing.hpp"

#include <algorithm>

namespace limemast::scheduling {
namespace {
/// The probe ratio (Eagle section 3).
constexpr std::size_t kProbesPerTask = 2;
}  // namespace

std::size_t probe_count(std::uint32_t tasks, std::uint32_t min_probes, std::size_t machines) {
  return std::min<std::size_t>(std::max<std::size_t>(min_probes, kProbesPerTask * tasks), machines);
}
}  // namespace limemast::scheduling

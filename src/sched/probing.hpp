#pragma once
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace limemast::sched {
/// How many probes a job with `tasks` unhanded tasks sends: max(K, 2t), yet one per machine at the most: a
/// probe stays until the job has no tasks left, so a second one on the same machine would buy nothing.
std::size_t probe_count(std::uint32_t tasks, std::uint32_t min_probes, std::size_t machines);

/// `count` different names drawn uniformly.
std::vector<std::string> draw(std::vector<std::string> from, std::size_t count, std::mt19937_64& random);
}  // namespace limemast::sched

#pragma once
// Chooses how many machines a short job probes, and which ones (batch sampling, Eagle section 3).
#include <algorithm>
#include <cstdint>
#include <iterator>
#include <random>
#include <vector>

namespace limemast::scheduling {
/// Number of probes for a job with `tasks` unassigned tasks: max(`min_probes`, 2 * `tasks`), but at
/// most one per machine. A probe stays until the job has no pending tasks (section 4.1), so a
/// second one on the same machine would be useless.
std::size_t probe_count(std::uint32_t tasks, std::uint32_t min_probes, std::size_t machines);

/// Returns `count` distinct elements of `from`, or all if there are fewer, sampled uniformly and in
/// random order.
template <class T>
std::vector<T> random_sample(std::vector<T> from, std::size_t count, std::mt19937_64& random) {
  std::vector<T> out;
  std::sample(from.begin(), from.end(), std::back_inserter(out), count, random);
  std::shuffle(out.begin(), out.end(), random);
  return out;
}
}  // namespace limemast::scheduling

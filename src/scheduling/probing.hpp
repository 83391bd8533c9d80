#pragma once
// How many machines a short job probes, and which ones (batch sampling, Eagle section 3).
#include <algorithm>
#include <cstdint>
#include <iterator>
#include <random>
#include <vector>

namespace limemast::scheduling {
/// How many probes a job with `tasks` unassigned tasks sends: max(`min_probes`, 2 * `tasks`), yet
/// at most one per machine. A probe stays until the job has no tasks left (section 4.1), so that a
/// second one on the same machine would gain nothing.
std::size_t probe_count(std::uint32_t tasks, std::uint32_t min_probes, std::size_t machines);

/// `count` different elements of `from`, or all if there are fewer, drawn uniformly and in random
/// order.
template <class T>
std::vector<T> random_sample(std::vector<T> from, std::size_t count, std::mt19937_64& random) {
  std::vector<T> out;
  std::sample(from.begin(), from.end(), std::back_inserter(out), count, random);
  std::shuffle(out.begin(), out.end(), random);
  return out;
}
}  // namespace limemast::scheduling

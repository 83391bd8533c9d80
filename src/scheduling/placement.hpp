#pragma once
// Centralized placement of long tasks, and the partition that is reserved for short jobs (Eagle
// section 3). Pure functions that the leader calls.
#include <optional>
#include <string>
#include <vector>

#include "wire/job.hpp"

namespace limemast::scheduling {
/// A machine with enough free resources for a long task.
struct Candidate {
  bool spot = false;
  bool short_partition = false;  ///< whether it belongs to the short-job partition
  wire::Seconds delay{0};        ///< time until the task can start: the fetch of its image
  double price = 0;              ///< price of the machine per unit of its size
  double fill_after = 0;         ///< share of the machine, 0 to 1, in use with the task on it
};

/// Returns the index of the candidate for the task. Prefers spot machines, then the soonest start,
/// then the fullest machine, so that idle machines can be terminated, then the cheapest one. Delays
/// within the same multiple of `indifference` count as equal; with 0, all differences count. Never
/// chooses a machine of the short-job partition; nullopt if there are no other candidates.
std::optional<std::size_t> choose_machine(const std::vector<Candidate>& candidates,
                                          wire::Seconds indifference);

/// A machine that may belong to the short-job partition.
struct PartitionCandidate {
  std::string machine;
  bool has_long_tasks = false;
  bool in_short_partition = false;  ///< whether it belongs to the partition now
  bool spot = false;
};

/// Chooses the machines of the short-job partition: `share` (0 to 1) of all machines, rounded up,
/// or fewer if too many have long tasks. Prefers spot machines, because services cannot use them
/// and an on-demand machine in the partition is not available to services. One that entered the
/// partition while there were no spot machines would otherwise stay in it for as long as it runs.
/// Among equals, it prefers machines that already belong to the partition.
std::vector<std::string> choose_short_partition(std::vector<PartitionCandidate> machines,
                                                double share);
}  // namespace limemast::scheduling

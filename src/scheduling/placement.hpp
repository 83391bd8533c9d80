#pragma once
// Centralized placement of long tasks, and the partition that short jobs have for themselves (Eagle
// section 3). Pure functions; the leader calls them.
#include <optional>
#include <string>
#include <vector>

#include "wire/job.hpp"

namespace limemast::scheduling {
/// A machine that could take a long task now.
struct Candidate {
  bool spot = false;
  bool short_partition = false;  ///< it belongs to the short-job partition
  wire::Seconds delay{0};        ///< until the task could start: the fetch of its image
  double price = 0;              ///< what the machine costs per unit of its size
  double fill_after = 0;         ///< share of the machine in use once the task is there
};

/// Index of the candidate that the task is placed on: spot machines first, then where it starts
/// soonest (the machines that have room differ by the image fetch only), then the fullest, so that
/// idle ones can be terminated, then the cheapest. Delays within the same multiple of
/// `indifference` count as equal; 0: all differences count. Machines of the short-job partition are
/// never chosen; nullopt if there are no others.
std::optional<std::size_t> choose_machine(const std::vector<Candidate>& candidates,
                                          wire::Seconds indifference);

/// A machine that may belong to the short-job partition.
struct PartitionCandidate {
  std::string machine;
  bool has_long_tasks = false;
  bool in_short_partition = false;  ///< it belongs to it now
  bool spot = false;
};

/// The machines of the short-job partition: `share` (0 to 1) of all, rounded up, fewer if too many
/// have long tasks. Spot machines come first, as services may not use them: an on-demand machine
/// that got in while there was no other would be lost to services for as long as it runs. Then
/// machines that belong to it already.
std::vector<std::string> choose_short_partition(std::vector<PartitionCandidate> machines,
                                                double share);
}  // namespace limemast::scheduling

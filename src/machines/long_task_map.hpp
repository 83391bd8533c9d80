#pragma once
// Which machines short jobs avoid: the succinct state that Eagle's leader shares (section 3.3), and
// the partition that long tasks never enter.
#include <cstdint>
#include <set>
#include <string>

#include "ids/dense_id_set.hpp"
#include "ids/fencing.hpp"

namespace limemast::machines {
/// The highest stage of a probe. Machines are drawn at random in stage 0, by this map in stage 1,
/// from the short-job partition in stage 2, and from all eligible machines in stage 3.
constexpr int kLastResortStage = 3;

/// The newest map of machines with long tasks from the leader. Rejected probes are redrawn by it.
struct LongTaskMap {
  ids::EpochNumber epoch{};  ///< epoch in which the leader made the map
  std::uint64_t serial = 0;  ///< number of the map within its epoch
  std::set<std::string> with_long_tasks;
  std::set<std::string> short_partition;
  /// Reserved for services: short jobs avoid them like machines with a long task.
  std::set<std::string> reserved_for_services;
  /// Ids of `with_long_tasks` and `reserved_for_services`, for machines that are known here.
  ids::DenseIdSet closed_to_short_jobs;
  /// Ids of `short_partition`, for machines that are known here.
  ids::DenseIdSet in_short_partition;

  bool newer_than(const LongTaskMap& other) const {
    return epoch != other.epoch ? epoch > other.epoch : serial > other.serial;
  }
};
}  // namespace limemast::machines

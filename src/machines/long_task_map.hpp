#pragma once
// Which machines short jobs avoid: the succinct state that Eagle's leader shares (section 3.3), and
// the partition that long tasks never enter.
#include <cstdint>
#include <set>
#include <string>

#include "ids/dense_id_set.hpp"
#include "ids/fencing.hpp"

namespace limemast::machines {
/// The highest stage of a probe. Stage 0 is drawn at random, then by the map, in the short-job
/// partition, and at last anywhere that the job may run.
constexpr int kLastResortStage = 3;

/// Machines with long tasks, as the leader last told; probes that were rejected are redrawn by it.
struct LongTaskMap {
  ids::EpochNumber epoch{};  ///< in which the leader made it
  std::uint64_t serial = 0;  ///< numbers the maps of one epoch
  std::set<std::string> with_long_tasks;
  std::set<std::string> short_partition;
  /// Kept for services: short jobs avoid them as if they had a long task.
  std::set<std::string> reserved_for_services;
  /// `with_long_tasks` and `reserved_for_services`, as far as the machines are known here.
  ids::DenseIdSet closed_to_short_jobs;
  /// `short_partition`, likewise.
  ids::DenseIdSet in_short_partition;

  bool newer_than(const LongTaskMap& other) const {
    return epoch != other.epoch ? epoch > other.epoch : serial > other.serial;
  }
};
}  // namespace limemast::machines

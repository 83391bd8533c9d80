#pragma once
// Lingering tasks: tasks of ended jobs that may still be on a machine. What each controller knows
// of them, and its record in the store. Does no I/O.
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "net/runtime.hpp"

namespace limemast::machines {
/// What the newest heartbeat of a machine that a controller knows shows about lingering tasks.
struct LingeringTasks {
  // Position of the heartbeat: of two observations of a machine the one with the larger
  // (incarnation, sequence) is the newer.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// When the first of the jobs ended; nullopt if the heartbeat shows no task of an ended job.
  std::optional<net::WallTime> since;

  bool newer_than(const LingeringTasks& other) const {
    return incarnation != other.incarnation ? incarnation > other.incarnation
                                            : sequence > other.sequence;
  }
  bool operator==(const LingeringTasks&) const = default;
};

/// Observations by machine.
using LingeringTasksByMachine = std::map<std::string, LingeringTasks>;

/// Keeps the newest observation of each machine. Of two observations of one heartbeat the one with
/// the earlier end of a job applies, since a controller may not know of an end yet.
void merge_newest(LingeringTasksByMachine& into, const LingeringTasksByMachine& from);

/// Machines in one record at most. An entry has some 40 bytes, and a record must fit into a value
/// of 8 KiB.
constexpr std::size_t kMaxLingeringEntries = 160;

/// Encodes a controller's record, an object of [incarnation, sequence, milliseconds since the Unix
/// epoch or 0] by machine. Of more than `kMaxLingeringEntries` machines those whose jobs ended
/// first are kept.
wire::json encode_lingering_tasks(const LingeringTasksByMachine& machines);
/// Returns nullopt if the record cannot be decoded. Never throws.
std::optional<LingeringTasksByMachine> decode_lingering_tasks(const wire::json& record);
}  // namespace limemast::machines

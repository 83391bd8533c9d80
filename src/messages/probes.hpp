#pragma once
// Messages between controllers about probes of short jobs, and the leader's map of long tasks by
// which probes are drawn.
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ids/fencing.hpp"
#include "wire/resources.hpp"

namespace limemast::messages {
/// Which map of long tasks: maps of one epoch are numbered by the leader.
struct MapVersion {
  ids::EpochNumber epoch;
  std::uint64_t serial = 0;
  bool operator==(const MapVersion&) const = default;
};

/// Names of machines, as the leader's map of long tasks groups them.
struct MachineGroups {
  std::set<std::string> with_long_tasks;
  std::set<std::string> short_partition;
  std::set<std::string> reserved_for_services;
  bool operator==(const MachineGroups&) const = default;
};

/// A short job's owner sends probes to machines that are attached to the receiver.
struct PlaceProbes {
  static constexpr const char* kKind = "probe";
  std::string uid;
  std::vector<std::string> machines;
  int stage = 0;  ///< how often these probes were redrawn; see machines::kLastResort
  wire::Seconds estimate{0};
  std::uint32_t pending_tasks = 0;
  wire::Resources need;
  MapVersion map;  ///< the newest that the owner knows
  bool operator==(const PlaceProbes&) const = default;
};
void to_json(wire::json& json, const PlaceProbes& message);
void from_json(const wire::json& json, PlaceProbes& message);

/// These machines did not take the probe.
struct ProbesRejected {
  static constexpr const char* kKind = "rejected";
  /// A map of long tasks that is newer than the owner's.
  struct NewerMap {
    MapVersion version;
    MachineGroups groups;
    bool operator==(const NewerMap&) const = default;
  };
  std::string uid;
  int stage = 0;
  std::vector<std::string> behind_long_tasks;
  std::vector<std::string> other_reasons;
  std::optional<NewerMap> map;
  bool operator==(const ProbesRejected&) const = default;
};
void to_json(wire::json& json, const ProbesRejected& message);
void from_json(const wire::json& json, ProbesRejected& message);

/// The machine has dropped its probes of these jobs.
struct ProbesDropped {
  static constexpr const char* kKind = "dropped";
  std::vector<std::string> jobs;
  std::string machine;
  bool operator==(const ProbesDropped&) const = default;
};
void to_json(wire::json& json, const ProbesDropped& message);
void from_json(const wire::json& json, ProbesDropped& message);

/// How much is left of each job, as its owner knows it.
struct PendingTasks {
  static constexpr const char* kKind = "left";
  struct Entry {
    std::string uid;
    std::uint32_t pending = 0;     ///< tasks that are not assigned
    std::uint32_t unfinished = 0;  ///< tasks that machines are needed for
    bool operator==(const Entry&) const = default;
  };
  std::vector<Entry> jobs;
  bool operator==(const PendingTasks&) const = default;
};
void to_json(wire::json& json, const PendingTasks& message);
void from_json(const wire::json& json, PendingTasks& message);

/// The leader's map of long tasks, and what else it tells all members regularly.
struct LongTaskMapUpdate {
  static constexpr const char* kKind = "map";
  /// Machines of one kind that were launched and are not up yet.
  struct Provisioning {
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint32_t count = 0;
    std::chrono::milliseconds first_expected_in{0};  ///< from now on until the first is expected
    bool operator==(const Provisioning&) const = default;
  };
  MapVersion version;
  MachineGroups groups;
  std::set<std::string> cordoned;
  std::set<std::string> underserved_classes;
  std::optional<std::vector<Provisioning>> provisioning;  ///< nullopt: the leader does not tell
  bool operator==(const LongTaskMapUpdate&) const = default;
};
void to_json(wire::json& json, const LongTaskMapUpdate& message);
void from_json(const wire::json& json, LongTaskMapUpdate& message);
}  // namespace limemast::messages

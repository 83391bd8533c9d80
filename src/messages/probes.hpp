#pragma once
// Messages between controllers about probes of short jobs, and about the leader's map of long
// tasks, which determines the machines that are probed.
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ids/fencing.hpp"
#include "wire/resources.hpp"

namespace limemast::messages {
/// The version of a map of long tasks. The leader numbers the maps of its epoch.
struct MapVersion {
  ids::EpochNumber epoch;
  std::uint64_t serial = 0;
  bool operator==(const MapVersion&) const = default;
};

/// The groups of machines in the leader's map of long tasks, by name.
struct MachineGroups {
  std::set<std::string> with_long_tasks;
  std::set<std::string> short_partition;
  std::set<std::string> reserved_for_services;
  bool operator==(const MachineGroups&) const = default;
};

/// Places probes of a short job on machines that are attached to the receiver. Sent by the job's
/// owner.
struct PlaceProbes {
  static constexpr const char* kKind = "probe";
  std::string uid;
  std::vector<std::string> machines;
  int stage = 0;  ///< number of redraws of these probes; see machines::kLastResortStage
  wire::Seconds estimate{0};
  std::uint32_t pending_tasks = 0;
  wire::Resources need;
  MapVersion map;  ///< the newest version that the owner knows
  bool operator==(const PlaceProbes&) const = default;
};
void to_json(wire::json& json, const PlaceProbes& message);
void from_json(const wire::json& json, PlaceProbes& message);

/// Lists the machines that rejected the probe.
struct ProbesRejected {
  static constexpr const char* kKind = "rejected";
  /// A newer map of long tasks than the one the owner knows.
  struct NewerMap {
    MapVersion version;
    MachineGroups groups;
    bool operator==(const NewerMap&) const = default;
  };
  std::string uid;
  int stage = 0;
  std::vector<std::string> behind_long_tasks;  ///< machines closed to short jobs by long tasks
  std::vector<std::string> other_reasons;      ///< machines that rejected it for another reason
  std::optional<NewerMap> map;
  bool operator==(const ProbesRejected&) const = default;
};
void to_json(wire::json& json, const ProbesRejected& message);
void from_json(const wire::json& json, ProbesRejected& message);

/// Announces that the machine has dropped its probes of these jobs.
struct ProbesDropped {
  static constexpr const char* kKind = "dropped";
  std::vector<std::string> jobs;
  std::string machine;
  bool operator==(const ProbesDropped&) const = default;
};
void to_json(wire::json& json, const ProbesDropped& message);
void from_json(const wire::json& json, ProbesDropped& message);

/// Numbers of remaining tasks of the sender's jobs.
struct PendingTasks {
  static constexpr const char* kKind = "left";
  struct Entry {
    std::string uid;
    std::uint32_t pending = 0;     ///< tasks that are not assigned yet
    std::uint32_t unfinished = 0;  ///< tasks that still need capacity
    bool operator==(const Entry&) const = default;
  };
  std::vector<Entry> jobs;
  bool operator==(const PendingTasks&) const = default;
};
void to_json(wire::json& json, const PendingTasks& message);
void from_json(const wire::json& json, PendingTasks& message);

/// Sent regularly by the leader to all members: the map of long tasks, cordoned machines,
/// underserved classes and machines being provisioned.
struct LongTaskMapUpdate {
  static constexpr const char* kKind = "map";
  /// Machines of one kind that have been launched but have not booted yet.
  struct Provisioning {
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint32_t count = 0;
    std::chrono::milliseconds first_expected_in{0};  ///< time until the first is expected to be up
    bool operator==(const Provisioning&) const = default;
  };
  MapVersion version;
  MachineGroups groups;
  std::set<std::string> cordoned;
  std::set<std::string> underserved_classes;
  std::optional<std::vector<Provisioning>> provisioning;  ///< nullopt: not reported by the leader
  bool operator==(const LongTaskMapUpdate&) const = default;
};
void to_json(wire::json& json, const LongTaskMapUpdate& message);
void from_json(const wire::json& json, LongTaskMapUpdate& message);
}  // namespace limemast::messages

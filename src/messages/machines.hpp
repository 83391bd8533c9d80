#pragma once
// Messages between controllers about machines: forwarded heartbeats, the adoption of machines that
// no controller has heartbeats from, and fencing tokens.
#include <optional>
#include <string>
#include <vector>

#include "ids/fencing.hpp"
#include "wire/worker.hpp"

namespace limemast::messages {
/// A worker's heartbeat, forwarded by the controller to which the worker is attached.
struct ForwardHeartbeat {
  static constexpr const char* kKind = "report";
  std::optional<wire::Heartbeat> heartbeat;  ///< nullopt: it could not be parsed
  bool sent_by_worker = false;               ///< false: taken from the response to a direct command
  bool operator==(const ForwardHeartbeat&) const = default;
};
void to_json(wire::json& json, const ForwardHeartbeat& message);
void from_json(const wire::json& json, ForwardHeartbeat& message);

/// Sent once a second: identifies the newest heartbeats that the sender has received, and reports
/// its own state. Peers request missing heartbeats with ResendHeartbeats.
struct HeartbeatDigest {
  static constexpr const char* kKind = "heard";
  /// Identifies the newest heartbeat of a machine that the sender has forwarded.
  struct Entry {
    std::string machine;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool operator==(const Entry&) const = default;
  };
  std::vector<Entry> machines;
  bool store_available = false;  ///< whether the sender can use the key-value store
  double load = 0;               ///< utilization of the sender's event loop, 0 to 1
  bool operator==(const HeartbeatDigest&) const = default;
};
void to_json(wire::json& json, const HeartbeatDigest& message);
void from_json(const wire::json& json, HeartbeatDigest& message);

/// Requests the newest heartbeats of these machines, which the sender lacks.
struct ResendHeartbeats {
  static constexpr const char* kKind = "resend";
  std::vector<std::string> machines;
  bool operator==(const ResendHeartbeats&) const = default;
};
void to_json(wire::json& json, const ResendHeartbeats& message);
void from_json(const wire::json& json, ResendHeartbeats& message);

/// Assigns machines from which no member has a heartbeat to the receiver, which must query their
/// state.
struct AdoptMachines {
  static constexpr const char* kKind = "claim";
  struct Entry {
    std::string machine;
    std::string address;
    bool operator==(const Entry&) const = default;
  };
  std::vector<Entry> machines;
  bool operator==(const AdoptMachines&) const = default;
};
void to_json(wire::json& json, const AdoptMachines& message);
void from_json(const wire::json& json, AdoptMachines& message);

/// Commands to the machine must carry at least this fencing token, because commands with lower
/// tokens may still be in flight.
struct RaiseFencingToken {
  static constexpr const char* kKind = "fence";
  std::string machine;
  ids::FencingToken token;
  bool operator==(const RaiseFencingToken&) const = default;
};
void to_json(wire::json& json, const RaiseFencingToken& message);
void from_json(const wire::json& json, RaiseFencingToken& message);
}  // namespace limemast::messages

#pragma once
// Messages between controllers about machines: what their workers' heartbeats show, and who asks
// machines that no controller hears.
#include <optional>
#include <string>
#include <vector>

#include "ids/fencing.hpp"
#include "wire/worker.hpp"

namespace limemast::messages {
/// A worker's heartbeat, passed on by the controller that the worker is attached to.
struct ForwardHeartbeat {
  static constexpr const char* kKind = "report";
  std::optional<wire::Heartbeat> heartbeat;  ///< nullopt: it could not be read
  bool sent_by_worker = false;  ///< false: it is the body of the answer to a direct command
  bool operator==(const ForwardHeartbeat&) const = default;
};
void to_json(wire::json& json, const ForwardHeartbeat& message);
void from_json(const wire::json& json, ForwardHeartbeat& message);

/// Which machines the sender has heard lately, and its own state; once a second.
struct HeartbeatDigest {
  static constexpr const char* kKind = "heard";
  /// The newest heartbeat of a machine that the sender has forwarded.
  struct Entry {
    std::string machine;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool operator==(const Entry&) const = default;
  };
  std::vector<Entry> machines;
  bool store_available = false;  ///< the key-value store serves the sender
  double load = 0;               ///< share of its time, 0 to 1, in which its event loop had work
  bool operator==(const HeartbeatDigest&) const = default;
};
void to_json(wire::json& json, const HeartbeatDigest& message);
void from_json(const wire::json& json, HeartbeatDigest& message);

/// Asks for the newest heartbeat of machines of which the sender lacks it.
struct ResendHeartbeats {
  static constexpr const char* kKind = "resend";
  std::vector<std::string> machines;
  bool operator==(const ResendHeartbeats&) const = default;
};
void to_json(wire::json& json, const ResendHeartbeats& message);
void from_json(const wire::json& json, ResendHeartbeats& message);

/// The receiver is to ask these machines, which no member has heard, for their state.
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

/// Commands to the machine must bear at least this token: lower ones may still be under way.
struct RaiseFencingToken {
  static constexpr const char* kKind = "fence";
  std::string machine;
  ids::FencingToken token;
  bool operator==(const RaiseFencingToken&) const = default;
};
void to_json(wire::json& json, const RaiseFencingToken& message);
void from_json(const wire::json& json, RaiseFencingToken& message);
}  // namespace limemast::messages

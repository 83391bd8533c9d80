#pragma once
// Heartbeats between controllers. For all messages in this directory, only to_json and from_json
// contain the field names used on the links, and from_json throws wire::json::exception if a
// required field is missing or has the wrong type.
#include <set>
#include <string>

#include "ids/controller_id.hpp"
#include "wire/job.hpp"

namespace limemast::messages {
/// Heartbeat of a controller, sent to all other members once a second.
struct MemberHeartbeat {
  static constexpr const char* kKind = "beat";
  bool store_available = false;           ///< whether the sender can use the key-value store
  std::set<ids::ControllerId> reachable;  ///< members whose heartbeats the sender receives
  bool operator==(const MemberHeartbeat&) const = default;
};
void to_json(wire::json& json, const MemberHeartbeat& message);
void from_json(const wire::json& json, MemberHeartbeat& message);
}  // namespace limemast::messages

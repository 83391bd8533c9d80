#pragma once
// Messages with which a controller that serves the operator API collects data from other members.
#include <string>

#include "wire/job.hpp"

namespace limemast::messages {
/// Asks a member for its part of a response.
struct OperatorQuery {
  static constexpr const char* kKind = "tell";
  std::uint64_t id = 0;  ///< correlates the reply with the query
  std::string what;      ///< name of the part
  wire::json arguments;  ///< JSON of the operator API
  bool operator==(const OperatorQuery&) const = default;
};
void to_json(wire::json& json, const OperatorQuery& message);
void from_json(const wire::json& json, OperatorQuery& message);

/// The member's part of the response.
struct OperatorReply {
  static constexpr const char* kKind = "told";
  std::uint64_t id = 0;
  wire::json part;  ///< JSON of the operator API
  bool operator==(const OperatorReply&) const = default;
};
void to_json(wire::json& json, const OperatorReply& message);
void from_json(const wire::json& json, OperatorReply& message);
}  // namespace limemast::messages

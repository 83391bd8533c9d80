#pragma once
// Messages with which the leader divides the teams' quotas among the members.
#include <map>
#include <string>

#include "wire/resources.hpp"

namespace limemast::messages {
/// The amount of each limited team's quota that a member holds and the amount it wants. Sent to the
/// leader. Quotas cover CPUs and accelerators, not memory.
struct QuotaDemand {
  static constexpr const char* kKind = "budget";
  struct Entry {
    wire::Resources held;
    wire::Resources wanted;
    bool operator==(const Entry&) const = default;
  };
  std::map<std::string, Entry> teams;
  std::uint64_t serial = 0;  ///< serial of the newest grant that the member knows
  bool operator==(const QuotaDemand&) const = default;
};
void to_json(wire::json& json, const QuotaDemand& message);
void from_json(const wire::json& json, QuotaDemand& message);

/// The total amount of each team's quota that the member may use. Sent by the leader.
struct QuotaGrant {
  static constexpr const char* kKind = "grant";
  std::map<std::string, wire::Resources> teams;
  std::uint64_t serial = 0;  ///< increases with each grant of one leader to one member
  bool operator==(const QuotaGrant&) const = default;
};
void to_json(wire::json& json, const QuotaGrant& message);
void from_json(const wire::json& json, QuotaGrant& message);
}  // namespace limemast::messages

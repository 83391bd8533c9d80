#pragma once
// Wall-clock timestamps in messages.
#include <chrono>

#include "wire/job.hpp"

namespace limemast::messages {
/// The sender's wall-clock time at which a message was sent; receivers use it to detect stale
/// messages.
using SentAt = std::chrono::system_clock::time_point;

/// Milliseconds since the clock's epoch.
inline wire::json to_milliseconds(SentAt at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}
/// Throws wire::json::exception if the value is not a number.
inline SentAt from_milliseconds(const wire::json& json) {
  return SentAt(std::chrono::milliseconds(json.get<std::int64_t>()));
}
}  // namespace limemast::messages

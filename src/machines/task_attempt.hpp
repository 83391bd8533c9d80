#pragma once
// The identity of one attempt at a task in commands, heartbeats and messages.
#include <compare>
#include <cstdint>
#include <string>

#include "wire/worker.hpp"

namespace limemast::machines {
/// One attempt at the task `index` of the job `uid`. The job's owner numbers the attempts. No
/// number is used twice, even after the job's owner changes.
struct TaskAttempt {
  std::string uid;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  auto operator<=>(const TaskAttempt&) const = default;

  /// The attempt that a command, task status or message names.
  template <class Source>
  static TaskAttempt of(const Source& source) {
    return {source.uid, source.index, source.attempt};
  }
};

/// Whether two commands, task statuses, messages or attempts name the same attempt.
template <class Left, class Right>
bool same_attempt(const Left& left, const Right& right) {
  return left.index == right.index && left.attempt == right.attempt && left.uid == right.uid;
}

/// A command of this kind for the attempt that `source` names. A stop has a grace period of 0 s.
template <class Source>
wire::Command command_for(wire::CommandKind kind, const Source& source) {
  return {kind, source.uid, source.index, source.attempt, wire::Seconds(0)};
}
}  // namespace limemast::machines

#pragma once
// Messages between a job's owner and the controller to which a machine is attached: they pull,
// start and stop tasks, and resolve whether a start reached its machine.
#include <optional>
#include <string>
#include <vector>

#include "messages/timestamp.hpp"
#include "wire/resources.hpp"
#include "wire/worker.hpp"

namespace limemast::messages {
/// Requests a task of this job for a machine that holds a probe of the job and has free capacity.
struct PullTask {
  static constexpr const char* kKind = "pull";
  std::string uid;
  std::string machine;
  std::uint64_t incarnation = 0;  ///< incarnation of the machine's worker
  SentAt sent_at;
  bool operator==(const PullTask&) const = default;
};
void to_json(wire::json& json, const PullTask& message);
void from_json(const wire::json& json, PullTask& message);

/// The response to a pull if there is no task for the machine.
struct NoTask {
  static constexpr const char* kKind = "none";
  std::string uid;
  std::string machine;
  bool none_left = false;       ///< no task is left to start; the machine drops its probe
  bool on_any_machine = false;  ///< applies to all machines, not only to this one
  bool operator==(const NoTask&) const = default;
};
void to_json(wire::json& json, const NoTask& message);
void from_json(const wire::json& json, NoTask& message);

/// Starts a task that has been assigned to the machine.
struct StartTask {
  static constexpr const char* kKind = "run";
  std::string machine;
  std::uint64_t incarnation = 0;  ///< incarnation of the machine's worker, as known to the owner
  std::string uid;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  wire::Resources need;
  bool pulled = false;                   ///< true: response to a pull; false: placed by the leader
  std::vector<wire::Command> evictions;  ///< commands that stop tasks to free capacity for it
  SentAt sent_at;
  bool operator==(const StartTask&) const = default;
};
void to_json(wire::json& json, const StartTask& message);
void from_json(const wire::json& json, StartTask& message);

/// A command to a worker to stop a task or to forget an exited task.
struct CommandWorker {
  static constexpr const char* kKind = "order";
  std::string machine;
  std::optional<wire::Command> command;  ///< nullopt: it could not be parsed
  SentAt sent_at;
  bool operator==(const CommandWorker&) const = default;
};
void to_json(wire::json& json, const CommandWorker& message);
void from_json(const wire::json& json, CommandWorker& message);

/// Asks for the outcome of a start that has been unresolved for some time.
struct QueryStart {
  static constexpr const char* kKind = "query";
  std::string machine;
  std::uint64_t incarnation = 0;
  std::string uid;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  bool operator==(const QueryStart&) const = default;
};
void to_json(wire::json& json, const QueryStart& message);
void from_json(const wire::json& json, QueryStart& message);

/// Reports, as proved by a heartbeat, whether a start reached its machine.
struct StartResolved {
  static constexpr const char* kKind = "settled";
  std::string machine;
  std::uint64_t incarnation = 0;  ///< worker incarnation in the heartbeat that proves it
  std::uint64_t sequence = 0;     ///< sequence number of that heartbeat
  std::string uid;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  bool arrived = false;  ///< false: the start will never reach the machine
  bool operator==(const StartResolved&) const = default;
};
void to_json(wire::json& json, const StartResolved& message);
void from_json(const wire::json& json, StartResolved& message);
}  // namespace limemast::messages

#pragma once
// Messages between workers and controllers: heartbeats with the status of tasks, and commands.
#include <optional>
#include <string>
#include <vector>

#include "ids/fencing.hpp"
#include "wire/job.hpp"

namespace limemast::wire {
/// Progress of a task on its worker. Controllers send each other the numeric value.
enum class TaskPhase {
  Fetching,  ///< the worker downloads the image
  Waiting,   ///< the task waits for the other tasks of its gang
  Running,
  Saving,  ///< the task writes a checkpoint before it is stopped
  Exited
};
/// Why a task has exited. Controllers send each other the numeric value.
enum class ExitCause {
  None,              ///< the task has not exited
  Done,              ///< completed
  Stopped,           ///< stopped by command
  Error,             ///< failed, or with a cause that this build does not know
  NoRoom,            ///< the machine did not have enough free resources
  DuplicateAttempt,  ///< another attempt of the task is on the machine
  UnknownTask,       ///< the worker does not know the job or the task
  GangTaskLost,      ///< another task of its gang was lost
  GangTimeout        ///< the other tasks of its gang did not start in time
};

/// The cause's spelling on the wire; empty for None.
const char* name_of(ExitCause exit_cause);

/// Status of one attempt of a task, as its worker reports it.
struct TaskStatus {
  std::string uid;  ///< of the job
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;  ///< chosen by the job's owner; each start has another number
  TaskPhase phase = TaskPhase::Fetching;
  ExitCause exit_cause = ExitCause::None;  ///< None unless `phase` is Exited
  bool exited() const { return phase == TaskPhase::Exited; }
  bool runs() const { return phase == TaskPhase::Running || phase == TaskPhase::Saving; }
  bool operator==(const TaskStatus&) const = default;
};

/// State of a machine, which its worker sends once per heartbeat interval. The pair (incarnation,
/// sequence) orders the heartbeats of one machine.
struct Heartbeat {
  std::string machine;
  std::string address;  ///< host:port where the worker takes commands
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;             ///< increases each time the worker's lease expires
  std::uint64_t sequence = 0;                ///< increases with each heartbeat and command response
  ids::FencingToken fencing_token{};         ///< the highest that the worker has seen
  std::optional<Seconds> preemption_notice;  ///< time until the cloud reclaims the machine
  std::vector<TaskStatus> tasks;             ///< including exited ones until a Forget command

  bool newer_than(const Heartbeat& other) const {
    return incarnation != other.incarnation ? incarnation > other.incarnation
                                            : sequence > other.sequence;
  }
  /// Whether two heartbeats of one machine report the same state. Ignores the sequence number and
  /// the time left in a preemption notice, but not whether there is a notice.
  bool same_content_as(const Heartbeat& other) const {
    return incarnation == other.incarnation && fencing_token == other.fencing_token &&
           preemption_notice.has_value() == other.preemption_notice.has_value() &&
           address == other.address && tasks == other.tasks;
  }
  /// Returns nullptr if the worker does not have this attempt. The pointer is valid until `tasks`
  /// changes.
  const TaskStatus* find(const std::string& uid, std::uint32_t index, std::uint64_t attempt) const;
  bool operator==(const Heartbeat&) const = default;
};

enum class CommandKind {
  Start,
  Stop,
  Forget  ///< omit an exited task from further heartbeats
};
/// A command to a worker about one attempt of a task.
struct Command {
  CommandKind kind = CommandKind::Start;
  std::string uid;  ///< of the job
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  Seconds grace_period{0};  ///< for Stop: time to write a checkpoint before the task is killed
  bool operator==(const Command&) const = default;
};

/// Returns nullopt if the body is not a heartbeat. An unknown phase is parsed as Running and an
/// unknown cause as Error, so that a task never counts as exited or completed by mistake.
std::optional<Heartbeat> parse_heartbeat(const json& body);
json to_json(const Heartbeat& heartbeat);
json to_json(const Command& command);
/// Returns nullopt if the body is not a command.
std::optional<Command> parse_command(const json& body);
/// Body of the response to a heartbeat. Requests with direct commands begin with the same fields.
json commands_body(ids::FencingToken fencing_token, const std::vector<Command>& commands);
}  // namespace limemast::wire

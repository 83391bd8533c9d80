#include "wire/worker.hpp"

#include <algorithm>

namespace limemast::wire {
namespace {
// Field names and values in the messages between workers and controllers.
constexpr auto kMachine = "host";
constexpr auto kAddress = "address";
constexpr auto kType = "flavor";
constexpr auto kZone = "district";
constexpr auto kSpot = "reclaimable";
constexpr auto kIncarnation = "tenure";
constexpr auto kSequence = "tick";
constexpr auto kFencingToken = "mandate";
constexpr auto kPreemptionNotice = "warningS";
constexpr auto kTasks = "shards";
constexpr auto kTask = "shard";
constexpr auto kAttempt = "tryNo";
constexpr auto kPhase = "phase";
constexpr auto kExitCause = "cause";
constexpr auto kCommands = "orders";
constexpr auto kCommandKind = "verb";
constexpr auto kGracePeriod = "windDownS";

constexpr std::pair<const char*, TaskPhase> kPhases[] = {{"fetching", TaskPhase::Fetching},
                                                         {"waiting", TaskPhase::Waiting},
                                                         {"running", TaskPhase::Running},
                                                         {"saving", TaskPhase::Saving},
                                                         {"exited", TaskPhase::Exited}};
constexpr std::pair<const char*, ExitCause> kExitCauses[] = {
    {"done", ExitCause::Done},
    {"halted", ExitCause::Stopped},
    {"error", ExitCause::Error},
    {"full", ExitCause::NoRoom},
    {"in_use", ExitCause::DuplicateAttempt},
    {"no_such", ExitCause::UnknownTask},
    {"peers", ExitCause::GangTaskLost},
    {"alone", ExitCause::GangTimeout}};
constexpr std::pair<const char*, CommandKind> kCommandKinds[] = {
    {"run", CommandKind::Start}, {"kill", CommandKind::Stop}, {"clear", CommandKind::Forget}};

/// Returns false and leaves `out` unchanged if the table does not contain the text.
template <class Table, class Value>
bool lookup(const Table& table, const json& text, Value& out) {
  if (!text.is_string()) return false;
  for (const auto& [name, value] : table) {
    if (text.get_ref<const std::string&>() == name) {
      out = value;
      return true;
    }
  }
  return false;
}
template <class Table, class Value>
const char* spelling(const Table& table, Value wanted) {
  for (const auto& [name, value] : table)
    if (value == wanted) return name;
  return "";
}

// Each overload reads one field and returns false if it is missing or has another type.
bool read(const json& object, const char* field, std::uint64_t& out) {
  const auto it = object.find(field);
  if (it == object.end() || !it->is_number_unsigned()) return false;
  out = it->get<std::uint64_t>();
  return true;
}
bool read(const json& object, const char* field, ids::FencingToken& out) {
  std::uint64_t value = 0;
  if (!read(object, field, value)) return false;
  out = ids::FencingToken(value);
  return true;
}
bool read(const json& object, const char* field, bool& out) {
  const auto it = object.find(field);
  if (it == object.end() || !it->is_boolean()) return false;
  out = it->get<bool>();
  return true;
}
/// An empty string counts as missing.
bool read(const json& object, const char* field, std::string& out) {
  const auto it = object.find(field);
  if (it == object.end() || !it->is_string()) return false;
  out = it->get<std::string>();
  return !out.empty();
}
/// The field is optional: if it is missing or null, `out` is unchanged and the result is true.
bool read(const json& object, const char* field, std::optional<Seconds>& out) {
  const auto it = object.find(field);
  if (it == object.end() || it->is_null()) return true;
  if (!it->is_number()) return false;
  out = Seconds(it->get<double>());
  return true;
}
/// Reads the fields that TaskStatus and Command share: job, task index and attempt.
template <class Attempt>
bool read_attempt(const json& object, Attempt& out) {
  std::string name;
  return read(object, kTask, name) && parse_task_name(name, out.uid, out.index) &&
         read(object, kAttempt, out.attempt);
}

std::optional<TaskStatus> parse_task_status(const json& entry) {
  TaskStatus task;
  if (!entry.is_object() || !read_attempt(entry, task)) return std::nullopt;
  const auto phase = entry.find(kPhase);
  if (phase == entry.end() || !lookup(kPhases, *phase, task.phase)) task.phase = TaskPhase::Running;
  if (!task.exited()) return task;
  const auto exit_cause = entry.find(kExitCause);
  if (exit_cause == entry.end() || !lookup(kExitCauses, *exit_cause, task.exit_cause))
    task.exit_cause = ExitCause::Error;
  return task;
}

json to_json(const TaskStatus& task) {
  json out{{kTask, task_name(task.uid, task.index)},
           {kAttempt, task.attempt},
           {kPhase, spelling(kPhases, task.phase)}};
  if (task.exited()) out[kExitCause] = spelling(kExitCauses, task.exit_cause);
  return out;
}
}  // namespace

const char* name_of(ExitCause exit_cause) { return spelling(kExitCauses, exit_cause); }

const TaskStatus* Heartbeat::find(const std::string& uid, std::uint32_t index,
                                  std::uint64_t attempt) const {
  const auto it = std::find_if(tasks.begin(), tasks.end(), [&](const TaskStatus& task) {
    return task.attempt == attempt && task.index == index && task.uid == uid;
  });
  return it == tasks.end() ? nullptr : &*it;
}

std::optional<Heartbeat> parse_heartbeat(const json& body) {
  if (!body.is_object()) return std::nullopt;
  Heartbeat heartbeat;
  if (!read(body, kMachine, heartbeat.machine) || !read(body, kAddress, heartbeat.address) ||
      !read(body, kType, heartbeat.type) || !read(body, kZone, heartbeat.zone) ||
      !read(body, kIncarnation, heartbeat.incarnation) ||
      !read(body, kSequence, heartbeat.sequence) ||
      !read(body, kFencingToken, heartbeat.fencing_token) || !read(body, kSpot, heartbeat.spot) ||
      !read(body, kPreemptionNotice, heartbeat.preemption_notice))
    return std::nullopt;
  const auto tasks = body.find(kTasks);
  if (tasks == body.end() || !tasks->is_array()) return std::nullopt;
  heartbeat.tasks.reserve(tasks->size());
  for (const auto& entry : *tasks) {
    auto task = parse_task_status(entry);
    if (!task) return std::nullopt;
    heartbeat.tasks.push_back(std::move(*task));
  }
  return heartbeat;
}

json to_json(const Heartbeat& heartbeat) {
  json tasks = json::array();
  for (const auto& task : heartbeat.tasks) tasks.push_back(to_json(task));
  json out{{kMachine, heartbeat.machine},   {kAddress, heartbeat.address},
           {kType, heartbeat.type},         {kZone, heartbeat.zone},
           {kSpot, heartbeat.spot},         {kIncarnation, heartbeat.incarnation},
           {kSequence, heartbeat.sequence}, {kFencingToken, heartbeat.fencing_token},
           {kTasks, std::move(tasks)}};
  if (heartbeat.preemption_notice) out[kPreemptionNotice] = heartbeat.preemption_notice->count();
  return out;
}

json to_json(const Command& command) {
  json out{{kCommandKind, spelling(kCommandKinds, command.kind)},
           {kTask, task_name(command.uid, command.index)},
           {kAttempt, command.attempt}};
  if (command.kind == CommandKind::Stop) out[kGracePeriod] = command.grace_period.count();
  return out;
}

std::optional<Command> parse_command(const json& body) {
  Command command;
  if (!body.is_object() || !read_attempt(body, command) ||
      !lookup(kCommandKinds, body.value(kCommandKind, json()), command.kind))
    return std::nullopt;
  if (const auto it = body.find(kGracePeriod); it != body.end() && it->is_number())
    command.grace_period = Seconds(it->get<double>());
  return command;
}

json commands_body(ids::FencingToken fencing_token, const std::vector<Command>& commands) {
  json list = json::array();
  for (const auto& command : commands) list.push_back(to_json(command));
  return json{{kFencingToken, fencing_token}, {kCommands, std::move(list)}};
}
}  // namespace limemast::wire

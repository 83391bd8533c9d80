#include "wire/peer.hpp"

namespace limemast::wire {
namespace {
// Positions in the array. The tasks follow the fields of the heartbeat.
constexpr std::size_t kMachine = 0;
constexpr std::size_t kAddress = 1;
constexpr std::size_t kType = 2;
constexpr std::size_t kZone = 3;
constexpr std::size_t kSpot = 4;
constexpr std::size_t kIncarnation = 5;
constexpr std::size_t kSequence = 6;
constexpr std::size_t kFencingToken = 7;
constexpr std::size_t kPreemptionNotice = 8;
constexpr std::size_t kHeartbeatFieldCount = 9;
// Positions relative to the first field of a task.
constexpr std::size_t kUid = 0;
constexpr std::size_t kIndex = 1;
constexpr std::size_t kAttempt = 2;
constexpr std::size_t kPhase = 3;
constexpr std::size_t kExitCause = 4;
constexpr std::size_t kTaskFieldCount = 5;

/// Reads an enumerator from its numeric value, which must not exceed that of `last`.
template <class Enum>
bool read_enumerator(const json& value, Enum last, Enum& out) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > static_cast<std::uint64_t>(last))
    return false;
  out = static_cast<Enum>(value.get<std::uint64_t>());
  return true;
}

bool has_heartbeat_layout(const json& list) {
  if (!list.is_array() || list.size() < kHeartbeatFieldCount ||
      (list.size() - kHeartbeatFieldCount) % kTaskFieldCount != 0)
    return false;
  for (const auto field : {kMachine, kAddress, kType, kZone})
    if (!list[field].is_string()) return false;
  for (const auto field : {kIncarnation, kSequence, kFencingToken})
    if (!list[field].is_number_unsigned()) return false;
  const auto& notice = list[kPreemptionNotice];
  return list[kSpot].is_boolean() && (notice.is_null() || notice.is_number());
}

/// Parses the task whose fields begin at position `first`.
std::optional<TaskStatus> parse_task(const json& list, std::size_t first) {
  const auto field = [&](std::size_t position) -> const json& { return list[first + position]; };
  TaskStatus task;
  if (!field(kUid).is_string() || !field(kIndex).is_number_unsigned() ||
      !field(kAttempt).is_number_unsigned() ||
      !read_enumerator(field(kPhase), TaskPhase::Exited, task.phase) ||
      !read_enumerator(field(kExitCause), ExitCause::GangTimeout, task.exit_cause))
    return std::nullopt;
  task.uid = field(kUid).get<std::string>();
  task.index = field(kIndex).get<std::uint32_t>();
  task.attempt = field(kAttempt).get<std::uint64_t>();
  return task;
}
}  // namespace

json to_peer_json(const Heartbeat& heartbeat) {
  json out = json::array();
  auto& list = out.get_ref<json::array_t&>();
  list.reserve(kHeartbeatFieldCount + kTaskFieldCount * heartbeat.tasks.size());
  const auto& notice = heartbeat.preemption_notice;
  list.insert(list.end(),
              {heartbeat.machine, heartbeat.address, heartbeat.type, heartbeat.zone, heartbeat.spot,
               heartbeat.incarnation, heartbeat.sequence, heartbeat.fencing_token.value(),
               notice ? json(notice->count()) : json(nullptr)});
  for (const auto& task : heartbeat.tasks)
    list.insert(list.end(), {task.uid, task.index, task.attempt, static_cast<unsigned>(task.phase),
                             static_cast<unsigned>(task.exit_cause)});
  return out;
}

std::optional<Heartbeat> parse_peer_heartbeat(const json& message) {
  if (!has_heartbeat_layout(message)) return std::nullopt;
  Heartbeat heartbeat;
  heartbeat.machine = message[kMachine].get<std::string>();
  heartbeat.address = message[kAddress].get<std::string>();
  heartbeat.type = message[kType].get<std::string>();
  heartbeat.zone = message[kZone].get<std::string>();
  heartbeat.spot = message[kSpot].get<bool>();
  heartbeat.incarnation = message[kIncarnation].get<std::uint64_t>();
  heartbeat.sequence = message[kSequence].get<std::uint64_t>();
  heartbeat.fencing_token = message[kFencingToken].get<ids::FencingToken>();
  if (const auto& notice = message[kPreemptionNotice]; !notice.is_null())
    heartbeat.preemption_notice = Seconds(notice.get<double>());
  heartbeat.tasks.reserve((message.size() - kHeartbeatFieldCount) / kTaskFieldCount);
  for (std::size_t i = kHeartbeatFieldCount; i < message.size(); i += kTaskFieldCount) {
    auto task = parse_task(message, i);
    if (!task) return std::nullopt;
    heartbeat.tasks.push_back(std::move(*task));
  }
  return heartbeat;
}
}  // namespace limemast::wire

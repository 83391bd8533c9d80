#include "messages/jobs.hpp"

namespace limemast::messages {
void to_json(wire::json& json, const JobEnded& message) {
  json = {{"uid", message.uid}, {"phase", message.phase}, {"tasks", message.completed_tasks}};
}

void from_json(const wire::json& json, JobEnded& message) {
  message.uid = json.at("uid").get<std::string>();
  message.phase = json.at("phase").get<std::string>();
  message.completed_tasks = json.at("tasks").get<std::uint32_t>();
}

void to_json(wire::json& json, const JobEndedAck& message) { json = {{"uid", message.uid}}; }

void from_json(const wire::json& json, JobEndedAck& message) {
  message.uid = json.at("uid").get<std::string>();
}

void to_json(wire::json& json, const StatusQuery& message) {
  json = {{"id", message.id}, {"uids", message.uids}};
}

void from_json(const wire::json& json, StatusQuery& message) {
  message.id = json.at("id").get<std::uint64_t>();
  message.uids = json.at("uids").get<std::vector<std::string>>();
}

void to_json(wire::json& json, const StatusReply& message) {
  auto states = wire::json::array();
  for (const auto& entry : message.states) {
    if (entry)
      states.push_back(
          wire::json::array({entry->phase, entry->completed_tasks, entry->running_tasks}));
    else
      states.push_back(nullptr);
  }
  json = {{"id", message.id}, {"states", std::move(states)}};
}

void from_json(const wire::json& json, StatusReply& message) {
  message.id = json.at("id").get<std::uint64_t>();
  for (const auto& entry : json.at("states")) {
    if (entry.is_array())
      message.states.emplace_back(StatusReply::Entry{entry.at(0).get<unsigned>(),
                                                     entry.at(1).get<std::uint32_t>(),
                                                     entry.at(2).get<std::uint32_t>()});
    else
      message.states.emplace_back(std::nullopt);
  }
}

void to_json(wire::json& json, const CancelJob& message) {
  json = {{"id", message.id}, {"uid", message.uid}};
}

void from_json(const wire::json& json, CancelJob& message) {
  message.id = json.at("id").get<std::uint64_t>();
  message.uid = json.at("uid").get<std::string>();
}

void to_json(wire::json& json, const CancelReply& message) {
  json = {{"id", message.id}, {"phase", message.phase}};
}

void from_json(const wire::json& json, CancelReply& message) {
  message.id = json.at("id").get<std::uint64_t>();
  message.phase = json.at("phase").get<std::string>();
}
}  // namespace limemast::messages

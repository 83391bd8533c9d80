#include "messages/tasks.hpp"

namespace limemast::messages {
void to_json(wire::json& json, const PullTask& message) {
  json = {{"uid", message.uid},
          {"machine", message.machine},
          {"tenure", message.incarnation},
          {"at", to_milliseconds(message.sent_at)}};
}

void from_json(const wire::json& json, PullTask& message) {
  message.uid = json.at("uid").get<std::string>();
  message.machine = json.at("machine").get<std::string>();
  message.incarnation = json.at("tenure").get<std::uint64_t>();
  message.sent_at = from_milliseconds(json.at("at"));
}

void to_json(wire::json& json, const NoTask& message) {
  json = {{"uid", message.uid},
          {"machine", message.machine},
          {"over", message.none_left},
          {"job", message.on_any_machine}};
}

void from_json(const wire::json& json, NoTask& message) {
  message.uid = json.at("uid").get<std::string>();
  message.machine = json.at("machine").get<std::string>();
  message.none_left = json.at("over").get<bool>();
  // Earlier builds do not send this field.
  const auto on_any_machine = json.find("job");
  message.on_any_machine = on_any_machine != json.end() && on_any_machine->get<bool>();
}

void to_json(wire::json& json, const StartTask& message) {
  auto evictions = wire::json::array();
  for (const auto& command : message.evictions) evictions.push_back(wire::to_json(command));
  json = {{"machine", message.machine},
          {"tenure", message.incarnation},
          {"uid", message.uid},
          {"index", message.index},
          {"attempt", message.attempt},
          {"cpus", message.need.cpus},
          {"ram", message.need.ram_gb},
          {"acc", message.need.accelerators},
          {"pulled", message.pulled},
          {"evict", std::move(evictions)},
          {"at", to_milliseconds(message.sent_at)}};
}

void from_json(const wire::json& json, StartTask& message) {
  message.machine = json.at("machine").get<std::string>();
  message.incarnation = json.at("tenure").get<std::uint64_t>();
  message.uid = json.at("uid").get<std::string>();
  message.index = json.at("index").get<std::uint32_t>();
  message.attempt = json.at("attempt").get<std::uint64_t>();
  message.need = {json.at("cpus").get<double>(), json.at("ram").get<double>(),
                  json.at("acc").get<double>()};
  message.pulled = json.at("pulled").get<bool>();
  // Commands that cannot be parsed are skipped.
  for (const auto& entry : json.at("evict"))
    if (auto command = wire::parse_command(entry)) message.evictions.push_back(*command);
  message.sent_at = from_milliseconds(json.at("at"));
}

void to_json(wire::json& json, const CommandWorker& message) {
  json = {{"machine", message.machine},
          {"order", message.command ? wire::to_json(*message.command) : wire::json()},
          {"at", to_milliseconds(message.sent_at)}};
}

void from_json(const wire::json& json, CommandWorker& message) {
  message.machine = json.at("machine").get<std::string>();
  message.command = wire::parse_command(json.at("order"));
  message.sent_at = from_milliseconds(json.at("at"));
}

void to_json(wire::json& json, const QueryStart& message) {
  json = {{"machine", message.machine},
          {"tenure", message.incarnation},
          {"uid", message.uid},
          {"index", message.index},
          {"attempt", message.attempt}};
}

void from_json(const wire::json& json, QueryStart& message) {
  message.machine = json.at("machine").get<std::string>();
  message.incarnation = json.at("tenure").get<std::uint64_t>();
  message.uid = json.at("uid").get<std::string>();
  message.index = json.at("index").get<std::uint32_t>();
  message.attempt = json.at("attempt").get<std::uint64_t>();
}

void to_json(wire::json& json, const StartResolved& message) {
  json = {{"machine", message.machine}, {"tenure", message.incarnation},
          {"tick", message.sequence},   {"uid", message.uid},
          {"index", message.index},     {"attempt", message.attempt},
          {"present", message.arrived}};
}

void from_json(const wire::json& json, StartResolved& message) {
  message.machine = json.at("machine").get<std::string>();
  message.incarnation = json.at("tenure").get<std::uint64_t>();
  message.sequence = json.at("tick").get<std::uint64_t>();
  message.uid = json.at("uid").get<std::string>();
  message.index = json.at("index").get<std::uint32_t>();
  message.attempt = json.at("attempt").get<std::uint64_t>();
  message.arrived = json.at("present").get<bool>();
}
}  // namespace limemast::messages

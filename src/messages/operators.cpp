#include "messages/operators.hpp"

namespace limemast::messages {
void to_json(wire::json& json, const OperatorQuery& message) {
  json = {{"id", message.id}, {"what", message.what}, {"asked", message.arguments}};
}

void from_json(const wire::json& json, OperatorQuery& message) {
  message.id = json.at("id").get<std::uint64_t>();
  message.what = json.at("what").get<std::string>();
  message.arguments = json.at("asked");
}

void to_json(wire::json& json, const OperatorReply& message) {
  json = {{"id", message.id}, {"part", message.part}};
}

void from_json(const wire::json& json, OperatorReply& message) {
  message.id = json.at("id").get<std::uint64_t>();
  message.part = json.at("part");
}
}  // namespace limemast::messages

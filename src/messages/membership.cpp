#include "messages/membership.hpp"

namespace limemast::messages {
void to_json(wire::json& json, const MemberHeartbeat& message) {
  json = {{"served", message.store_available}, {"hears", message.reachable}};
}

void from_json(const wire::json& json, MemberHeartbeat& message) {
  message.store_available = json.at("served").get<bool>();
  message.reachable = json.at("hears").get<std::set<ids::ControllerId>>();
}
}  // namespace limemast::messages

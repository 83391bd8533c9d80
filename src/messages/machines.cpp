#include "messages/machines.hpp"

#include "wire/peer.hpp"

namespace limemast::messages {
void to_json(wire::json& json, const ForwardHeartbeat& message) {
  json = {{"report", message.heartbeat ? wire::to_peer_json(*message.heartbeat) : wire::json()},
          {"hello", message.sent_by_worker}};
}

void from_json(const wire::json& json, ForwardHeartbeat& message) {
  message.heartbeat = wire::parse_peer_heartbeat(json.at("report"));
  if (message.heartbeat) message.sent_by_worker = json.at("hello").get<bool>();
}

namespace {
/// Each machine is encoded as this many consecutive elements of a flat array.
constexpr std::size_t kElementsPerMachine = 3;
}  // namespace

void to_json(wire::json& json, const HeartbeatDigest& message) {
  auto machines = wire::json::array();
  auto& list = machines.get_ref<wire::json::array_t&>();
  list.reserve(kElementsPerMachine * message.machines.size());
  for (const auto& entry : message.machines) {
    list.emplace_back(entry.machine);
    list.emplace_back(entry.incarnation);
    list.emplace_back(entry.sequence);
  }
  json = {{"machines", std::move(machines)},
          {"served", message.store_available},
          {"load", message.load}};
}

void from_json(const wire::json& json, HeartbeatDigest& message) {
  message.store_available = json.at("served").get<bool>();
  // Earlier builds do not send their load.
  const auto load = json.find("load");
  message.load = load != json.end() ? load->get<double>() : 0;
  const auto& list = json.at("machines");
  message.machines.reserve(list.size() / kElementsPerMachine);
  for (std::size_t i = 0; i + kElementsPerMachine <= list.size(); i += kElementsPerMachine)
    message.machines.push_back({list[i].get<std::string>(), list[i + 1].get<std::uint64_t>(),
                                list[i + 2].get<std::uint64_t>()});
}

void to_json(wire::json& json, const ResendHeartbeats& message) {
  json = {{"machines", message.machines}};
}

void from_json(const wire::json& json, ResendHeartbeats& message) {
  message.machines = json.at("machines").get<std::vector<std::string>>();
}

void to_json(wire::json& json, const AdoptMachines& message) {
  auto machines = wire::json::array();
  for (const auto& entry : message.machines)
    machines.push_back(wire::json::array({entry.machine, entry.address}));
  json = {{"machines", std::move(machines)}};
}

void from_json(const wire::json& json, AdoptMachines& message) {
  for (const auto& entry : json.at("machines"))
    message.machines.push_back({entry.at(0).get<std::string>(), entry.at(1).get<std::string>()});
}

void to_json(wire::json& json, const RaiseFencingToken& message) {
  json = {{"machine", message.machine}, {"mandate", message.token}};
}

void from_json(const wire::json& json, RaiseFencingToken& message) {
  message.machine = json.at("machine").get<std::string>();
  message.token = json.at("mandate").get<ids::FencingToken>();
}
}  // namespace limemast::messages

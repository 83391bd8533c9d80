#include "messages/quota.hpp"

namespace limemast::messages {
namespace {
wire::json amounts_to_json(const wire::Resources& amount) {
  return wire::json::array({amount.cpus, amount.accelerators});
}
wire::Resources amounts_from_json(const wire::json& json) {
  return {json.at(0).get<double>(), 0, json.at(1).get<double>()};
}
}  // namespace

void to_json(wire::json& json, const QuotaDemand& message) {
  auto teams = wire::json::object();
  for (const auto& [team, entry] : message.teams)
    teams[team] = {{"held", amounts_to_json(entry.held)},
                   {"wanted", amounts_to_json(entry.wanted)}};
  json = {{"teams", std::move(teams)}, {"serial", message.serial}};
}

void from_json(const wire::json& json, QuotaDemand& message) {
  message.serial = json.at("serial").get<std::uint64_t>();
  for (const auto& [team, entry] : json.at("teams").items())
    message.teams[team] = {amounts_from_json(entry.at("held")),
                           amounts_from_json(entry.at("wanted"))};
}

void to_json(wire::json& json, const QuotaGrant& message) {
  auto teams = wire::json::object();
  for (const auto& [team, amount] : message.teams) teams[team] = amounts_to_json(amount);
  json = {{"teams", std::move(teams)}, {"serial", message.serial}};
}

void from_json(const wire::json& json, QuotaGrant& message) {
  message.serial = json.at("serial").get<std::uint64_t>();
  for (const auto& [team, amount] : json.at("teams").items())
    message.teams[team] = amounts_from_json(amount);
}
}  // namespace limemast::messages

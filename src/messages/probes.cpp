#include "messages/probes.hpp"

namespace limemast::messages {
namespace {
using Names = std::set<std::string>;

wire::json version_to_json(const MapVersion& version) {
  return wire::json::array({version.epoch, version.serial});
}
MapVersion version_from_json(const wire::json& json) {
  return {json.at(0).get<ids::EpochNumber>(), json.at(1).get<std::uint64_t>()};
}

void put_groups(wire::json& json, const MachineGroups& groups) {
  json["with_long"] = groups.with_long_tasks;
  json["short_part"] = groups.short_partition;
  json["kept_free"] = groups.reserved_for_services;
}
MachineGroups groups_from_json(const wire::json& json) {
  return {json.at("with_long").get<Names>(), json.at("short_part").get<Names>(),
          json.at("kept_free").get<Names>()};
}
}  // namespace

void to_json(wire::json& json, const PlaceProbes& message) {
  json = {{"uid", message.uid},
          {"machines", message.machines},
          {"stage", message.stage},
          {"estimate", message.estimate.count()},
          {"left", message.pending_tasks},
          {"cpus", message.need.cpus},
          {"ram", message.need.ram_gb},
          {"acc", message.need.accelerators},
          {"map", version_to_json(message.map)}};
}

void from_json(const wire::json& json, PlaceProbes& message) {
  message.uid = json.at("uid").get<std::string>();
  message.machines = json.at("machines").get<std::vector<std::string>>();
  message.stage = json.at("stage").get<int>();
  message.estimate = wire::Seconds(json.at("estimate").get<double>());
  message.pending_tasks = json.at("left").get<std::uint32_t>();
  message.need = {json.at("cpus").get<double>(), json.at("ram").get<double>(),
                  json.at("acc").get<double>()};
  message.map = version_from_json(json.at("map"));
}

void to_json(wire::json& json, const ProbesRejected& message) {
  json = {{"uid", message.uid},
          {"stage", message.stage},
          {"long", message.behind_long_tasks},
          {"other", message.other_reasons}};
  if (!message.map) return;
  json["map"] = version_to_json(message.map->version);
  put_groups(json, message.map->groups);
}

void from_json(const wire::json& json, ProbesRejected& message) {
  message.uid = json.at("uid").get<std::string>();
  message.stage = json.at("stage").get<int>();
  message.behind_long_tasks = json.at("long").get<std::vector<std::string>>();
  message.other_reasons = json.at("other").get<std::vector<std::string>>();
  if (const auto map = json.find("map"); map != json.end())
    message.map = ProbesRejected::NewerMap{version_from_json(*map), groups_from_json(json)};
}

void to_json(wire::json& json, const ProbesDropped& message) {
  json = {{"jobs", message.jobs}, {"machine", message.machine}};
}

void from_json(const wire::json& json, ProbesDropped& message) {
  message.jobs = json.at("jobs").get<std::vector<std::string>>();
  message.machine = json.at("machine").get<std::string>();
}

void to_json(wire::json& json, const PendingTasks& message) {
  auto jobs = wire::json::array();
  for (const auto& entry : message.jobs)
    jobs.push_back(wire::json::array({entry.uid, entry.pending, entry.unfinished}));
  json = {{"jobs", std::move(jobs)}};
}

void from_json(const wire::json& json, PendingTasks& message) {
  for (const auto& entry : json.at("jobs"))
    message.jobs.push_back({entry.at(0).get<std::string>(), entry.at(1).get<std::uint32_t>(),
                            entry.at(2).get<std::uint32_t>()});
}

void to_json(wire::json& json, const LongTaskMapUpdate& message) {
  json = {{"generation", message.version.epoch},
          {"serial", message.version.serial},
          {"closed", message.cordoned}};
  put_groups(json, message.groups);
  if (!message.underserved_classes.empty()) json["starved"] = message.underserved_classes;
  if (!message.provisioning) return;
  auto provisioning = wire::json::array();
  for (const auto& entry : *message.provisioning)
    provisioning.push_back(wire::json::array(
        {entry.type, entry.zone, entry.spot, entry.count, entry.first_expected_in.count()}));
  json["coming"] = std::move(provisioning);
}

void from_json(const wire::json& json, LongTaskMapUpdate& message) {
  message.version = {json.at("generation").get<ids::EpochNumber>(),
                     json.at("serial").get<std::uint64_t>()};
  message.groups = groups_from_json(json);
  message.cordoned = json.at("closed").get<Names>();
  if (const auto classes = json.find("starved"); classes != json.end())
    message.underserved_classes = classes->get<Names>();
  const auto provisioning = json.find("coming");
  if (provisioning == json.end()) return;
  message.provisioning.emplace();
  for (const auto& entry : *provisioning)
    message.provisioning->push_back({entry.at(0).get<std::string>(), entry.at(1).get<std::string>(),
                                     entry.at(2).get<bool>(), entry.at(3).get<std::uint32_t>(),
                                     std::chrono::milliseconds(entry.at(4).get<std::int64_t>())});
}
}  // namespace limemast::messages

#include "cluster/records.hpp"

namespace limemast::cluster {
namespace {
using store::json;
// Fields of an epoch record.
constexpr const char* kLeaderField = "leader";
constexpr const char* kMembersField = "members";
// Field of the leader record.
constexpr const char* kControllerField = "tag";
// Fields of a member record.
constexpr const char* kIncarnationField = "incarnation";
constexpr const char* kServesField = "serves";
// Fields of a suspicion record.
constexpr const char* kSuspectField = "of";
constexpr const char* kSuspectedByField = "by";
constexpr const char* kEvictedField = "ruled";
}  // namespace

std::string string_field(const json& record, const char* field) {
  if (!record.is_object()) return {};
  const auto it = record.find(field);
  return it != record.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::optional<MembershipEpoch> read_epoch(const store::Entry& entry) {
  MembershipEpoch out;
  out.number = ids::EpochNumber(entry.mod_revision.value());
  out.leader = ControllerId::from_text(string_field(entry.value, kLeaderField));
  const auto members =
      entry.value.is_object() ? entry.value.find(kMembersField) : entry.value.end();
  if (out.leader.empty() || members == entry.value.end() || !members->is_array())
    return std::nullopt;
  for (const auto& member : *members) {
    if (!member.is_string()) return std::nullopt;
    out.members.insert(member.get<ControllerId>());
  }
  return out;
}

json epoch_record(const ControllerId& leader, const std::set<ControllerId>& members) {
  return {{kLeaderField, leader}, {kMembersField, members}};
}

std::optional<ControllerId> read_leader(const json& record) {
  auto text = string_field(record, kControllerField);
  if (text.empty()) return std::nullopt;
  return ControllerId::from_text(std::move(text));
}

json leader_record(const ControllerId& leader) { return {{kControllerField, leader}}; }

std::optional<std::string> read_incarnation(const json& record) {
  auto text = string_field(record, kIncarnationField);
  if (text.empty()) return std::nullopt;
  return text;
}

json member_record(const std::string& incarnation, const std::string& serves) {
  return {{kIncarnationField, incarnation}, {kServesField, serves}};
}

std::optional<Suspicion> read_suspicion(const json& record) {
  Suspicion out;
  out.suspect = ControllerId::from_text(string_field(record, kSuspectField));
  out.suspected_by = ControllerId::from_text(string_field(record, kSuspectedByField));
  if (out.suspect.empty() || out.suspected_by.empty()) return std::nullopt;
  if (const auto evicted = record.find(kEvictedField); evicted != record.end()) {
    if (!evicted->is_boolean()) return std::nullopt;
    out.evicted = evicted->get<bool>();
  }
  return out;
}

json suspicion_record(const Suspicion& suspicion) {
  json record{{kSuspectField, suspicion.suspect}, {kSuspectedByField, suspicion.suspected_by}};
  if (suspicion.evicted) record[kEvictedField] = true;
  return record;
}

std::optional<std::map<std::string, bool>> read_machines(const json& record) {
  if (!record.is_object() || record.empty()) return std::nullopt;
  std::map<std::string, bool> out;
  for (const auto& [name, spot] : record.items())
    out.emplace(name, spot.is_boolean() && spot.get<bool>());
  return out;
}
}  // namespace limemast::cluster

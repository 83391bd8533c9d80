#include "drains/drain.hpp"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace limemast::drains {
namespace {
constexpr std::size_t kMaxNameBytes = 100;
constexpr std::string_view kMachinePrefix = "machine/";
constexpr std::string_view kZonePrefix = "zone/";
constexpr auto* kAskedField = "asked";
constexpr auto* kNoteField = "note";
constexpr auto* kGiveBackField = "giveBack";

bool is_name_character(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '.' ||
         c == '-' || c == '_';
}
}  // namespace

std::string id_of(const Drain& drain) {
  return std::string(drain.kind == Kind::Machine ? kMachinePrefix : kZonePrefix) + drain.name;
}

std::optional<Drain> parse_id(const std::string& id) {
  Drain drain;
  const bool is_zone = id.starts_with(kZonePrefix);
  if (!is_zone && !id.starts_with(kMachinePrefix)) return std::nullopt;
  drain.kind = is_zone ? Kind::Zone : Kind::Machine;
  drain.name = id.substr(is_zone ? kZonePrefix.size() : kMachinePrefix.size());
  const bool valid = !drain.name.empty() && drain.name.size() <= kMaxNameBytes &&
                     std::all_of(drain.name.begin(), drain.name.end(), is_name_character);
  if (!valid) return std::nullopt;
  return drain;
}

wire::json to_json(const Drain& drain) {
  const auto requested_at =
      std::chrono::duration_cast<std::chrono::milliseconds>(drain.requested_at.time_since_epoch());
  return {{kAskedField, requested_at.count()},
          {kNoteField, drain.note},
          {kGiveBackField, drain.terminate_when_empty}};
}

std::optional<Drain> parse(const std::string& id, const wire::json& record) {
  auto drain = parse_id(id);
  if (!drain || !record.is_object()) return std::nullopt;
  const auto requested_at = record.find(kAskedField);
  const auto note = record.find(kNoteField);
  const auto terminate_when_empty = record.find(kGiveBackField);
  if (requested_at == record.end() || !requested_at->is_number_integer() ||
      (note != record.end() && !note->is_string()) ||
      (terminate_when_empty != record.end() && !terminate_when_empty->is_boolean()))
    return std::nullopt;
  drain->requested_at = net::WallTime(std::chrono::milliseconds(requested_at->get<std::int64_t>()));
  if (note != record.end()) drain->note = note->get<std::string>().substr(0, kMaxNoteBytes);
  if (terminate_when_empty != record.end())
    drain->terminate_when_empty = terminate_when_empty->get<bool>();
  return drain;
}

bool Drains::put(const std::string& id, const wire::json& record) {
  auto drain = parse(id, record);
  if (!drain) return false;
  all_[id] = std::move(*drain);
  return true;
}

bool Drains::terminates_when_empty(const std::string& machine, const std::string& zone) const {
  return std::any_of(all_.begin(), all_.end(), [&](const auto& entry) {
    const auto& drain = entry.second;
    return drain.terminate_when_empty && drain.covers(machine, zone);
  });
}

std::set<std::string> Drains::names(Kind kind) const {
  std::set<std::string> out;
  for (const auto& [id, drain] : all_)
    if (drain.kind == kind) out.insert(drain.name);
  return out;
}
}  // namespace limemast::drains

#include "machines/lingering_tasks.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace limemast::machines {
namespace {
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::int64_t kNoTasks = 0;  ///< in place of a time

std::int64_t encode_time(const std::optional<net::WallTime>& time) {
  return time ? duration_cast<milliseconds>(time->time_since_epoch()).count() : kNoTasks;
}

std::optional<net::WallTime> decode_time(std::int64_t time) {
  if (time == kNoTasks) return std::nullopt;
  return net::WallTime(milliseconds(time));
}

/// Whether the job of `a` ended before that of `b`. No task at all comes last.
bool ended_before(const LingeringTasks& a, const LingeringTasks& b) {
  if (!a.since || !b.since) return a.since.has_value() && !b.since;
  return *a.since < *b.since;
}
}  // namespace

void merge_newest(LingeringTasksByMachine& into, const LingeringTasksByMachine& from) {
  for (const auto& [machine, observed] : from) {
    const auto [known, is_new] = into.try_emplace(machine, observed);
    if (is_new || known->second.newer_than(observed)) continue;
    if (observed.newer_than(known->second) || ended_before(observed, known->second))
      known->second = observed;
  }
}

wire::json encode_lingering_tasks(const LingeringTasksByMachine& machines) {
  std::vector<std::pair<std::string, LingeringTasks>> entries(machines.begin(), machines.end());
  std::stable_sort(entries.begin(), entries.end(),
                   [](const auto& a, const auto& b) { return ended_before(a.second, b.second); });
  if (entries.size() > kMaxLingeringEntries) entries.resize(kMaxLingeringEntries);
  auto record = wire::json::object();
  for (const auto& [machine, observed] : entries)
    record[machine] = {observed.incarnation, observed.sequence, encode_time(observed.since)};
  return record;
}

std::optional<LingeringTasksByMachine> decode_lingering_tasks(const wire::json& record) try {
  if (!record.is_object()) return std::nullopt;
  LingeringTasksByMachine out;
  for (const auto& [machine, entry] : record.items())
    out[machine] = {entry.at(0).get<std::uint64_t>(), entry.at(1).get<std::uint64_t>(),
                    decode_time(entry.at(2).get<std::int64_t>())};
  return out;
} catch (const wire::json::exception&) {
  return std::nullopt;
}
}  // namespace limemast::machines

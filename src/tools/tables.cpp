#include "tools/tables.hpp"

#include <algorithm>
#include <cmath>
#include <map>

#include "diagnostics/pending_reason.hpp"

namespace limemast::tools {
namespace {
using wire::json;

std::string text(const json& o, const char* name) {
  const auto it = o.find(name);
  if (it == o.end() || it->is_null()) return "-";
  return it->is_string() ? it->get<std::string>()
                         : it->dump(-1, ' ', false, json::error_handler_t::replace);
}
Cell cell(const json& o, const char* name) {
  const auto it = o.find(name);
  if (it != o.end() && it->is_number()) {
    const auto v = it->get<double>();
    auto shown = std::to_string(std::llround(v * 10) / 10.0);
    shown.erase(shown.find_last_not_of('0') + 1);
    if (shown.back() == '.') shown.pop_back();
    return {shown, v};
  }
  return {text(o, name), std::nullopt};
}
Cell time_cell(const json& o, const char* name) {
  const auto it = o.find(name);
  if (it == o.end() || !it->is_number()) return {"-", std::nullopt};
  return {span(it->get<double>()), it->get<double>()};
}
std::string lower(std::string s) {
  std::transform(s.begin(), s.end(), s.begin(),
                 [](unsigned char c) { return static_cast<char>(c < 128 ? std::tolower(c) : c); });
  return s;
}
}  // namespace

std::string span(double seconds) {
  const auto s = std::llround(std::max(0.0, seconds));
  auto two = [](long long n) { return (n < 10 ? "0" : "") + std::to_string(n); };
  if (s < 60) return std::to_string(s) + "s";
  if (s < 3600) return std::to_string(s / 60) + "m" + two(s % 60) + "s";
  if (s < 86400) return std::to_string(s / 3600) + "h" + two(s / 60 % 60) + "m";
  return std::to_string(s / 86400) + "d" + two(s / 3600 % 24) + "h";
}

std::string reason(const json& job) {
  const auto cause = job.value("cause", "");
  if (cause.empty()) return job.value("waiting", 0) > 0 ? "not decided yet" : "-";
  std::string out = cause;
  for (const auto c : diagnostics::kAllPendingReasons)
    if (cause == diagnostics::name_of(c)) out = diagnostics::explain(c);
  if (const auto it = job.find("expectedInS"); it != job.end() && it->is_number())
    out += ", first in " + span(it->get<double>());
  if (const auto it = job.find("causeForS"); it != job.end() && it->is_number())
    out += " (for " + span(it->get<double>()) + ")";
  return out;
}

Table jobs_table(const Snapshot& s) {
  Table t{"jobs",
          {"job", "class", "team", "rank", "age", "place", "waiting", "starting", "running", "done",
           "of", "waits for"},
          {}};
  for (const auto& j : s.jobs) {
    Cell place{"-", std::nullopt};
    if (j.contains("place"))
      place = {text(j, "place") + "/" + text(j, "of") +
                   (j.value("line", "") == "placement" ? " L" : " S"),
               j["place"].get<double>()};
    t.rows.push_back({cell(j, "uid"),
                      cell(j, "class"),
                      cell(j, "team"),
                      cell(j, "rank"),
                      time_cell(j, "ageS"),
                      place,
                      cell(j, "waiting"),
                      cell(j, "starting"),
                      cell(j, "running"),
                      cell(j, "done"),
                      cell(j, "tasks"),
                      {reason(j), std::nullopt}});
  }
  return t;
}

Table machines_table(const Snapshot& s) {
  Table t{"machines",
          {"machine", "type", "zone", "kind", "state", "tasks", "free CPUs", "free GB",
           "controller", "heartbeat age"},
          {}};
  for (const auto& m : s.machines)
    t.rows.push_back({cell(m, "name"),
                      cell(m, "type"),
                      cell(m, "zone"),
                      {m.value("spot", false) ? "spot" : "ordinary", std::nullopt},
                      cell(m, "state"),
                      cell(m, "tasks"),
                      cell(m, "freeCpus"),
                      cell(m, "freeRamGb"),
                      cell(m, "hears"),
                      time_cell(m, "heardS")});
  return t;
}

Table drains_table(const Snapshot& s) {
  Table t{"drains",
          {"drain", "age", "machines", "empty", "tasks left", "state", "held back by", "note"},
          {}};
  for (const auto& d : s.drains) {
    std::string held;
    if (const auto it = d.find("held"); it != d.end())
      for (const auto& [hold, what] : it->items())
        held += (held.empty() ? "" : "; ") + hold + ": " + text(what, "tasks") + " (" +
                text(what, "example") + ")";
    const auto complete = d.find("complete");
    const bool known = complete != d.end() && complete->is_boolean();
    t.rows.push_back({cell(d, "id"),
                      time_cell(d, "ageS"),
                      cell(d, "machines"),
                      cell(d, "empty"),
                      cell(d, "tasks"),
                      {!known                  ? "not evaluated yet"
                       : complete->get<bool>() ? "complete"
                                               : "under way",
                       std::nullopt},
                      {held.empty() ? "-" : held, std::nullopt},
                      cell(d, "note")});
  }
  return t;
}

Table controllers_table(const Snapshot& s) {
  Table t{"controllers",
          {"controller", "zone", "role", "generation", "jobs", "state service", "loop delay",
           "answered"},
          {}};
  for (const auto& c : s.controllers) {
    const bool silent = c.value("silent", false);
    const auto role = c.value("leads", false)      ? "leader"
                      : c.value("entitled", false) ? "member"
                                                   : "not entitled";
    t.rows.push_back(
        {cell(c, "label"),
         cell(c, "zone"),
         {silent ? "silent" : role, std::nullopt},
         cell(c, "generation"),
         cell(c, "ownedJobs"),
         time_cell(c, "stateAgeS"),
         {text(c, "loopLateMs") + " ms",
          c.contains("loopLateMs") ? std::optional(c["loopLateMs"].get<double>()) : std::nullopt},
         {!silent              ? "now"
          : c.contains("ageS") ? span(c["ageS"].get<double>()) + " ago"
                               : "never",
          std::nullopt}});
  }
  return t;
}

Table teams_table(const Snapshot& s) {
  Table t{
      "teams",
      {"team", "CPUs used", "guaranteed", "at most", "accelerators used", "guaranteed", "at most"},
      {}};
  for (const auto& m : s.teams)
    t.rows.push_back({cell(m, "name"), cell(m, "usedCpus"), cell(m, "guaranteedCpus"),
                      cell(m, "mostCpus"), cell(m, "usedAccelerators"),
                      cell(m, "guaranteedAccelerators"), cell(m, "mostAccelerators")});
  return t;
}

Table causes_table(const Snapshot& s) {
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> sums;
  for (const auto& j : s.jobs) {
    const auto cause = j.value("cause", "");
    if (cause.empty()) continue;
    auto count = [&](const char* name) {
      return j.contains(name) && j[name].is_number() ? j[name].get<std::uint64_t>() : 0;
    };
    auto& sum = sums[cause];
    ++sum.first;
    sum.second += cause == diagnostics::name_of(diagnostics::PendingReason::FetchingImage)
                      ? count("starting")
                      : count("waiting");
  }
  Table t{"causes", {"cause", "meaning", "jobs", "tasks"}, {}};
  for (const auto c : diagnostics::kAllPendingReasons)
    if (const auto it = sums.find(diagnostics::name_of(c)); it != sums.end())
      t.rows.push_back(
          {{it->first, std::nullopt},
           {diagnostics::explain(c), std::nullopt},
           {std::to_string(it->second.first), static_cast<double>(it->second.first)},
           {std::to_string(it->second.second), static_cast<double>(it->second.second)}});
  sort_rows(t, 3, true);
  return t;
}

void sort_rows(Table& table, std::size_t column, bool descending) {
  if (column >= table.columns.size()) return;
  const bool numbers = std::any_of(table.rows.begin(), table.rows.end(),
                                   [&](const auto& r) { return r[column].number.has_value(); });
  std::stable_sort(table.rows.begin(), table.rows.end(), [&](const auto& a, const auto& b) {
    const auto& x = a[column];
    const auto& y = b[column];
    if (numbers) {
      if (x.number.has_value() != y.number.has_value()) return x.number.has_value();
      if (!x.number) return false;
      return descending ? *x.number > *y.number : *x.number < *y.number;
    }
    return descending ? x.text > y.text : x.text < y.text;
  });
}

void filter_rows(Table& table, const std::string& wanted) {
  const auto needle = lower(wanted);
  std::erase_if(table.rows, [&](const auto& row) {
    return std::none_of(row.begin(), row.end(), [&](const Cell& c) {
      return lower(c.text).find(needle) != std::string::npos;
    });
  });
}
}  // namespace limemast::tools

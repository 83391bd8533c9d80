#include "app/settings.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

#include <toml++/toml.h>

#include "app/options.hpp"

namespace limemast::app {
namespace {
using wire::json;
using wire::Seconds;

/// Reads the fields of a JSON object. Errors name the path of a field that is missing or invalid.
class Fields {
 public:
  Fields(const json& object, std::string path) : object_(object), path_(std::move(path)) {
    if (!object.is_object()) throw BadSettings(path_ + ": must be an object");
  }
  const json& at(const char* name) const {
    auto it = object_.find(name);
    if (it == object_.end()) throw BadSettings(full_path(name) + ": missing");
    return *it;
  }
  std::string string(const char* name) const {
    const auto& v = at(name);
    if (!v.is_string() || v.get_ref<const std::string&>().empty())
      throw BadSettings(full_path(name) + ": must be a non-empty string");
    return v.get<std::string>();
  }
  double number(const char* name, double min, bool inclusive = true) const {
    return check(name, at(name), min, inclusive);
  }
  double number_or(const char* name, double fallback) const {
    auto it = object_.find(name);
    return it == object_.end() ? fallback : check(name, *it, 0, true);
  }
  Fields section(const char* name) const { return {at(name), full_path(name)}; }
  std::string full_path(const char* name) const {
    return path_.empty() ? name : path_ + "." + name;
  }

 private:
  double check(const char* name, const json& v, double min, bool inclusive) const {
    if (!v.is_number() || !std::isfinite(v.get<double>()))
      throw BadSettings(full_path(name) + ": must be a number");
    const double n = v.get<double>();
    if (n < min || (n == min && !inclusive)) throw BadSettings(full_path(name) + ": out of range");
    return n;
  }
  const json& object_;
  std::string path_;
};

constexpr Seconds kMinCancelLeaseGap{4};

std::string endpoint(const Fields& f, const char* name) {
  auto address = f.string(name);
  if (address.find(':') == std::string::npos)
    throw BadSettings(f.full_path(name) + ": must be address:port");
  return address;
}
}  // namespace

wire::Settings parse_settings(const std::string& text) {
  const auto root = json::parse(text, nullptr, false);
  if (root.is_discarded()) throw BadSettings("settings: not JSON");
  const Fields root_fields(root, "");
  wire::Settings s;
  s.label = root_fields.string("label");
  s.zone = root_fields.string("domain");
  s.client_listen_endpoint = endpoint(root_fields, "serve_on");
  s.peer_listen_endpoint = endpoint(root_fields, "back");
  if (!root_fields.at("others").is_array()) throw BadSettings("others: must be a list");
  for (const auto& o : root_fields.at("others")) {
    const Fields other(o, "others");
    s.peer_endpoints[other.string("label")] = endpoint(other, "endpoint");
  }
  const auto outside = root_fields.section("outside");
  s.cloud_endpoint = endpoint(outside, "cloud");
  s.store_endpoint = endpoint(outside, "state");
  const auto cluster = root_fields.section("settings");
  s.controller_count = static_cast<std::uint32_t>(cluster.number("size", 1));
  if (!cluster.at("zones").is_array()) throw BadSettings("settings.zones: must be a list");
  for (const auto& z : cluster.at("zones")) {
    if (!z.is_string()) throw BadSettings("settings.zones: must be strings");
    s.zones.push_back(z.get<std::string>());
  }
  if (!cluster.at("teams").is_array()) throw BadSettings("settings.teams: must be a list");
  for (const auto& t : cluster.at("teams")) {
    const Fields team(t, "settings.teams");
    s.teams[team.string("name")] = {team.number_or("cpus", 0), team.number_or("cpus_max", 0),
                                    team.number_or("gpus", 0), team.number_or("gpus_max", 0)};
  }
  if (auto it = root["settings"].find("objectives"); it != root["settings"].end()) {
    if (!it->is_array()) throw BadSettings("settings.objectives: must be a list");
    for (const auto& o : *it) {
      const Fields objective(o, "settings.objectives");
      s.objectives.push_back({objective.string("kind"), o.value("class", ""),
                              Seconds(objective.number_or("within_s", 0)),
                              objective.number_or("share", 0)});
    }
  }
  const auto workers = cluster.section("workers");
  s.heartbeat_interval = Seconds(workers.number("report_s", 0, false));
  s.worker_lease = Seconds(workers.number("lease_s", 0, false));
  s.cancel_timeout = Seconds(workers.number("cancel_s", 0, false));
  // The tasks of a controller that is cut off keep running until its own lease has expired and then
  // for one worker lease. With a smaller gap the controller's lease would expire between two
  // renewals, or a cancelled task would run for longer than `cancel_s`.
  if (s.cancel_timeout < s.worker_lease * wire::kClockDriftFactor + kMinCancelLeaseGap)
    throw BadSettings("settings.workers.cancel_s: must be at least 4 s above lease_s");
  const auto state = cluster.section("state");
  s.store_requests_per_s = state.number("rps", 0, false);
  s.store_writes_per_s = state.number("write_rps", 0, false);
  s.max_value_kib = state.number("value_kb", 0, false);
  s.max_txn_ops = static_cast<std::uint32_t>(state.number("txn_ops", 2));
  const auto cloud = cluster.section("cloud");
  s.cloud_requests_per_s = cloud.number("rps", 0, false);
  s.machine_list_lag = Seconds(cloud.number("list_lag_s", 0));
  s.max_connections =
      static_cast<std::uint32_t>(cluster.section("limits").number("max_connections", 16));
  s.max_clock_skew = Seconds(cluster.number_or("skew_ms", 0) / 1000);
  return s;
}

namespace {
/// Sets one option from the file. `name` is its name in the file, for errors.
void apply(wire::Settings& settings, const Option& o, const toml::node& node,
           const std::string& name) {
  if (o.form == Option::Form::Flag) {
    const auto flag = node.value_exact<bool>();
    if (!flag) throw BadSettings(name + ": must be true or false");
    return o.set(settings, *flag);
  }
  const double value = node.is_number() ? node.value_or(std::nan("")) : std::nan("");
  std::ostringstream range;
  range << " from " << o.min << " to " << o.max;
  if (!(value >= o.min && value <= o.max))
    throw BadSettings(name + ": must be a number" + range.str());
  if (o.form == Option::Form::Whole && value != std::floor(value))
    throw BadSettings(name + ": must be a whole number" + range.str());
  o.set(settings, value);
}

const Option* find_option(const std::string& section, const std::string& name) {
  for (const auto& o : options())
    if (name == o.name && (section.empty() ? o.flat : section == o.section)) return &o;
  return nullptr;
}
}  // namespace

void apply_tuning(wire::Settings& settings, const std::string& toml_text) {
  toml::table table;
  try {
    table = toml::parse(toml_text);
  } catch (const toml::parse_error& e) {
    throw BadSettings("tuning: not TOML: " + std::string(e.description()));
  }
  for (const auto& [key, node] : table) {
    const std::string name(key.str());
    if (const auto* section = node.as_table()) {
      const bool known = std::any_of(options().begin(), options().end(),
                                     [&](const Option& o) { return name == o.section; });
      if (!known) throw BadSettings(name + ": unknown section");
      for (const auto& [inner, value] : *section) {
        const std::string field(inner.str());
        const auto* option = find_option(name, field);
        if (!option) throw BadSettings(name + "." + field + ": unknown setting");
        apply(settings, *option, value, name + "." + field);
      }
      continue;
    }
    const auto* option = find_option("", name);
    if (!option) throw BadSettings(name + ": unknown setting");
    apply(settings, *option, node, name);
  }
}
}  // namespace limemast::app

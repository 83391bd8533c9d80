#include "app/settings.hpp"

#include <cmath>
#include <sstream>
#include <toml++/toml.h>

namespace limemast::app {
namespace {
using wire::json;
using wire::Seconds;

/// Looks fields up by path and names the path when one is missing or out of range.
class Fields {
 public:
  Fields(const json& object, std::string path) : object_(object), path_(std::move(path)) {
    if (!object.is_object()) throw BadSettings(path_ + ": must be an object");
  }
  const json& at(const char* name) const {
    auto it = object_.find(name);
    if (it == object_.end()) throw BadSettings(full(name) + ": missing");
    return *it;
  }
  std::string text(const char* name) const {
    const auto& v = at(name);
    if (!v.is_string() || v.get_ref<const std::string&>().empty()) throw BadSettings(full(name) + ": must be a text");
    return v.get<std::string>();
  }
  double number(const char* name, double least, bool or_above = true) const { return check(name, at(name), least, or_above); }
  double number_or(const char* name, double fallback) const {
    auto it = object_.find(name);
    return it == object_.end() ? fallback : check(name, *it, 0, true);
  }
  Fields in(const char* name) const { return {at(name), full(name)}; }
  std::string full(const char* name) const { return path_.empty() ? name : path_ + "." + name; }

 private:
  double check(const char* name, const json& v, double least, bool or_above) const {
    if (!v.is_number() || !std::isfinite(v.get<double>())) throw BadSettings(full(name) + ": must be a number");
    const double n = v.get<double>();
    if (n < least || (n == least && !or_above)) throw BadSettings(full(name) + ": out of range");
    return n;
  }
  const json& object_;
  std::string path_;
};

std::string endpoint(const Fields& f, const char* name) {
  auto text = f.text(name);
  if (text.find(':') == std::string::npos) throw BadSettings(f.full(name) + ": must be address:port");
  return text;
}
}  // namespace

wire::Settings parse_settings(const std::string& text) {
  const auto root = json::parse(text, nullptr, false);
  if (root.is_discarded()) throw BadSettings("settings: not JSON");
  const Fields top(root, "");
  wire::Settings s;
  s.label = top.text("label");
  s.zone = top.text("domain");
  s.serve_on = endpoint(top, "serve_on");
  s.peers_on = endpoint(top, "back");
  if (!top.at("others").is_array()) throw BadSettings("others: must be a list");
  for (const auto& o : top.at("others")) {
    const Fields other(o, "others");
    s.others[other.text("label")] = endpoint(other, "endpoint");
  }
  const auto outside = top.in("outside");
  s.cloud = endpoint(outside, "cloud");
  s.state = endpoint(outside, "state");
  const auto params = top.in("settings");
  s.size = static_cast<std::uint32_t>(params.number("size", 1));
  if (!params.at("zones").is_array()) throw BadSettings("settings.zones: must be a list");
  for (const auto& z : params.at("zones")) {
    if (!z.is_string()) throw BadSettings("settings.zones: must be texts");
    s.zones.push_back(z.get<std::string>());
  }
  if (!params.at("teams").is_array()) throw BadSettings("settings.teams: must be a list");
  for (const auto& t : params.at("teams")) {
    const Fields team(t, "settings.teams");
    s.teams[team.text("name")] = {team.number_or("cpus", 0), team.number_or("cpus_max", 0), team.number_or("gpus", 0), team.number_or("gpus_max", 0)};
  }
  if (auto it = root["settings"].find("objectives"); it != root["settings"].end()) {
    if (!it->is_array()) throw BadSettings("settings.objectives: must be a list");
    for (const auto& o : *it) {
      const Fields aim(o, "settings.objectives");
      s.objectives.push_back({aim.text("kind"), o.value("class", ""), Seconds(aim.number_or("within_s", 0)), aim.number_or("share", 0)});
    }
  }
  const auto workers = params.in("workers");
  s.report = Seconds(workers.number("report_s", 0, false));
  s.lease = Seconds(workers.number("lease_s", 0, false));
  s.cancel = Seconds(workers.number("cancel_s", 0, false));
  const auto state = params.in("state");
  s.state_rps = state.number("rps", 0, false);
  s.state_write_rps = state.number("write_rps", 0, false);
  s.value_kb = state.number("value_kb", 0, false);
  s.txn_ops = static_cast<std::uint32_t>(state.number("txn_ops", 2));
  const auto cloud = params.in("cloud");
  s.cloud_rps = cloud.number("rps", 0, false);
  s.list_lag = Seconds(cloud.number("list_lag_s", 0));
  s.max_connections = static_cast<std::uint32_t>(params.in("limits").number("max_connections", 16));
  s.skew = Seconds(params.number_or("skew_ms", 0) / 1000);
  return s;
}

void apply_tuning(wire::Settings& settings, const std::string& toml_text) {
  toml::table table;
  try {
    table = toml::parse(toml_text);
  } catch (const toml::parse_error& e) {
    throw BadSettings("tuning: not TOML: " + std::string(e.description()));
  }
  auto& t = settings.tuning;
  for (const auto& [key, node] : table) {
    const std::string name(key.str());
    const auto value = node.value<double>();
    auto between = [&](double least, double most) {
      if (!value || !(*value >= least && *value <= most)) {
        std::ostringstream message;
        message << name << ": must be a number from " << least << " to " << most;
        throw BadSettings(message.str());
      }
      return *value;
    };
    if (name == "short_share") t.short_share = between(0, 1);
    else if (name == "long_threshold_s") t.long_threshold = Seconds(between(0, 86400));
    else if (name == "min_probes") t.min_probes = static_cast<std::uint32_t>(between(1, 1000));
    else if (name == "bypass_cap") t.bypass_cap = between(0, 1000);
    else if (name == "map_interval_s") t.map_interval = Seconds(between(0.1, 60));
    else if (name == "progress_interval_s") t.progress_interval = Seconds(between(0.5, 60));
    else if (name == "idle_return_s") t.idle_return = Seconds(between(0, 3600));
    else if (name == "overflow") t.overflow = between(0, 1);
    else throw BadSettings(name + ": unknown setting");
  }
}
}  // namespace limemast::app

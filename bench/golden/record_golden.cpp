// Writes the golden files of tests/compat from what the simulated cluster and the program say now:
// record_golden DIRECTORY BINARY. To be run again only when a form is meant to change.
#include <algorithm>
#include <iostream>
#include <sstream>

#include <spdlog/spdlog.h>

#include "compat/fault_day.hpp"
#include "compat/golden.hpp"
#include "compat/traffic.hpp"

namespace {
using namespace limemast;
using namespace limemast::compat;
using std::chrono_literals::operator""s;

constexpr std::size_t kExamples = 3;  ///< of each kind, each with other fields
constexpr std::size_t kLongExample =
    2500;  ///< bytes; longer ones are taken only for want of others
constexpr auto kStoreDay = 75s;

/// Types and names alone: two examples with the same need not both be kept.
std::string layout(const ordered_json& value) {
  Form form;
  form.add(value);
  auto j = form.to_json();
  const std::function<void(json&)> strip = [&](json& at) {
    if (at.is_object()) at.erase("texts");
    if (at.is_structured())
      for (auto& child : at) strip(child);
  };
  strip(j);
  return j.dump();
}

class Examples {
 public:
  void add(const TrafficItem& item) {
    auto& of_kind = all_[item.kind];
    if (of_kind.size() >= kExamples) return;
    const auto form = layout(item.value);
    if (!of_kind.empty() && (item.exact.size() > kLongExample || of_kind.contains(form))) return;
    of_kind.emplace(form, item);
  }
  std::vector<TrafficItem> of(const std::string& prefix, bool starts) const {
    std::vector<TrafficItem> out;
    for (const auto& [kind, items] : all_)
      if (kind.starts_with(prefix) == starts)
        for (const auto& [form, item] : items) out.push_back(item);
    return out;
  }

 private:
  std::map<std::string, std::map<std::string, TrafficItem>> all_;
};

void record_traffic(const std::filesystem::path& to) {
  TrafficForms forms;
  Examples examples;
  std::map<std::string, std::map<std::string, std::string>> inputs;  ///< kind, form -> text
  for (auto seed = kFirstSeed; seed <= kLastSeed; ++seed) {
    simulation::SimulatedWorld world(seed);
    TrafficClassifier classifier;
    FaultDay day(world, seed, [&](const auto& item) {
      for (const auto& t : classifier.classify(item)) forms.add(t), examples.add(t);
      if (!item.response || item.response->status >= 300 || item.request->method != "POST") return;
      const auto& path = item.request->path;
      if (path != "/hello" && path != "/submissions") return;
      const auto body = ordered_json::parse(item.request->body, nullptr, false);
      auto& of_kind = inputs[path];
      if (!body.is_discarded() && of_kind.size() < 12)
        of_kind.try_emplace(layout(body), item.request->body);
    });
    day.run();
    day.ask_everything();
  }
  std::vector<ordered_json> lines;
  for (const auto& [kind, k] : forms.kinds) {
    lines.push_back({{"kind", kind}, {"seen", k.seen}, {"form", k.form.to_json()}});
    if (k.seen < 8) std::cerr << "seen " << k.seen << " times: " << kind << '\n';
  }
  write_lines(to / kFormsFile, lines);
  lines.clear();
  for (const auto& e : examples.of("message ", true))
    lines.push_back(
        {{"kind", e.kind}, {"cbor", e.exact}, {"message", ordered_json::parse(e.context)}});
  write_lines(to / kMessagesFile, lines);
  lines.clear();
  for (const auto& e : examples.of("record ", true))
    lines.push_back({{"kind", e.kind}, {"key", e.context}, {"value", e.value}});
  write_lines(to / kRecordsFile, lines);
  lines.clear();
  for (const auto& e : examples.of("", true))
    if (!e.kind.starts_with("message ") && !e.kind.starts_with("record "))
      lines.push_back({{"kind", e.kind}, {"body", e.exact}, {"context", e.context}});
  write_lines(to / kHttpFile, lines);
  lines.clear();
  for (const auto& [kind, texts] : inputs)
    for (const auto& [form, text] : texts) lines.push_back({{"kind", kind}, {"text", text}});
  write_lines(to / kInputsFile, lines);
}

void record_store(const std::filesystem::path& to) {
  simulation::SimulatedWorld world(kStoreSeed);
  FaultDay day(world, kStoreSeed, nullptr, {.length = kStoreDay});
  day.run();
  const auto& state = day.cluster().state();
  std::vector<ordered_json> lines{{{"seed", kStoreSeed}, {"epoch", state.revision()}}};
  std::map<std::string, int> counts;
  for (const auto& spec : day.submitted())
    lines.push_back({{"job", spec.uid},
                     {"accepted", day.cluster().accepted(spec.uid)},
                     {"final", day.cluster().final_phase(spec.uid)},
                     {"spec", wire::to_json(spec)}});
  for (const auto& k : state.content()) {
    lines.push_back(
        {{"key", k.key}, {"value", k.value}, {"stamp", k.mod_revision}, {"granted", k.leased}});
    ++counts[prefix_of_key(k.key)];
  }
  write_lines(to / kStoreFile, lines);
  for (const auto& [prefix, n] : counts) std::cerr << "store: " << n << " of " << prefix << '\n';
}

// ---- the program ----

const json kGoodConfig = json::parse(R"({
  "label": "drover-0", "domain": "a", "serve_on": "127.0.0.1:8080", "back": "127.0.0.1:8081",
  "others": [{"label": "drover-1", "endpoint": "127.0.0.2:8081"}],
  "outside": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"},
  "settings": {
    "size": 2, "zones": ["a", "b"],
    "teams": [{"name": "red", "cpus": 10, "cpus_max": 20, "gpus": 0, "gpus_max": 0}],
    "objectives": [{"kind": "finished", "class": "gis-sync", "within_s": 60, "share": 0.9}],
    "workers": {"report_s": 2, "lease_s": 12, "cancel_s": 37},
    "state": {"rps": 10, "write_rps": 10, "value_kb": 8, "txn_ops": 12},
    "cloud": {"rps": 1, "list_lag_s": 1}, "limits": {"max_connections": 100}, "skew_ms": 500}})");

std::vector<CommandCase> config_cases() {
  std::vector<CommandCase> out;
  const auto with = [&](const json& config) {
    out.push_back({"--config site.json --check", {{"site.json", config.dump()}}, -1, {}, {}});
  };
  with(kGoodConfig);
  const auto flat = kGoodConfig.flatten();
  for (const auto& [path, value] : flat.items()) {
    const json::json_pointer at(path);
    auto without = kGoodConfig, other = kGoodConfig, negative = kGoodConfig;
    without[at.parent_pointer()].is_object() ? (void)without[at.parent_pointer()].erase(at.back())
                                             : (void)without[at.parent_pointer()].clear();
    other[at] = value.is_string() ? json(7) : json("x");
    with(without), with(other);
    if (value.is_number()) negative[at] = -1, with(negative);
  }
  out.push_back({"--config site.json --check", {{"site.json", "{"}}, -1, {}, {}});
  out.push_back({"--config site.json --check", {{"site.json", ""}}, -1, {}, {}});
  return out;
}

/// For each option what `settings` shows of it: one value of the wrong type and one out of range.
std::vector<CommandCase> tuning_cases(const std::string& explained) {
  std::vector<CommandCase> out;
  const auto with = [&](const std::string& text) {
    out.push_back({"settings --tuning own.toml", {{"own.toml", text}}, -1, {}, {}});
  };
  std::istringstream in(explained);
  std::string section;
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("[")) section = line;
    const auto is = line.find(" = ");
    if (line.starts_with("#") || is == std::string::npos) continue;
    const auto name = line.substr(0, is);
    with(section + '\n' + name + " = \"x\"\n");
    with(section + '\n' + name + " = -1\n");
    with(section + '\n' + name + " = 1e12\n");
  }
  with("[scheduling]\nno_such = 1\n");
  with("[nowhere]\nmin_probes = 1\n");
  with("[scheduling\n");
  with("min_probes = 4\n");
  with("[scheduling]\nmin_probes = 4.5\n");
  with("[scheduling]\nshort_share = 0.25\nlast_resort = true\n[operator]\nenabled = true\n");
  return out;
}

void record_commands(const std::filesystem::path& to, const std::string& binary) {
  std::vector<CommandCase> cases;
  for (const char* arguments : {"--help",
                                "--version",
                                "console --help",
                                "report --help",
                                "drain --help",
                                "undrain --help",
                                "drains --help",
                                "settings --help",
                                "settings",
                                "settings --explain",
                                "",
                                "nonsense",
                                "--nonsense",
                                "--config",
                                "--config /nowhere",
                                "--config /nowhere --check",
                                "settings --tuning /nowhere",
                                "settings --tuning",
                                "settings --nonsense",
                                "report --to nowhere",
                                "report --to 127.0.0.1:x",
                                "report --to 127.0.0.1:1 --timeout 0",
                                "report --to 127.0.0.1:1",
                                "console --to 127.0.0.1:1",
                                "console --to 127.0.0.1:1 --refresh 0",
                                "drain",
                                "drain rack r1",
                                "drain zone",
                                "drain zone a --to nowhere",
                                "drain zone a --to 127.0.0.1:1 --wait-most 0",
                                "drain zone a --to 127.0.0.1:1",
                                "undrain",
                                "undrain rack r1",
                                "undrain machine n-1 --to 127.0.0.1:1",
                                "drains --to nowhere",
                                "drains --to 127.0.0.1:1",
                                "drains --nonsense",
                                "console report"})
    cases.push_back({arguments, {}, -1, {}, {}});
  CommandCase explain{"settings --explain", {}, -1, {}, {}};
  run_command(binary, explain);
  for (auto& c : config_cases()) cases.push_back(std::move(c));
  for (auto& c : tuning_cases(explain.out)) cases.push_back(std::move(c));
  std::vector<ordered_json> lines;
  for (auto& c : cases) {
    run_command(binary, c);
    // A log line has its time in it.
    if (c.code == 1 && !c.out.empty()) {
      std::cerr << "left out: " << c.arguments << ": " << c.out;
      continue;
    }
    lines.push_back(compat::to_json(c));
  }
  write_lines(to / kCommandsFile, lines);
}
}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: record_golden DIRECTORY BINARY\n";
    return 2;
  }
  spdlog::set_level(spdlog::level::off);
  const std::filesystem::path to(argv[1]);
  record_traffic(to);
  record_store(to);
  record_commands(to, std::filesystem::absolute(argv[2]).string());
  return 0;
}

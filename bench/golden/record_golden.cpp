// Writes the golden files of tests/compat from the current output of the simulated cluster and the
// program. It must be run again only if a wire format, stored format or command line changes on
// purpose.
//   record_golden DIRECTORY BINARY
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

constexpr std::size_t kMaxExamplesPerKind = 3;  ///< each with a different layout
constexpr std::size_t kMaxInputsPerPath = 12;   ///< each with a different layout
/// An example that is longer than this is kept only if it is the first of its kind.
constexpr std::size_t kLongExampleBytes = 2500;
constexpr std::uint64_t kRareKindCount = 8;  ///< kinds seen less often are reported
constexpr int kFirstNonSuccessStatus = 300;
constexpr auto kStoreDayLength = 75s;

/// The schema of a value without its enumerated texts. Only one example of each layout is kept.
std::string layout(const ordered_json& value) {
  Schema schema;
  schema.add(value);
  auto schema_json = schema.to_json();
  const std::function<void(json&)> remove_texts = [&](json& at) {
    if (at.is_object()) at.erase("texts");
    if (at.is_structured())
      for (auto& child : at) remove_texts(child);
  };
  remove_texts(schema_json);
  return schema_json.dump();
}

class Examples {
 public:
  void add(const TrafficItem& item) {
    auto& examples = all_[item.kind];
    if (examples.size() >= kMaxExamplesPerKind) return;
    const auto item_layout = layout(item.value);
    if (!examples.empty() &&
        (item.payload.size() > kLongExampleBytes || examples.contains(item_layout)))
      return;
    examples.emplace(item_layout, item);
  }
  /// The examples of all kinds that begin with `prefix` or, if `begins` is false, of all others.
  std::vector<TrafficItem> by_prefix(const std::string& prefix, bool begins) const {
    std::vector<TrafficItem> out;
    for (const auto& [kind, items] : all_)
      if (kind.starts_with(prefix) == begins)
        for (const auto& [item_layout, item] : items) out.push_back(item);
    return out;
  }

 private:
  std::map<std::string, std::map<std::string, TrafficItem>> all_;
};

void record_traffic(const std::filesystem::path& to) {
  TrafficSchemas schemas;
  Examples examples;
  std::map<std::string, std::map<std::string, std::string>> inputs;  ///< by path and layout
  for (auto seed = kFirstTrafficSeed; seed <= kLastTrafficSeed; ++seed) {
    simulation::SimulatedWorld world(seed);
    TrafficClassifier classifier;
    FaultDay day(world, seed, [&](const auto& item) {
      for (const auto& part : classifier.classify(item)) schemas.add(part), examples.add(part);
      if (!item.response || item.response->status >= kFirstNonSuccessStatus ||
          item.request->method != "POST")
        return;
      const auto& path = item.request->path;
      if (path != "/hello" && path != "/submissions") return;
      const auto body = ordered_json::parse(item.request->body, nullptr, false);
      auto& inputs_of_path = inputs[path];
      if (!body.is_discarded() && inputs_of_path.size() < kMaxInputsPerPath)
        inputs_of_path.try_emplace(layout(body), item.request->body);
    });
    day.run();
    day.send_all_requests();
  }
  std::vector<ordered_json> lines;
  for (const auto& [kind, observed] : schemas.kinds) {
    lines.push_back({{"kind", kind}, {"seen", observed.seen}, {"form", observed.schema.to_json()}});
    if (observed.seen < kRareKindCount)
      std::cerr << "rare kind, seen " << observed.seen << " times: " << kind << '\n';
  }
  write_lines(to / kSchemasFile, lines);
  lines.clear();
  for (const auto& example : examples.by_prefix("message ", true))
    lines.push_back({{"kind", example.kind},
                     {"cbor", example.payload},
                     {"message", ordered_json::parse(example.context)}});
  write_lines(to / kMessagesFile, lines);
  lines.clear();
  for (const auto& example : examples.by_prefix("record ", true))
    lines.push_back({{"kind", example.kind}, {"key", example.context}, {"value", example.value}});
  write_lines(to / kRecordsFile, lines);
  lines.clear();
  for (const auto& example : examples.by_prefix("", true))
    if (!example.kind.starts_with("message ") && !example.kind.starts_with("record "))
      lines.push_back(
          {{"kind", example.kind}, {"body", example.payload}, {"context", example.context}});
  write_lines(to / kHttpFile, lines);
  lines.clear();
  for (const auto& [kind, texts] : inputs)
    for (const auto& [text_layout, text] : texts) lines.push_back({{"kind", kind}, {"text", text}});
  write_lines(to / kInputsFile, lines);
}

void record_store(const std::filesystem::path& to) {
  simulation::SimulatedWorld world(kStoreSeed);
  FaultDay day(world, kStoreSeed, nullptr, {.length = kStoreDayLength});
  day.run();
  const auto& state = day.cluster().state();
  std::vector<ordered_json> lines{{{"seed", kStoreSeed}, {"epoch", state.revision()}}};
  std::map<std::string, int> counts;
  for (const auto& spec : day.submitted())
    lines.push_back({{"job", spec.uid},
                     {"accepted", day.cluster().accepted(spec.uid)},
                     {"final", day.cluster().final_phase(spec.uid)},
                     {"spec", wire::to_json(spec)}});
  for (const auto& entry : state.content()) {
    lines.push_back({{"key", entry.key},
                     {"value", entry.value},
                     {"stamp", entry.mod_revision},
                     {"granted", entry.granted}});
    ++counts[prefix_of_key(entry.key)];
  }
  write_lines(to / kStoreFile, lines);
  for (const auto& [prefix, count] : counts)
    std::cerr << "store: " << count << " records with prefix " << prefix << '\n';
}

// ---- command line ----

const json kValidConfig = json::parse(R"({
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
  const auto add_case = [&](const json& config) {
    out.push_back({"--config site.json --check", {{"site.json", config.dump()}}, -1, {}, {}});
  };
  add_case(kValidConfig);
  const auto flat = kValidConfig.flatten();
  for (const auto& [path, value] : flat.items()) {
    const json::json_pointer at(path);
    auto without = kValidConfig, wrong_type = kValidConfig, negative = kValidConfig;
    without[at.parent_pointer()].is_object() ? (void)without[at.parent_pointer()].erase(at.back())
                                             : (void)without[at.parent_pointer()].clear();
    wrong_type[at] = value.is_string() ? json(7) : json("x");
    add_case(without), add_case(wrong_type);
    if (value.is_number()) negative[at] = -1, add_case(negative);
  }
  out.push_back({"--config site.json --check", {{"site.json", "{"}}, -1, {}, {}});
  out.push_back({"--config site.json --check", {{"site.json", ""}}, -1, {}, {}});
  return out;
}

/// Sets each option that `settings --explain` lists to a value of the wrong type and to values out
/// of range.
std::vector<CommandCase> tuning_cases(const std::string& explained) {
  std::vector<CommandCase> out;
  const auto add_case = [&](const std::string& text) {
    out.push_back({"settings --tuning own.toml", {{"own.toml", text}}, -1, {}, {}});
  };
  std::istringstream in(explained);
  std::string section;
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("[")) section = line;
    const auto separator = line.find(" = ");
    if (line.starts_with("#") || separator == std::string::npos) continue;
    const auto name = line.substr(0, separator);
    add_case(section + '\n' + name + " = \"x\"\n");
    add_case(section + '\n' + name + " = -1\n");
    add_case(section + '\n' + name + " = 1e12\n");
  }
  add_case("[scheduling]\nno_such = 1\n");
  add_case("[nowhere]\nmin_probes = 1\n");
  add_case("[scheduling\n");
  add_case("min_probes = 4\n");
  add_case("[scheduling]\nmin_probes = 4.5\n");
  add_case("[scheduling]\nshort_share = 0.25\nlast_resort = true\n[operator]\nenabled = true\n");
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
    // A run that logs is left out, because log lines contain the time.
    if (c.code == 1 && !c.out.empty()) {
      std::cerr << "left out, because its output contains the time: " << c.arguments << ": "
                << c.out;
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

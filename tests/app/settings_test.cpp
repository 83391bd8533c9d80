#include "app/settings.hpp"

#include <gtest/gtest.h>

#include "app/logs.hpp"
#include "app/options.hpp"

namespace limemast::app {
namespace {
using wire::json;

json example_settings() {
  return json::parse(
      R"({"label":"c-0","domain":"a","serve_on":"10.0.0.1:80","back":"10.0.0.1:81","future":{"x":1},
    "others":[{"label":"c-1","domain":"b","endpoint":"10.0.0.2:81"}],
    "outside":{"cloud":"10.2.0.2:1","state":"10.2.0.1:2"},
    "settings":{"size":3,"zones":["a","b"],"teams":[{"name":"t","cpus":4.0,"cpus_max":8.0,"gpus":0.0,"gpus_max":0.0}],
      "objectives":[{"kind":"finished","class":"w","within_s":200.0,"share":0.85}],
      "workers":{"report_s":2.0,"lease_s":12.0,"cancel_s":37.0},
      "state":{"rps":150.0,"write_rps":60.0,"value_kb":32.0,"txn_ops":24},
      "cloud":{"rps":3.0,"list_lag_s":8.0},"limits":{"cpu":0.1,"mem_mb":72.0,"max_connections":1500},"skew_ms":1000.0}})");
}

std::string settings_error(const json& settings) {
  try {
    parse_settings(settings.dump());
  } catch (const BadSettings& e) {
    return e.what();
  }
  return {};
}

TEST(Settings, ReadsKnownFieldsAndIgnoresUnknownOnes) {
  const auto s = parse_settings(example_settings().dump());
  EXPECT_EQ(s.peer_endpoints.at("c-1"), "10.0.0.2:81");
  EXPECT_DOUBLE_EQ(s.teams.at("t").cpus_max, 8);
  EXPECT_EQ(s.max_clock_skew, wire::Seconds(1));
  EXPECT_EQ(s.objectives.at(0).workload, "w");
}

TEST(Settings, ErrorNamesTheInvalidField) {
  const std::pair<const char*, json> bad[] = {{"/label", 3},
                                              {"/serve_on", "nowhere"},
                                              {"/others", "c-1"},
                                              {"/outside/state", nullptr},
                                              {"/settings/size", 0},
                                              {"/settings/zones", "a"},
                                              {"/settings/workers/lease_s", 0},
                                              {"/settings/workers/cancel_s", 15.9},
                                              {"/settings/state/txn_ops", 1},
                                              {"/settings/cloud/rps", "fast"},
                                              {"/settings/limits/max_connections", -1}};
  for (const auto& [path, value] : bad) {
    auto settings = example_settings();
    settings[json::json_pointer(path)] = value;
    const std::string field = json::json_pointer(path).back();
    EXPECT_NE(settings_error(settings).find(field), std::string::npos)
        << path << ": " << settings_error(settings);
  }
  EXPECT_THROW(parse_settings("{"), BadSettings);
  EXPECT_THROW(parse_settings("[]"), BadSettings);
}

TEST(Tuning, RejectsInvalidValuesAndUnknownNames) {
  auto s = parse_settings(example_settings().dump());
  apply_tuning(s, "short_share = 0.25\nlong_threshold_s = 90\nmin_probes = 6\n");
  EXPECT_DOUBLE_EQ(s.tuning.short_share, 0.25);
  EXPECT_EQ(s.tuning.long_threshold, wire::Seconds(90));
  EXPECT_EQ(s.tuning.min_probes, 6u);
  for (const char* bad : {"short_share = 2", "bypass_cap = \"x\"", "shortshare = 0.1",
                          "short_share =", "overflow = -1"})
    EXPECT_THROW(apply_tuning(s, bad), BadSettings) << bad;
}

std::string tuning_error(const std::string& toml) {
  wire::Settings s;
  try {
    apply_tuning(s, toml);
  } catch (const BadSettings& e) {
    return e.what();
  }
  return {};
}

TEST(OperatorsFile, ReadsSectionsAndNamesInvalidFields) {
  wire::Settings s;
  apply_tuning(s,
               "overflow = 0.5\n[scheduling]\nmin_probes = 7\n[operator]\nenabled = true\npage = "
               "50\n[drains]\npatience_s = 60\n[log]\njson = true\n");
  EXPECT_DOUBLE_EQ(s.tuning.on_demand_fraction, 0.5);
  EXPECT_EQ(s.tuning.min_probes, 7u);
  EXPECT_TRUE(s.operators.enabled);
  EXPECT_EQ(s.operators.page_size, 50u);
  EXPECT_EQ(s.drains.no_checkpoint_grace_period, wire::Seconds(60));
  EXPECT_TRUE(s.json_logs);
  EXPECT_FALSE(wire::Settings().operators.enabled) << "disabled by default";
  const std::pair<const char*, const char*> bad[] = {
      {"[operator]\nenabled = 1", "operator.enabled: must be true or false"},
      {"[operator]\npage = 0", "operator.page: must be a number from 1 to 1000"},
      {"[operator]\npage = 2.5", "operator.page: must be a whole number"},
      {"[operator]\npage = true", "operator.page: must be a number"},
      {"[operator]\nrequests_per_s = nan", "operator.requests_per_s: must be a number"},
      {"[operator]\npages = 3", "operator.pages: unknown setting"},
      {"[planets]\nx = 3", "planets: unknown section"},
      {"enabled = true", "enabled: unknown setting"},
      {"[scheduling]\nshort_share = 2", "scheduling.short_share: must be a number from 0 to 1"}};
  for (const auto& [toml, reason] : bad)
    EXPECT_TRUE(tuning_error(toml).starts_with(reason)) << toml << ": " << tuning_error(toml);
}

// The output of `settings --explain` is a valid file that sets the same values.
TEST(OperatorsFile, ExplainedSettingsCanBeReadBack) {
  wire::Settings s;
  apply_tuning(s,
               "[scheduling]\nshort_share = 0.21\n[operator]\nenabled = true\nhistory_kept = "
               "99\n[drains]\nmoves = 3\n");
  wire::Settings again;
  apply_tuning(again, explain(s));
  for (const auto& o : options())
    EXPECT_DOUBLE_EQ(o.get(again), o.get(s)) << o.section << "." << o.name;
  EXPECT_EQ(explain(again), explain(s));
  for (const auto& o : options()) {
    EXPECT_NE(explain(s).find(o.description), std::string::npos) << o.name;
    EXPECT_GE(o.get(wire::Settings()), o.min) << o.name;
    EXPECT_LE(o.get(wire::Settings()), o.max) << o.name;
  }
}

TEST(JsonLogs, EachLineIsOneObjectWithAllFields) {
  const auto line =
      json_line(1700000000123, "info", "drover-0", ids::EpochNumber(415), "job \"x\"\nfailed \xff");
  EXPECT_EQ(std::count(line.begin(), line.end(), '\n'), 1);
  const auto body = json::parse(line, nullptr, false);
  ASSERT_TRUE(body.is_object());
  EXPECT_EQ(body.size(), 5u);
  EXPECT_EQ(body.at("at"), 1700000000123);
  EXPECT_EQ(body.at("level"), "info");
  EXPECT_EQ(body.at("controller"), "drover-0");
  EXPECT_EQ(body.at("epoch"), 415);
  EXPECT_TRUE(body.at("text").get<std::string>().starts_with("job \"x\"\nfailed "));
}
}  // namespace
}  // namespace limemast::app

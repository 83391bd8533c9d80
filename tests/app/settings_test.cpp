#include "app/settings.hpp"

#include <gtest/gtest.h>

namespace limemast::app {
namespace {
using wire::json;

json example() {
  return json::parse(R"({"label":"c-0","domain":"a","serve_on":"10.0.0.1:80","back":"10.0.0.1:81","future":{"x":1},
    "others":[{"label":"c-1","domain":"b","endpoint":"10.0.0.2:81"}],
    "outside":{"cloud":"10.2.0.2:1","state":"10.2.0.1:2"},
    "settings":{"size":3,"zones":["a","b"],"teams":[{"name":"t","cpus":4.0,"cpus_max":8.0,"gpus":0.0,"gpus_max":0.0}],
      "objectives":[{"kind":"finished","class":"w","within_s":200.0,"share":0.85}],
      "workers":{"report_s":2.0,"lease_s":12.0,"cancel_s":37.0},
      "state":{"rps":150.0,"write_rps":60.0,"value_kb":32.0,"txn_ops":24},
      "cloud":{"rps":3.0,"list_lag_s":8.0},"limits":{"cpu":0.1,"mem_mb":72.0,"max_connections":1500},"skew_ms":1000.0}})");
}

std::string complaint(const json& settings) {
  try {
    parse_settings(settings.dump());
  } catch (const BadSettings& e) {
    return e.what();
  }
  return {};
}

TEST(Settings, AreReadAndUnknownFieldsIgnored) {
  const auto s = parse_settings(example().dump());
  EXPECT_EQ(s.others.at("c-1"), "10.0.0.2:81");
  EXPECT_DOUBLE_EQ(s.teams.at("t").cpus_max, 8);
  EXPECT_EQ(s.skew, wire::Seconds(1));
  EXPECT_EQ(s.objectives.at(0).workload, "w");
}

TEST(Settings, EachBadFieldIsNamed) {
  const std::pair<const char*, json> bad[] = {{"/label", 3},
                                              {"/serve_on", "nowhere"},
                                              {"/others", "c-1"},
                                              {"/outside/state", nullptr},
                                              {"/settings/size", 0},
                                              {"/settings/zones", "a"},
                                              {"/settings/workers/lease_s", 0},
                                              {"/settings/state/txn_ops", 1},
                                              {"/settings/cloud/rps", "fast"},
                                              {"/settings/limits/max_connections", -1}};
  for (const auto& [path, value] : bad) {
    auto settings = example();
    settings[json::json_pointer(path)] = value;
    const std::string field = json::json_pointer(path).back();
    EXPECT_NE(complaint(settings).find(field), std::string::npos) << path << ": " << complaint(settings);
  }
  EXPECT_THROW(parse_settings("{"), BadSettings);
  EXPECT_THROW(parse_settings("[]"), BadSettings);
}

TEST(Tuning, IsCheckedAndMisspeltNamesAreErrors) {
  auto s = parse_settings(example().dump());
  apply_tuning(s, "short_share = 0.25\nlong_threshold_s = 90\nmin_probes = 6\n");
  EXPECT_DOUBLE_EQ(s.tuning.short_share, 0.25);
  EXPECT_EQ(s.tuning.long_threshold, wire::Seconds(90));
  EXPECT_EQ(s.tuning.min_probes, 6u);
  for (const char* bad : {"short_share = 2", "bypass_cap = \"x\"", "shortshare = 0.1", "short_share =", "overflow = -1"})
    EXPECT_THROW(apply_tuning(s, bad), BadSettings) << bad;
}
}  // namespace
}  // namespace limemast::app

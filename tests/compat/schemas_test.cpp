// Everything that controllers send keeps its recorded schema: kinds, fields, their order and types.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "compat/fault_day.hpp"
#include "compat/golden.hpp"
#include "compat/traffic.hpp"

namespace limemast::compat {
namespace {
const std::filesystem::path kGoldenDirectory = COMPAT_GOLDEN;

TrafficSchemas observe_schemas() {
  spdlog::set_level(spdlog::level::off);
  TrafficSchemas out;
  for (auto seed = kFirstTrafficSeed; seed <= kLastTrafficSeed; ++seed) {
    simulation::SimulatedWorld world(seed);
    TrafficClassifier classifier;
    FaultDay day(world, seed, [&](const auto& item) {
      for (const auto& part : classifier.classify(item)) out.add(part);
    });
    day.run();
    day.send_all_requests();
  }
  return out;
}

// One test covers all kinds, because ctest runs each test in a process of its own and the simulated
// days take long.
TEST(RecordedSchemas, MatchObservedTraffic) {
  const auto observed = observe_schemas();
  std::set<std::string> recorded_kinds;
  for (const auto& line : read_lines(kGoldenDirectory / kSchemasFile)) {
    const auto kind = line.at("kind").get<std::string>();
    recorded_kinds.insert(kind);
    const auto found = observed.kinds.find(kind);
    if (found == observed.kinds.end()) {
      ADD_FAILURE() << kind << ": recorded but not observed; seen " << line.at("seen")
                    << " times when recorded";
      continue;
    }
    const auto schema = Schema::from_json(json::parse(line.at("form").dump()));
    for (const auto& difference : schema.differences(found->second.schema, kind))
      ADD_FAILURE() << difference;
  }
  for (const auto& [kind, observed_kind] : observed.kinds)
    if (!recorded_kinds.contains(kind)) ADD_FAILURE() << kind << ": observed but not recorded";
  EXPECT_GT(recorded_kinds.size(), 100u);
}
}  // namespace
}  // namespace limemast::compat

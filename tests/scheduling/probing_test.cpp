#include "scheduling/probing.hpp"

#include <map>
#include <set>

#include <gtest/gtest.h>

namespace limemast::scheduling {
namespace {
TEST(ProbeCountTest, IsTwiceTheTasksBoundedByMinimumAndMachineCount) {
  EXPECT_EQ(probe_count(1, 4, 100), 4u);
  EXPECT_EQ(probe_count(10, 4, 100), 20u);
  EXPECT_EQ(probe_count(100'000, 4, 48), 48u);
  EXPECT_EQ(probe_count(3, 4, 0), 0u);
}

TEST(DrawTest, DrawsDistinctElementsUniformly) {
  std::mt19937_64 random(3);
  std::vector<std::string> machines;
  for (int i = 0; i < 10; ++i) machines.push_back(std::to_string(i));
  std::map<std::string, int> hits;
  for (int i = 0; i < 2000; ++i) {
    const auto drawn = random_sample(machines, 3, random);
    ASSERT_EQ(std::set<std::string>(drawn.begin(), drawn.end()).size(), 3u);
    for (const auto& machine : drawn) ++hits[machine];
  }
  for (const auto& [machine, count] : hits) EXPECT_NEAR(count, 600, 120) << machine;
  EXPECT_EQ(random_sample(machines, 50, random).size(), 10u);
}
}  // namespace
}  // namespace limemast::scheduling

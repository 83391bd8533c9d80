#include "scheduling/placement.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace limemast::scheduling {
namespace {
constexpr wire::Seconds kIndifference(5);

Candidate machine(double delay_s, double fill_after) {
  Candidate candidate;
  candidate.delay = wire::Seconds(delay_s);
  candidate.fill_after = fill_after;
  return candidate;
}

TEST(PlacementTest, PrefersSoonestStartThenFullestMachine) {
  const auto fetching = machine(20, 0.9);
  const auto empty = machine(0, 0.2);
  const auto full = machine(0, 0.9);
  EXPECT_EQ(choose_machine({fetching, empty}, kIndifference), 1u);
  EXPECT_EQ(choose_machine({empty, full}, kIndifference), 1u);
}

TEST(PlacementTest, NeverChoosesMachinesOfTheShortJobPartition) {
  auto reserved = machine(0, 0.5);
  reserved.short_partition = true;
  EXPECT_FALSE(choose_machine({reserved}, kIndifference));
  EXPECT_EQ(choose_machine({reserved, machine(60, 0.1)}, kIndifference), 1u);
}

TEST(ShortJobPartitionTest, KeepsShareAndMembersAndAvoidsLongTasks) {
  std::vector<PartitionCandidate> machines;
  for (int i = 0; i < 12; ++i) {
    const bool has_long_tasks = i < 4;
    const bool in_short_partition = i == 7;
    machines.push_back({std::to_string(i), has_long_tasks, in_short_partition, true});
  }

  const auto partition = choose_short_partition(machines, 0.17);

  EXPECT_EQ(partition.size(), 3u);
  EXPECT_EQ(partition.front(), "7");
  for (const auto& machine : partition) EXPECT_GE(std::stoi(machine), 4);
  EXPECT_TRUE(choose_short_partition({{"a", true, true, true}}, 0.5).empty());
}

// Services must not lose on-demand machines for good that joined the partition before there were
// spot machines.
TEST(ShortJobPartitionTest, ReplacesOnDemandMachinesBySpotMachines) {
  EXPECT_EQ(choose_short_partition(
                {{"on-demand", false, true, false}, {"spot", false, false, true}}, 0.5),
            std::vector<std::string>{"spot"});
}
}  // namespace
}  // namespace limemast::scheduling

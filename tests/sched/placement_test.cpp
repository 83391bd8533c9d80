#include "sched/placement.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace limemast::sched {
namespace {
Candidate machine(const std::string& name, double delay, double fill_after) {
  Candidate c;
  c.machine = name;
  c.delay = wire::Seconds(delay);
  c.fill_after = fill_after;
  return c;
}

TEST(Placement, SoonestStartThenFullest) {
  const auto choice = [](const std::vector<Candidate>& c) { return c[*choose(c, wire::Seconds(5))].machine; };
  EXPECT_EQ(choice({machine("fetches", 20, 0.9), machine("has image", 0, 0.2)}), "has image");
  EXPECT_EQ(choice({machine("empty", 0, 0.2), machine("full", 0, 0.9)}), "full");
}

TEST(Placement, TheShortPartTakesNoLongTasks) {
  auto reserved = machine("reserved", 0, 0.5);
  reserved.short_part = true;
  EXPECT_FALSE(choose({reserved}, wire::Seconds(5)));
  EXPECT_EQ(choose({reserved, machine("other", 60, 0.1)}, wire::Seconds(5)), 1u);
}

TEST(ShortPart, KeepsItsShareAndItsMachinesAndShunsLongTasks) {
  std::vector<PartCandidate> machines;
  for (int i = 0; i < 12; ++i) machines.push_back({std::to_string(i), i < 4, i == 7, false});
  const auto part = choose_short_part(machines, 0.17);
  EXPECT_EQ(part.size(), 3u);
  EXPECT_EQ(part.front(), "7");
  for (const auto& m : part) EXPECT_GE(std::stoi(m), 4);
  EXPECT_TRUE(choose_short_part({{"a", true, true, true}}, 0.5).empty());
}
}  // namespace
}  // namespace limemast::sched

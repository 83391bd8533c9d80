// Observations of lingering tasks are ordered by the machine's heartbeats, and their record fits
// into a value of the store.
#include "machines/lingering_tasks.hpp"

#include <gtest/gtest.h>

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;

net::WallTime at(std::chrono::seconds time) { return net::WallTime(time); }

TEST(LingeringTasks, NewestHeartbeatDecides) {
  LingeringTasksByMachine merged{{"n-1", {1, 7, at(100s)}}, {"n-2", {1, 7, at(100s)}}};
  merge_newest(merged, {{"n-1", {1, 8, std::nullopt}}, {"n-2", {1, 6, std::nullopt}}});
  EXPECT_EQ(merged.at("n-1").since, std::nullopt);
  EXPECT_EQ(merged.at("n-2").since, at(100s));
  merge_newest(merged, {{"n-1", {2, 1, at(120s)}}});
  EXPECT_EQ(merged.at("n-1").since, at(120s));
}

TEST(LingeringTasks, EarlierEndDecidesForTheSameHeartbeat) {
  LingeringTasksByMachine merged{{"n-1", {1, 7, std::nullopt}}, {"n-2", {1, 7, at(100s)}}};
  merge_newest(merged, {{"n-1", {1, 7, at(90s)}}, {"n-2", {1, 7, at(110s)}}});
  EXPECT_EQ(merged.at("n-1").since, at(90s));
  EXPECT_EQ(merged.at("n-2").since, at(100s));
}

TEST(LingeringTasks, RecordIsReadAsWritten) {
  const LingeringTasksByMachine machines{{"n-1", {1, 7, at(1'700'000'000s)}},
                                         {"n-2", {2, 9, std::nullopt}}};
  EXPECT_EQ(decode_lingering_tasks(encode_lingering_tasks(machines)), machines);
}

TEST(LingeringTasks, RecordKeepsTheEarliestEnds) {
  LingeringTasksByMachine machines;
  for (int i = 0; i < 1000; ++i)
    machines["n-" + std::to_string(100'000 + i)] = {1, 1'000'000, at(1'700'000'000s - i * 1s)};
  const auto record = encode_lingering_tasks(machines);
  EXPECT_EQ(record.size(), kMaxLingeringEntries);
  EXPECT_TRUE(record.contains("n-100999"));
  EXPECT_FALSE(record.contains("n-100000"));
  EXPECT_LT(record.dump().size(), 8u * 1024);
}

TEST(LingeringTasks, UnreadableRecordIsRejected) {
  for (const char* text : {"[]", "7", R"({"n-1":7})", R"({"n-1":[1,2]})", R"({"n-1":[1,2,"x"]})"})
    EXPECT_EQ(decode_lingering_tasks(wire::json::parse(text)), std::nullopt) << text;
}
}  // namespace
}  // namespace limemast::machines

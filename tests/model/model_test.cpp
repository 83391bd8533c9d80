#include "model/model.hpp"

#include <cstdio>

#include <gtest/gtest.h>

namespace limemast::model {
namespace {
constexpr std::size_t kMaxDepth = 15;

Outcome check(const char* name, const Variant& variant, std::size_t max_depth = kMaxDepth) {
  auto out = search(variant, max_depth);
  std::printf("%s: %zu states, depth %zu%s%s\n", name, out.states, out.depth,
              out.violation.empty() ? "" : ", ", out.violation.c_str());
  return out;
}

TEST(Model, AllSafeguardsTogetherPreventViolations) {
  const auto out = check("all safeguards", {});
  EXPECT_EQ(out.violation, "");
  EXPECT_EQ(out.depth, kMaxDepth);
  EXPECT_GT(out.states, 10'000u);
}
// Processes restart at once while messages of their previous incarnations are in flight.
TEST(Model, ImmediateRestartsCauseNoViolation) {
  constexpr std::size_t kMaxDepthWithRestarts = 13;  // each restart multiplies the states
  const auto out = check("restarts", {.restarts = 2}, kMaxDepthWithRestarts);
  EXPECT_EQ(out.violation, "");
  EXPECT_EQ(out.depth, kMaxDepthWithRestarts);
  EXPECT_GT(out.states, 10'000u);
}
TEST(Model, FindsRestartThatReusesThePreviousIncarnation) {
  EXPECT_TRUE(check("no new incarnation", {.new_incarnation = false, .restarts = 2})
                  .violation.starts_with("ran_twice"));
}
TEST(Model, FindsMissingFailoverBarrierAfterRestart) {
  EXPECT_TRUE(
      check("no failover barrier after a restart", {.failover_barrier = false, .restarts = 2})
          .violation.starts_with("ran_twice"));
}
// Each of the following variants disables one safeguard; the checker must find the violation.
TEST(Model, FindsMissingFailoverBarrier) {
  Variant v;
  v.failover_barrier = false;
  EXPECT_TRUE(check("no failover barrier", v).violation.starts_with("ran_twice"));
}
TEST(Model, FindsAnswersFromMemoryOfAnEvictedController) {
  Variant v;
  v.certain_before_answer = false;
  EXPECT_TRUE(check("uncertain controllers answer users", v).violation.starts_with("went_back"));
}
TEST(Model, FindsJobEndWrittenWithoutHold) {
  Variant v;
  v.completion_hold = false;
  EXPECT_TRUE(check("no completion hold", v).violation.starts_with("went_back"));
}
TEST(Model, FindsCommandsWithoutTheirDecidingEpoch) {
  Variant v;
  v.deciding_epoch_on_commands = false;
  EXPECT_TRUE(check("commands with the newest epoch", v).violation.starts_with("ran_twice"));
}
}  // namespace
}  // namespace limemast::model

// Tests when and where tasks of a job that failed are assigned again.
#include "jobs/retry_backoff.hpp"

#include <gtest/gtest.h>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;

class RetryBackoff : public testing::Test {
 protected:
  RetryBackoff() { job_.record.spec.tasks = 10; }
  bool fails_on(const std::string& machine) { return record_failure(job_, machine, 1s, now_); }
  /// Assigns a task. `since`: when it started to run; nullopt if it does not run yet.
  void assign(std::uint32_t index, std::optional<net::Time> since) {
    auto& assignment = job_.assignments[index];
    assignment.running = since.has_value();
    if (since) assignment.running_since = *since;
  }
  Job job_;
  net::Time now_{1h};
};

TEST_F(RetryBackoff, FailuresOnOneMachineExcludeOnlyThatMachine) {
  for (int i = 0; i < 10; ++i) EXPECT_FALSE(fails_on("a"));
  EXPECT_TRUE(failed_recently_on(job_, "a", now_));
  EXPECT_FALSE(failed_recently_on(job_, "b", now_));
  EXPECT_LE(job_.retry.retry_after, now_);
}

TEST_F(RetryBackoff, DoublesBackoffWithEachFurtherMachine) {
  fails_on("a");
  fails_on("b");
  EXPECT_EQ(job_.retry.retry_after, now_ + 1s);
  fails_on("c");
  EXPECT_EQ(job_.retry.retry_after, now_ + 2s);
}

TEST_F(RetryBackoff, CapsBackoff) {
  for (int i = 0; i < 20; ++i) fails_on("machine-" + std::to_string(i));
  EXPECT_EQ(job_.retry.retry_after, now_ + 32s);
}

TEST_F(RetryBackoff, ForgetsFailuresAfter30Seconds) {
  fails_on("a");
  forget_expired_failures(job_, now_ + 30s);
  EXPECT_TRUE(job_.retry.last_failure_by_machine.contains("a"));
  EXPECT_FALSE(failed_recently_on(job_, "a", now_ + 30s));
  forget_expired_failures(job_, now_ + 31s);
  EXPECT_TRUE(job_.retry.last_failure_by_machine.empty());
}

TEST_F(RetryBackoff, ReportsFailingEverywhereOnceAfterThreeMachines) {
  EXPECT_FALSE(fails_on("a"));
  EXPECT_FALSE(fails_on("b"));
  EXPECT_TRUE(fails_on("c"));
  EXPECT_FALSE(fails_on("d"));
  EXPECT_EQ(job_.unfinished(), 1U);
}

TEST_F(RetryBackoff, DoesNotCountAsFailingEverywhereAfterACompletedTask) {
  job_.completed_tasks = 1;
  for (const auto* machine : {"a", "b", "c"}) EXPECT_FALSE(fails_on(machine));
  EXPECT_TRUE(may_start_another(job_, now_));
}

TEST_F(RetryBackoff, TriesOneTaskAtATimeUntilOneOutlastsTheFailures) {
  for (const auto* machine : {"a", "b", "c"}) fails_on(machine);
  EXPECT_TRUE(may_start_another(job_, now_));
  assign(0, std::nullopt);
  EXPECT_FALSE(may_start_another(job_, now_));
  assign(0, now_);
  EXPECT_FALSE(may_start_another(job_, now_ + 5s));  // twice the longest failed run, plus 3 s
  EXPECT_TRUE(may_start_another(job_, now_ + 6s));
}

TEST_F(RetryBackoff, StartsTasksOfAGangTogether) {
  job_.record.spec.gang = true;
  for (const auto* machine : {"a", "b", "c"}) fails_on(machine);
  assign(0, std::nullopt);
  EXPECT_TRUE(may_start_another(job_, now_));
}
}  // namespace
}  // namespace limemast::jobs

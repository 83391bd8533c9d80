#include "diagnostics/pending_reason_table.hpp"

#include <map>
#include <random>

#include <gtest/gtest.h>

namespace limemast::diagnostics {
namespace {
using namespace std::chrono_literals;

constexpr auto kJob = "wk-000001";

/// A straightforward model of the table's content and sums.
struct ExpectedWaits {
  struct Wait {
    PendingReason reason;
    std::uint32_t tasks;
  };
  std::map<std::string, Wait> by_job;
  std::array<double, kPendingReasons> task_seconds{};

  void advance_time(net::Duration time) {
    for (const auto& [uid, wait] : by_job)
      task_seconds.at(static_cast<std::size_t>(wait.reason)) +=
          wait.tasks * net::to_seconds(time).count();
  }
  PendingReasonTable::Sums sums() const {
    PendingReasonTable::Sums out{};
    for (const auto& [uid, wait] : by_job) {
      auto& sum = out.at(static_cast<std::size_t>(wait.reason));
      ++sum.jobs;
      sum.tasks += wait.tasks;
    }
    return out;
  }
};

TEST(PendingReasonTable, SumsMatchPendingJobs) {
  std::mt19937_64 random(11);
  PendingReasonTable table(true);
  ExpectedWaits expected;
  auto now = net::Time(100s);
  for (int step = 0; step < 3'000; ++step) {
    const auto pause = std::chrono::milliseconds(random() % 500);
    now += pause;
    expected.advance_time(pause);
    const auto uid = "wk-" + std::to_string(random() % 40);
    if (random() % 3 == 0) {
      table.clear(uid, now);
      expected.by_job.erase(uid);
    } else {
      const auto reason = kAllPendingReasons.at(random() % kPendingReasons);
      const auto tasks = static_cast<std::uint32_t>(random() % 9);
      table.record(uid, reason, tasks, now);
      expected.by_job[uid] = {reason, tasks};
    }
    const auto sums = expected.sums();
    for (std::size_t i = 0; i < kPendingReasons; ++i) {
      ASSERT_EQ(table.sums().at(i).jobs, sums.at(i).jobs);
      ASSERT_EQ(table.sums().at(i).tasks, sums.at(i).tasks);
    }
  }
  for (const auto& [uid, wait] : expected.by_job) table.clear(uid, now);
  for (std::size_t i = 0; i < kPendingReasons; ++i)
    EXPECT_NEAR(table.sums().at(i).task_seconds, expected.task_seconds.at(i), 1e-6);
}

TEST(PendingReasonTable, TaskCountChangeKeepsStartOfReason) {
  PendingReasonTable table(true);
  table.record(kJob, PendingReason::Resources, 5, net::Time(10s));
  table.record(kJob, PendingReason::Resources, 3, net::Time(20s));
  EXPECT_EQ(table.find(kJob)->since, net::Time(10s));
  table.record(kJob, PendingReason::Draining, 3, net::Time(30s));
  EXPECT_EQ(table.find(kJob)->since, net::Time(30s));
}

TEST(PendingReasonTable, ClearIfKeepsJobWithAnotherReason) {
  PendingReasonTable table(true);
  table.record(kJob, PendingReason::Draining, 3, net::Time(30s));
  table.clear_if(kJob, PendingReason::Resources, net::Time(31s));
  ASSERT_NE(table.find(kJob), nullptr);
  table.clear_if(kJob, PendingReason::Draining, net::Time(32s));
  EXPECT_EQ(table.find(kJob), nullptr);
}

TEST(PendingReasonTable, RecordsNothingIfDisabled) {
  PendingReasonTable table(false);
  table.record(kJob, PendingReason::Resources, 5, net::Time(10s));
  EXPECT_EQ(table.size(), 0U);
}
}  // namespace
}  // namespace limemast::diagnostics

// Tasks of a cancelled job stop within cancel_s: promptly if the controllers can communicate, and
// by expiry of the worker leases if they cannot.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
class CancelDuringStoreOutage : public FaultInteraction {
 protected:
  /// Submits arrays that are spread over all three controllers and lets their tasks start.
  std::vector<std::string> start_arrays() {
    const auto jobs = submit_arrays(14, 3, 58);
    cluster_.run(16s);
    return jobs;
  }
  Duration longest_after_cancel() { return cluster_.invariants().longest_after_cancel(); }
  Duration cancel_timeout() const { return net::to_duration(default_settings().cancel_timeout); }
};

// Guards against tasks that run on after a confirmed cancellation because the leader, which the
// store rejects, learns of the cancellation only by its watch. The other controllers must notify
// it.
TEST_P(CancelDuringStoreOutage, LeaderRejectedByTheStoreIsNotifiedOfCancellations) {
  for (int round = 0; round < 2; ++round) {
    const auto jobs = start_arrays();
    cluster_.reject_at_store(leader(), 14s);
    cluster_.run(300ms);
    cancel(jobs);
    cluster_.run(1700ms);
    ASSERT_GE(count_cancelled(jobs), 3u);
    cluster_.state_outage(cancel_timeout() + 20s);
    cluster_.run(cancel_timeout() + 45s);
    EXPECT_EQ(count_cancelled(jobs), jobs.size());
  }
  // One heartbeat interval, one message between controllers and one response to a heartbeat.
  EXPECT_LT(longest_after_cancel(), 4s);
}

// As above, but the other controllers cannot notify the leader either, so that only the expiry of
// the worker leases stops the tasks.
TEST_P(CancelDuringStoreOutage, LeaseExpiryAloneStopsTasksInTime) {
  const auto jobs = start_arrays();
  const auto old_leader = leader();
  cluster_.reject_at_store(old_leader, 60s);
  cluster_.cut(old_leader, Side::Peers, false, 60s);
  cluster_.run(300ms);
  cancel(jobs);
  cluster_.run(1700ms);
  ASSERT_GE(count_cancelled(jobs), 1u);
  cluster_.state_outage(cancel_timeout() + 20s);
  cluster_.run(cancel_timeout() + 45s);
  EXPECT_EQ(count_cancelled(jobs), jobs.size());
  EXPECT_LT(longest_after_cancel(), cancel_timeout() - 2s);
}

// Guards against a controller that extends the leases of its workers, and so runs cancelled tasks
// past cancel_s, because its keep-alives succeed while its stalled watch hides the cancellation
// from it.
TEST_P(CancelDuringStoreOutage, KeepAlivesWithAStalledWatchDoNotExtendWorkerLeases) {
  const auto jobs = start_arrays();
  for (std::size_t i = 0; i < 3; ++i) cluster_.cut(i, Side::Peers, false, 60s);
  for (std::size_t i = 0; i < 2; ++i) cluster_.stall_watches((leader() + i) % 3, 60s);
  cluster_.run(300ms);
  cancel(jobs);
  cluster_.run(7500ms);
  ASSERT_GE(count_cancelled(jobs), 1u);
  cluster_.state_outage(cancel_timeout() + 10s);
  cluster_.run(cancel_timeout() + 40s);
  EXPECT_LT(longest_after_cancel(), cancel_timeout() - 1s);
}

// A start command that waits for the machine's next heartbeat is dropped when the cancellation of
// its job is confirmed.
TEST_P(CancelDuringStoreOutage, NoTaskIsOrderedAfterItsCancellationIsConfirmed) {
  cluster_.drop_direct_commands(200s);
  submit_arrays(6, 8, 10);  // Machines boot and turn out not to answer direct commands.
  cluster_.run(30s);
  std::vector<std::string> jobs;
  for (int i = 0; i < 30; ++i) {
    const auto submitted = submit_services(2, 4);
    cluster_.run(seconds(uniform(0.1, 1.5)));
    cancel(submitted);
    jobs.insert(jobs.end(), submitted.begin(), submitted.end());
    cluster_.run(3s);
  }
  cluster_.run(10s);
  EXPECT_EQ(count_cancelled(jobs), jobs.size());
  for (const auto& uid : jobs) EXPECT_TRUE(cluster_.machines_with(uid).empty());
  EXPECT_EQ(cluster_.invariants().ordered_after_cancel(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelDuringStoreOutage, testing::Range<std::uint64_t>(1, 7));
}  // namespace
}  // namespace limemast

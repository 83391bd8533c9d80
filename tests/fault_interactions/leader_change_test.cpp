// Leader changes and controller partitions while jobs run.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
/// The limit on the time for which a job waits after the last fault although a suitable machine has
/// room and its team is under its quota.
constexpr auto kMaxWaitWithRoom = 90s;

class ShortJobsAcrossLeaderChanges : public FaultInteraction {};

// Guards against a small job that is reported done too early, or never, because a leader change
// falls between the completions of its tasks and some of them were already recorded or cleared.
TEST_P(ShortJobsAcrossLeaderChanges, AreDoneExactlyWhenTheirLastTaskCompletes) {
  std::vector<std::string> jobs;
  for (const auto& [tasks, estimate] : {std::pair(2u, 25.0), {3u, 50.0}, {2u, 80.0}, {3u, 100.0}})
    for (auto& uid : submit_arrays(3, tasks, estimate)) jobs.push_back(uid);
  if (GetParam() % 2 == 0) cluster_.delay_transactions(0.3, 120s);
  for (int i = 0; i < 5; ++i) {
    cluster_.run(seconds(uniform(6, 25)));
    const auto crashed = leader();
    cluster_.crash(crashed, seconds(uniform(0.02, 6)));
    if (i % 2)
      cluster_.run(seconds(uniform(0.1, 4))),
          cluster_.crash((crashed + 1) % 3, seconds(uniform(0.02, 3)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(run_until(400s, [&] { return all_done(jobs); }), 400s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShortJobsAcrossLeaderChanges, testing::Range<std::uint64_t>(1, 7));

class RapidFailover : public FaultInteraction {};

// One, two or all controllers crash and restart within 50 ms or several seconds, and the leader
// crashes again during the election.
TEST_P(RapidFailover, EndsWithAllControllersUpAndAllJobsDone) {
  const auto jobs = submit_services(6, 4);
  std::vector<std::string> all;
  cluster_.run(40s);
  for (int round = 0; round < 8; ++round) {
    for (auto& uid : submit_arrays(2, 3, 20)) all.push_back(uid);
    const auto first_crashed = round % 3 == 0 ? leader() : world_.below(3);
    const std::size_t crash_count = 1 + static_cast<std::size_t>(round) % 3;
    for (std::size_t i = 0; i < crash_count; ++i)
      cluster_.crash((first_crashed + i) % 3,
                     seconds(i == 0 ? uniform(0.01, 0.05) : uniform(0.02, 8)));
    cluster_.run(seconds(uniform(0.05, 1)));
    cluster_.crash(leader(), seconds(uniform(0.01, 0.9)));
    cluster_.run(seconds(uniform(0.2, 9)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(
      run_until(120s,
                [&] { return running(cluster_, jobs) == 24u && cluster_.up_controllers() == 3; }),
      120s);
  EXPECT_LT(run_until(300s, [&] { return all_done(all); }), 300s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RapidFailover, testing::Range<std::uint64_t>(1, 7));

class RepeatedLeaderChanges : public FaultInteraction {};

// The leader crashes ten times in two minutes, once during a store outage, while jobs are
// submitted, finish and are cancelled.
TEST_P(RepeatedLeaderChanges, BreakNoInvariant) {
  std::vector<std::string> all;
  const auto running_services = submit_services(5, 4);
  cluster_.query_concurrently(150s);
  for (int change = 0; change < 10; ++change) {
    for (auto& uid : submit_arrays(2, 3, uniform(8, 40))) all.push_back(uid);
    const auto to_cancel = submit_services(1, 3);
    cluster_.run(seconds(uniform(3, 6)));
    if (change == 4) cluster_.state_outage(14s);
    cluster_.crash(leader(), seconds(uniform(0.02, 3)));
    cluster_.run(seconds(uniform(1, 5)));
    cancel(to_cancel);
    cluster_.run(seconds(uniform(1, 2)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  cluster_.watch_waiting_jobs();
  EXPECT_LT(run_until(100s,
                      [&] {
                        return running(cluster_, running_services) == 20u &&
                               cluster_.up_controllers() == 3;
                      }),
            100s);
  EXPECT_LT(run_until(250s, [&] { return all_done(all); }), 250s);
  EXPECT_LT(cluster_.longest_wait_with_room(), kMaxWaitWithRoom);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RepeatedLeaderChanges, testing::Range<std::uint64_t>(1, 7));

class PartitionedLeader : public FaultInteraction {};

// Guards against stale answers from a leader that is cut off from the store and its peers but still
// serves workers and users, while the new leader confirms cancellations and completions.
TEST_P(PartitionedLeader, ServesWorkersWhileAnotherConfirmsCancellations) {
  const auto short_jobs = submit_arrays(8, 3, 55);
  const auto long_jobs = submit_services(6, 3);
  cluster_.run(40s);
  const auto old_leader = leader();
  for (auto side : {Side::State, Side::Peers})
    cluster_.cut(old_leader, side, GetParam() % 2 == 0, 45s);
  cluster_.run(seconds(uniform(0.5, 12)));
  for (const auto& uid : long_jobs) cluster_.cancel(uid);
  for (std::size_t i = 0; i < short_jobs.size(); i += 2) cluster_.cancel(short_jobs[i]);
  // Users query the old leader and random controllers; no answer may be older than a previous one.
  for (int i = 0; i < 120; ++i) {
    cluster_.run(500ms);
    for (const auto& uid : long_jobs)
      cluster_.query_status(uid, i % 3 == 0 ? world_.below(3) : old_leader);
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  for (const auto& uid : long_jobs) EXPECT_EQ(cluster_.final_phase(uid), "cancelled");
  EXPECT_LT(run_until(200s, [&] { return cluster_.unfinished().empty(); }), 200s);
  EXPECT_EQ(cluster_.up_controllers(), 3u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PartitionedLeader, testing::Range<std::uint64_t>(1, 7));

/// A long cancel timeout lets controllers keep their membership long after they were cut off.
class PartitionedLeaderWithLongLease : public FaultInteraction {
 protected:
  static wire::Settings long_cancel_timeout() {
    auto settings = default_settings();
    settings.cancel_timeout = wire::Seconds(50);
    return settings;
  }
  PartitionedLeaderWithLongLease() : FaultInteraction(long_cancel_timeout()) {}
};

// Guards against stale answers from a leader that is cut off from the store and its peers and still
// holds its membership when another controller confirms the cancellation of its jobs.
TEST_P(PartitionedLeaderWithLongLease, GivesNoStaleAnswers) {
  cluster_.query_concurrently(300s);
  for (int round = 0; round < 2; ++round) {
    const auto to_cancel = submit_services(8, 2);
    cluster_.run(25s);
    const auto old_leader = leader();
    for (auto side : {Side::State, Side::Peers})
      cluster_.cut(old_leader, side, (GetParam() + round) % 2 == 0, 45s);
    cluster_.run(seconds(uniform(0.5, 4)));
    cancel(to_cancel);
    for (int i = 0; i < 160; ++i) {
      cluster_.run(250ms);
      for (const auto& uid : to_cancel) cluster_.query_status(uid, old_leader);
      ASSERT_EQ(violations(cluster_.invariants()), "");
    }
    EXPECT_EQ(count_cancelled(to_cancel), to_cancel.size());
    cluster_.run(30s);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, PartitionedLeaderWithLongLease,
                         testing::Range<std::uint64_t>(1, 7));

class CancelDuringFailover : public FaultInteraction {};

// Jobs are cancelled while the jobs of a crashed controller are taken over. Each cancellation is
// confirmed in time, and no task of these jobs is ordered to start after the confirmation.
TEST_P(CancelDuringFailover, IsConfirmedInTimeAndStartsNoTask) {
  for (int round = 0; round < 5; ++round) {
    auto to_cancel = submit_arrays(12, 3, 58);
    for (auto& uid : submit_services(6, 2)) to_cancel.push_back(uid);
    cluster_.run(seconds(uniform(6, 14)));
    cluster_.query_concurrently(20s);
    const auto crashed = round % 2 ? leader() : world_.below(3);
    cluster_.crash(crashed, seconds(uniform(0.02, 6)));
    for (std::size_t i = 0; i < to_cancel.size(); ++i) {
      cluster_.cancel(to_cancel[i]);
      cluster_.run(seconds(uniform(0.05, 0.6)));
    }
    EXPECT_LT(run_until(30s, [&] { return count_cancelled(to_cancel) == to_cancel.size(); }), 30s);
    ASSERT_EQ(violations(cluster_.invariants()), "");
    cluster_.run(5s);
  }
  // The failure detection timeout, the time for which a lost owner may still answer, and the users'
  // poll interval of one to two seconds.
  EXPECT_LT(cluster_.longest_cancellation(), 20s);
  EXPECT_EQ(cluster_.invariants().ordered_after_cancel(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelDuringFailover, testing::Range<std::uint64_t>(1, 7));

/// Machines boot within two seconds, sometimes before the cloud has answered the launch request.
class NewMachinesDuringLeaderChange : public FaultInteraction {
 protected:
  NewMachinesDuringLeaderChange()
      : FaultInteraction(default_settings(), {.machines_per_pool = 12,
                                              .scripted = true,
                                              .min_boot_s = 0.05,
                                              .max_boot_s = 2,
                                              .boot_failure_share = 0}) {}
};

// New machines receive tasks immediately while store transactions are committed late or their
// responses are lost, and the leader crashes.
TEST_P(NewMachinesDuringLeaderChange, RunTasksWhileTransactionsAreDelayed) {
  std::vector<std::string> all;
  for (int round = 0; round < 5; ++round) {
    // Only machines that boot in this round can run the tasks.
    cluster_.kill_machines(cluster_.up_machines());
    cluster_.delay_transactions(0.7, 30s, (round + GetParam()) % 2);
    std::vector<std::string> jobs;
    for (auto& uid : submit_arrays(6, 6, uniform(6, 25))) jobs.push_back(uid);
    for (auto& uid : submit_arrays(4, 4, 70)) jobs.push_back(uid);
    all.insert(all.end(), jobs.begin(), jobs.end());
    run_until(40s, [&] { return running(cluster_, jobs) >= 3; });
    cluster_.run(seconds(uniform(0, 1.5)));
    cluster_.crash(leader(), seconds(uniform(0.02, 5)));
    cluster_.run(seconds(uniform(1, 4)));
    if (round % 2) cluster_.crash(leader(), seconds(uniform(0.02, 1)));
    cluster_.run(seconds(uniform(6, 14)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(run_until(300s, [&] { return all_done(all); }), 300s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, NewMachinesDuringLeaderChange, testing::Range<std::uint64_t>(1, 7));

class AllControllersDown : public FaultInteraction {};

// All controllers are down for longer than a worker lease. Every accepted job is still known
// afterwards and makes progress.
TEST_P(AllControllersDown, LongerThanALeaseLosesNoAcceptedJob) {
  const auto running_services = submit_services(6, 4);
  const auto all = submit_arrays(8, 4, 40);
  const auto to_cancel = submit_arrays(6, 3, 58);
  cluster_.run(seconds(uniform(15, 30)));
  cancel(to_cancel);
  cluster_.run(seconds(uniform(0, 0.3)));
  const auto downtime_s = settings_.worker_lease.count() + uniform(0.5, 15);
  for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, seconds(downtime_s + uniform(0, 3)));
  cluster_.run(seconds(downtime_s + 4));
  cluster_.watch_waiting_jobs();
  for (const auto& uid : all) cluster_.resubmit(uid, world_.below(3));
  EXPECT_LT(run_until(120s, [&] { return running(cluster_, running_services) == 24u; }), 120s);
  EXPECT_LT(run_until(250s, [&] { return all_done(all); }), 250s);
  EXPECT_LT(cluster_.longest_wait_with_room(), kMaxWaitWithRoom);
  EXPECT_LT(run_until(10s,
                      [&] {
                        return std::all_of(
                            to_cancel.begin(), to_cancel.end(),
                            [&](const auto& uid) { return !cluster_.final_phase(uid).empty(); });
                      }),
            10s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, AllControllersDown, testing::Range<std::uint64_t>(1, 7));
}  // namespace
}  // namespace limemast

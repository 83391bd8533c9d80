// Changes of leader and partitions of controllers, beside work that goes on.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
/// No job may wait this long after the last fault while a machine that fits has room and its team
/// is under its quota.
constexpr auto kWaits = 90s;

class ShortJobsAcrossLeaderChanges : public FaultInteraction {};

// Jobs of two or three tasks end far apart across one and two changes of leader: whatever of the
// first end was recorded or cleared by then, the job is done when its last task is, not before, and
// not never.
TEST_P(ShortJobsAcrossLeaderChanges, AreDoneWhenTheirLastTaskIs) {
  std::vector<std::string> jobs;
  for (const auto& [tasks, estimate] : {std::pair(2u, 25.0), {3u, 50.0}, {2u, 80.0}, {3u, 100.0}})
    for (auto& uid : arrays(3, tasks, estimate)) jobs.push_back(uid);
  if (GetParam() % 2 == 0) cluster_.delay_transactions(0.3, 120s);
  for (int i = 0; i < 5; ++i) {
    cluster_.run(seconds(s(6, 25)));
    const auto next = leader();
    cluster_.crash(next, seconds(s(0.02, 6)));
    if (i % 2)
      cluster_.run(seconds(s(0.1, 4))), cluster_.crash((next + 1) % 3, seconds(s(0.02, 3)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(until(400s, [&] { return all_done(jobs); }), 400s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShortJobsAcrossLeaderChanges, testing::Range<std::uint64_t>(1, 7));

class RapidFailover : public FaultInteraction {};

// Controllers hand over and back, all end, one returns; within a second, within 50 ms, and in the
// middle of an election.
TEST_P(RapidFailover, EndsWithAllControllersUpAndAllJobsDone) {
  const auto jobs = services(6, 4);
  std::vector<std::string> all;
  cluster_.run(40s);
  for (int round = 0; round < 8; ++round) {
    for (auto& uid : arrays(2, 3, 20)) all.push_back(uid);
    const auto first = round % 3 == 0 ? leader() : world_.below(3);
    const std::size_t many = 1 + static_cast<std::size_t>(round) % 3;
    for (std::size_t i = 0; i < many; ++i)
      cluster_.crash((first + i) % 3, seconds(i == 0 ? s(0.01, 0.05) : s(0.02, 8)));
    cluster_.run(seconds(s(0.05, 1)));
    cluster_.crash(leader(), seconds(s(0.01, 0.9)));
    cluster_.run(seconds(s(0.2, 9)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(
      until(120s, [&] { return running(cluster_, jobs) == 24u && cluster_.up_controllers() == 3; }),
      120s);
  EXPECT_LT(until(300s, [&] { return all_done(all); }), 300s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RapidFailover, testing::Range<std::uint64_t>(1, 7));

class RepeatedLeaderChanges : public FaultInteraction {};

// Leaders change ten times in two minutes, also inside an outage of the state service, while jobs
// come, end and are cancelled.
TEST_P(RepeatedLeaderChanges, BreakNoInvariant) {
  std::vector<std::string> all;
  const auto kept = services(5, 4);
  cluster_.query_concurrently(150s);
  for (int change = 0; change < 10; ++change) {
    for (auto& uid : arrays(2, 3, s(8, 40))) all.push_back(uid);
    const auto doomed = services(1, 3);
    cluster_.run(seconds(s(3, 6)));
    if (change == 4) cluster_.state_outage(14s);
    cluster_.crash(leader(), seconds(s(0.02, 3)));
    cluster_.run(seconds(s(1, 5)));
    cancel(doomed);
    cluster_.run(seconds(s(1, 2)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  cluster_.watch_waiting_jobs();
  EXPECT_LT(
      until(100s, [&] { return running(cluster_, kept) == 20u && cluster_.up_controllers() == 3; }),
      100s);
  EXPECT_LT(until(250s, [&] { return all_done(all); }), 250s);
  EXPECT_LT(cluster_.longest_wait_with_room(), kWaits);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RepeatedLeaderChanges, testing::Range<std::uint64_t>(1, 7));

class PartitionedLeader : public FaultInteraction {};

// A leader cut from state service and peers goes on serving workers and users, while the new one
// confirms cancellations and ends.
TEST_P(PartitionedLeader, ServesWorkersWhileAnotherConfirmsCancellations) {
  const auto short_jobs = arrays(8, 3, 55);
  const auto long_jobs = services(6, 3);
  cluster_.run(40s);
  const auto old = leader();
  for (auto side : {Side::State, Side::Peers}) cluster_.cut(old, side, GetParam() % 2 == 0, 45s);
  cluster_.run(seconds(s(0.5, 12)));
  for (const auto& uid : long_jobs) cluster_.cancel(uid);
  for (std::size_t i = 0; i < short_jobs.size(); i += 2) cluster_.cancel(short_jobs[i]);
  // Users ask both by turns: nobody gets an older answer.
  for (int i = 0; i < 120; ++i) {
    cluster_.run(500ms);
    for (const auto& uid : long_jobs)
      cluster_.query_status(uid, i % 3 == 0 ? world_.below(3) : old);
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  for (const auto& uid : long_jobs) EXPECT_EQ(cluster_.final_phase(uid), "cancelled");
  EXPECT_LT(until(200s, [&] { return cluster_.unfinished().empty(); }), 200s);
  EXPECT_EQ(cluster_.up_controllers(), 3u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PartitionedLeader, testing::Range<std::uint64_t>(1, 7));

/// Controllers that may believe in their membership for long after they were cut off.
class PartitionedLeaderWithLongLease : public FaultInteraction {
 protected:
  static wire::Settings patient() {
    auto s = settings();
    s.cancel_timeout = wire::Seconds(50);
    return s;
  }
  PartitionedLeaderWithLongLease() : FaultInteraction(patient()) {}
};

// A leader cut from state service and peers still believes in its membership when another one
// confirms the end of its jobs: users ask it all the while, and are told nothing older.
TEST_P(PartitionedLeaderWithLongLease, AnswersNothingOlder) {
  cluster_.query_concurrently(300s);
  for (int round = 0; round < 2; ++round) {
    const auto doomed = services(8, 2);
    cluster_.run(25s);
    const auto old = leader();
    for (auto side : {Side::State, Side::Peers})
      cluster_.cut(old, side, (GetParam() + round) % 2 == 0, 45s);
    cluster_.run(seconds(s(0.5, 4)));
    cancel(doomed);
    for (int i = 0; i < 160; ++i) {
      cluster_.run(250ms);
      for (const auto& uid : doomed) cluster_.query_status(uid, old);
      ASSERT_EQ(violations(cluster_.invariants()), "");
    }
    EXPECT_EQ(cancelled(doomed), doomed.size());
    cluster_.run(30s);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, PartitionedLeaderWithLongLease,
                         testing::Range<std::uint64_t>(1, 7));

class CancelDuringFailover : public FaultInteraction {};

// Jobs are cancelled in the seconds in which one controller's work changes hands: each is confirmed
// soon after, none is told to be anything else, and nothing of them is started once that was
// confirmed.
TEST_P(CancelDuringFailover, IsConfirmedSoonAndStartsNothing) {
  for (int round = 0; round < 5; ++round) {
    auto doomed = arrays(12, 3, 58);
    for (auto& uid : services(6, 2)) doomed.push_back(uid);
    cluster_.run(seconds(s(6, 14)));
    cluster_.query_concurrently(20s);
    const auto who = round % 2 ? leader() : world_.below(3);
    cluster_.crash(who, seconds(s(0.02, 6)));
    for (std::size_t i = 0; i < doomed.size(); ++i) {
      cluster_.cancel(doomed[i]);
      cluster_.run(seconds(s(0.05, 0.6)));
    }
    EXPECT_LT(until(30s, [&] { return cancelled(doomed) == doomed.size(); }), 30s);
    ASSERT_EQ(violations(cluster_.invariants()), "");
    cluster_.run(5s);
  }
  // Silence to verdict, the time for which a lost owner may still answer, and users who ask every
  // second or two.
  EXPECT_LT(cluster_.longest_cancellation(), 20s);
  EXPECT_EQ(cluster_.invariants().ordered_after_cancel(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelDuringFailover, testing::Range<std::uint64_t>(1, 7));

/// Machines that are up within two seconds, at times before their hire was answered.
class NewMachinesDuringLeaderChange : public FaultInteraction {
 protected:
  NewMachinesDuringLeaderChange()
      : FaultInteraction(settings(), {.machines_per_pool = 12,
                                      .scripted = true,
                                      .min_boot_s = 0.05,
                                      .max_boot_s = 2,
                                      .boot_failure_share = 0}) {}
};

// New machines are up within two seconds and get work at once while writes lag, carried out late or
// with their answers lost, and the leader ends.
TEST_P(NewMachinesDuringLeaderChange, RunWorkWhileTransactionsAreLate) {
  std::vector<std::string> all;
  for (int round = 0; round < 5; ++round) {
    // None is left of those that were there.
    cluster_.kill_machines(cluster_.up_machines());
    cluster_.delay_transactions(0.7, 30s, (round + GetParam()) % 2);
    std::vector<std::string> jobs;
    for (auto& uid : arrays(6, 6, s(6, 25))) jobs.push_back(uid);
    for (auto& uid : arrays(4, 4, 70)) jobs.push_back(uid);
    all.insert(all.end(), jobs.begin(), jobs.end());
    until(40s, [&] { return running(cluster_, jobs) >= 3; });
    cluster_.run(seconds(s(0, 1.5)));
    cluster_.crash(leader(), seconds(s(0.02, 5)));
    cluster_.run(seconds(s(1, 4)));
    if (round % 2) cluster_.crash(leader(), seconds(s(0.02, 1)));
    cluster_.run(seconds(s(6, 14)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(until(300s, [&] { return all_done(all); }), 300s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, NewMachinesDuringLeaderChange, testing::Range<std::uint64_t>(1, 7));

class AllControllersDown : public FaultInteraction {};

// All controllers are away for longer than a lease. Each job that was accepted is known, and goes
// on.
TEST_P(AllControllersDown, LongerThanALeaseForgetsNothing) {
  const auto kept = services(6, 4);
  const auto all = arrays(8, 4, 40);
  const auto doomed = arrays(6, 3, 58);
  cluster_.run(seconds(s(15, 30)));
  cancel(doomed);
  cluster_.run(seconds(s(0, 0.3)));
  const auto away = settings_.worker_lease.count() + s(0.5, 15);
  for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, seconds(away + s(0, 3)));
  cluster_.run(seconds(away + 4));
  cluster_.watch_waiting_jobs();
  for (const auto& uid : all) cluster_.resubmit(uid, world_.below(3));
  EXPECT_LT(until(120s, [&] { return running(cluster_, kept) == 24u; }), 120s);
  EXPECT_LT(until(250s, [&] { return all_done(all); }), 250s);
  EXPECT_LT(cluster_.longest_wait_with_room(), kWaits);
  EXPECT_LT(until(10s,
                  [&] {
                    return std::all_of(doomed.begin(), doomed.end(), [&](const auto& uid) {
                      return !cluster_.final_phase(uid).empty();
                    });
                  }),
            10s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, AllControllersDown, testing::Range<std::uint64_t>(1, 7));
}  // namespace
}  // namespace limemast

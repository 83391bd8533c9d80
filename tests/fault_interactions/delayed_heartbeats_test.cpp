// Workers' heartbeats that arrive late, twice, or at a controller that never heard of the machine.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
class LateHeartbeats : public FaultInteraction {};

// Copies of reports arrive long after newer ones, at any controller, also at one that has just
// started and knows nothing of the machine.
TEST_P(LateHeartbeats, AssignAndProveNothing) {
  std::vector<std::string> all;
  cluster_.duplicate_heartbeats_late(0.5, 150s);
  for (int round = 0; round < 6; ++round) {
    for (auto& uid : arrays(4, 3, round % 2 ? 70 : 15)) all.push_back(uid);
    cluster_.run(seconds(s(4, 12)));
    const auto who = world_.below(3);
    cluster_.crash(who, seconds(s(0.02, 1)));
    if (round % 2)
      cluster_.cut(who, Side::Peers, false, seconds(s(1, 8)));  // nobody tells it what is newer
    cluster_.run(seconds(s(2, 14)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(until(400s, [&] { return all_done(all); }), 400s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LateHeartbeats, testing::Range<std::uint64_t>(1, 7));

class HeartbeatDelayedAcrossFailover : public FaultInteraction {};

// Reports are held back until a new leader has acted, and then arrive there.
TEST_P(HeartbeatDelayedAcrossFailover, ChangesNothingThatIsNewer) {
  std::vector<std::string> all;
  for (int round = 0; round < 5; ++round) {
    for (auto& uid : arrays(5, 4, round % 2 ? 70 : 20)) all.push_back(uid);
    const auto doomed = services(2, 3);
    cluster_.run(seconds(s(5, 15)));
    const auto old = leader();
    for (std::size_t i = 0; i < 3; ++i)
      if (i != old) cluster_.cut(i, Side::Workers, true, seconds(s(8, 25)));
    cluster_.run(seconds(s(0, 1.5)));
    cluster_.crash(old, seconds(s(0.02, 2)));
    cluster_.run(seconds(s(0, 4)));
    cancel(doomed);
    cluster_.run(seconds(s(8, 20)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(until(300s, [&] { return all_done(all); }), 300s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, HeartbeatDelayedAcrossFailover,
                         testing::Range<std::uint64_t>(1, 7));

class StaleHeartbeatsAtNewLeader : public FaultInteraction {};

// An old report of each machine reaches every controller just as a new leader begins, also where
// all have just begun and know nothing of any machine.
TEST_P(StaleHeartbeatsAtNewLeader, BreakNoInvariant) {
  std::vector<std::string> all;
  cluster_.replay_heartbeats_at_next_leader(0.7, 400s);
  for (int round = 0; round < 7; ++round) {
    for (auto& uid : arrays(5, 4, round % 2 ? 70 : 20)) all.push_back(uid);
    cluster_.run(seconds(s(5, 20)));
    const auto first = leader();
    const auto many = round % 2 ? 3 : 1 + world_.below(2);
    for (std::size_t i = 0; i < many; ++i) cluster_.crash((first + i) % 3, seconds(s(0.02, 2)));
    if (world_.chance(0.4)) cluster_.hang_random_machine(seconds(s(2, 12)));
    if (world_.chance(0.4)) cluster_.kill_machines(2);
    cluster_.run(seconds(s(3, 16)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(until(400s, [&] { return all_done(all); }), 400s);
}

// A task was moved: its machine had stood still past its lease. Then all controllers end, and an
// old report of that machine comes before the machine itself, which stands still once more. Where
// the task runs is the newer truth: it was killed there, and handed out again once the old report
// was disproved.
TEST_P(StaleHeartbeatsAtNewLeader, LoseToNewerObservations) {
  const auto jobs = arrays(16, 4, 59);
  cluster_.run(25s);
  cluster_.replay_heartbeats_at_next_leader(1, 400s);
  cluster_.run(3s);  // a copy of each is kept by now
  std::set<std::string> where;
  for (const auto& uid : jobs)
    for (const auto& m : cluster_.machines_with(uid))
      if (world_.chance(0.3)) where.insert(m);
  cluster_.hang_machines(where, seconds(settings_.worker_lease.count() + 2));
  cluster_.run(seconds(settings_.worker_lease.count() + s(5, 9)));
  const auto halted = cluster_.stopped_tasks();
  cluster_.hang_machines(where, seconds(s(5, 8)));
  for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, seconds(s(0.02, 0.5)));
  cluster_.run(15s);
  ASSERT_EQ(violations(cluster_.invariants()), "");
  EXPECT_EQ(cluster_.stopped_tasks(), halted);  // nothing that runs was stopped for it
  EXPECT_LT(until(300s, [&] { return all_done(jobs); }), 300s);
}

// Machines die and are given back, and all controllers end before what they ran has begun
// elsewhere. Old reports of them reach controllers that have never heard of them: they are not
// written down again, and nothing is taken to run there.
TEST_P(StaleHeartbeatsAtNewLeader, DoNotBringTerminatedMachinesBack) {
  const auto jobs = arrays(12, 4, 59);
  cluster_.run(25s);
  cluster_.replay_heartbeats_at_next_leader(1, 400s);
  cluster_.run(3s);
  const auto before = cluster_.registered_machines();
  cluster_.kill_machines(5);
  const auto struck_off = [&] {
    const auto now = cluster_.registered_machines();
    return std::count_if(before.begin(), before.end(),
                         [&](const auto& m) { return !now.contains(m); }) >= 4;
  };
  ASSERT_LT(until(60s, struck_off), 60s);
  for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, seconds(s(0.02, 0.3)));
  for (int i = 0; i < 40; ++i) {
    cluster_.run(200ms);
    const auto gone = cluster_.terminated_machines();
    std::vector<std::string> again;
    for (const auto& m : cluster_.registered_machines())
      if (gone.contains(m)) again.push_back(m);
    if (i > 20) {
      EXPECT_EQ(again, std::vector<std::string>()) << i;
    }
  }
  ASSERT_EQ(violations(cluster_.invariants()), "");
  cluster_.watch_waiting_jobs();
  EXPECT_LT(until(160s, [&] { return all_done(jobs); }), 160s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, StaleHeartbeatsAtNewLeader, testing::Range<std::uint64_t>(1, 7));
}  // namespace
}  // namespace limemast

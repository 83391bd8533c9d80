// Heartbeats of workers that arrive late, twice, or at a controller that does not know the machine.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
class LateDuplicateHeartbeats : public FaultInteraction {};

// Guards against a controller that assigns tasks or infers machine state from a duplicate heartbeat
// that arrives after newer ones. The controller may have just started and not know the machine.
TEST_P(LateDuplicateHeartbeats, BreakNoInvariant) {
  std::vector<std::string> all;
  cluster_.duplicate_heartbeats_late(0.5, 150s);
  for (int round = 0; round < 6; ++round) {
    for (auto& uid : submit_arrays(4, 3, round % 2 ? 70 : 15)) all.push_back(uid);
    cluster_.run(seconds(uniform(4, 12)));
    const auto controller = world_.below(3);
    cluster_.crash(controller, seconds(uniform(0.02, 1)));
    if (round % 2)
      cluster_.cut(controller, Side::Peers, false,
                   seconds(uniform(1, 8)));  // It cannot learn newer state from its peers.
    cluster_.run(seconds(uniform(2, 14)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(run_until(400s, [&] { return all_done(all); }), 400s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LateDuplicateHeartbeats, testing::Range<std::uint64_t>(1, 7));

class HeartbeatDelayedAcrossFailover : public FaultInteraction {};

// Heartbeats are held back until a new leader has made decisions, and arrive there afterwards.
TEST_P(HeartbeatDelayedAcrossFailover, DoesNotOverwriteNewerState) {
  std::vector<std::string> all;
  for (int round = 0; round < 5; ++round) {
    for (auto& uid : submit_arrays(5, 4, round % 2 ? 70 : 20)) all.push_back(uid);
    const auto to_cancel = submit_services(2, 3);
    cluster_.run(seconds(uniform(5, 15)));
    const auto old_leader = leader();
    for (std::size_t i = 0; i < 3; ++i)
      if (i != old_leader) cluster_.cut(i, Side::Workers, true, seconds(uniform(8, 25)));
    cluster_.run(seconds(uniform(0, 1.5)));
    cluster_.crash(old_leader, seconds(uniform(0.02, 2)));
    cluster_.run(seconds(uniform(0, 4)));
    cancel(to_cancel);
    cluster_.run(seconds(uniform(8, 20)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(run_until(300s, [&] { return all_done(all); }), 300s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, HeartbeatDelayedAcrossFailover,
                         testing::Range<std::uint64_t>(1, 7));

class StaleHeartbeatsAtNewLeader : public FaultInteraction {};

// An old heartbeat of each machine reaches every controller when a new leader takes over, also if
// all controllers have just restarted and know no machines.
TEST_P(StaleHeartbeatsAtNewLeader, BreakNoInvariant) {
  std::vector<std::string> all;
  cluster_.replay_heartbeats_at_next_leader(0.7, 400s);
  for (int round = 0; round < 7; ++round) {
    for (auto& uid : submit_arrays(5, 4, round % 2 ? 70 : 20)) all.push_back(uid);
    cluster_.run(seconds(uniform(5, 20)));
    const auto first_crashed = leader();
    const auto crash_count = round % 2 ? 3 : 1 + world_.below(2);
    for (std::size_t i = 0; i < crash_count; ++i)
      cluster_.crash((first_crashed + i) % 3, seconds(uniform(0.02, 2)));
    if (world_.chance(0.4)) cluster_.hang_random_machine(seconds(uniform(2, 12)));
    if (world_.chance(0.4)) cluster_.kill_machines(2);
    cluster_.run(seconds(uniform(3, 16)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(run_until(400s, [&] { return all_done(all); }), 400s);
}

// Guards against killing a task on its current machine because of an old heartbeat from the machine
// that ran it before that machine hung past its lease. All controllers restart, so that the old
// heartbeat arrives before a current one of the machine, which hangs again.
TEST_P(StaleHeartbeatsAtNewLeader, DoNotOverrideNewerObservations) {
  const auto jobs = submit_arrays(16, 4, 59);
  cluster_.run(25s);
  cluster_.replay_heartbeats_at_next_leader(1, 400s);
  cluster_.run(3s);  // Each machine has sent a heartbeat of which a copy is kept.
  std::set<std::string> machines;
  for (const auto& uid : jobs)
    for (const auto& machine : cluster_.machines_with(uid))
      if (world_.chance(0.3)) machines.insert(machine);
  cluster_.hang_machines(machines, seconds(settings_.worker_lease.count() + 2));
  cluster_.run(seconds(settings_.worker_lease.count() + uniform(5, 9)));
  const auto stopped_before = cluster_.stopped_tasks();
  cluster_.hang_machines(machines, seconds(uniform(5, 8)));
  for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, seconds(uniform(0.02, 0.5)));
  cluster_.run(15s);
  ASSERT_EQ(violations(cluster_.invariants()), "");
  EXPECT_EQ(cluster_.stopped_tasks(), stopped_before);  // No running task was stopped.
  EXPECT_LT(run_until(300s, [&] { return all_done(jobs); }), 300s);
}

// Guards against registering a terminated machine again, or counting tasks as running on it, when
// an old heartbeat of it reaches restarted controllers that do not know it.
TEST_P(StaleHeartbeatsAtNewLeader, DoNotReregisterTerminatedMachines) {
  const auto jobs = submit_arrays(12, 4, 59);
  cluster_.run(25s);
  cluster_.replay_heartbeats_at_next_leader(1, 400s);
  cluster_.run(3s);
  const auto before = cluster_.registered_machines();
  cluster_.kill_machines(5);
  const auto are_deregistered = [&] {
    const auto registered = cluster_.registered_machines();
    return std::count_if(before.begin(), before.end(),
                         [&](const auto& machine) { return !registered.contains(machine); }) >= 4;
  };
  ASSERT_LT(run_until(60s, are_deregistered), 60s);
  for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, seconds(uniform(0.02, 0.3)));
  for (int i = 0; i < 40; ++i) {
    cluster_.run(200ms);
    const auto terminated = cluster_.terminated_machines();
    std::vector<std::string> reregistered;
    for (const auto& machine : cluster_.registered_machines())
      if (terminated.contains(machine)) reregistered.push_back(machine);
    if (i > 20) {
      EXPECT_EQ(reregistered, std::vector<std::string>()) << "step " << i;
    }
  }
  ASSERT_EQ(violations(cluster_.invariants()), "");
  cluster_.watch_waiting_jobs();
  EXPECT_LT(run_until(160s, [&] { return all_done(jobs); }), 160s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, StaleHeartbeatsAtNewLeader, testing::Range<std::uint64_t>(1, 7));
}  // namespace
}  // namespace limemast

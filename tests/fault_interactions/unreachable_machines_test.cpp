// Machines that hang, are lost or are reachable in one direction only.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
class OneWayUnreachableMachines : public FaultInteraction {};

// Guards against a failover that waits for machines which hang or receive nothing. The leader and
// then its successor crash, and all services must run again before these machines can be reached.
TEST_P(OneWayUnreachableMachines, DoNotBlockTwoFailovers) {
  const auto jobs = submit_services(8, 4);
  cluster_.run(60s);
  ASSERT_EQ(running(cluster_, jobs), 32u);
  std::size_t candidates = 0;
  cluster_.block_inbound_to_machines(
      [&](const auto&, const auto&) { return ++candidates % 6 == 0; }, 200s);
  cluster_.run(1s);
  cluster_.crash(leader(), seconds(uniform(0.1, 5)));
  cluster_.hang_random_machine(seconds(uniform(4, 20)));
  cluster_.run(seconds(uniform(6, 14)));
  cluster_.crash(leader(), seconds(uniform(0.1, 5)));
  // One lease until the unreachable machines drop their tasks, another until they are released, and
  // the time to start the tasks elsewhere.
  EXPECT_LT(run_until(85s, [&] { return running(cluster_, jobs) == 32u; }), 70s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OneWayUnreachableMachines, testing::Range<std::uint64_t>(1, 7));

class MachinesWithBlockedHeartbeats : public FaultInteraction {};

// Direct commands still reach machines that cannot connect to any controller, and must stop the
// tasks of cancelled jobs there without delay.
TEST_P(MachinesWithBlockedHeartbeats, StopTasksOnDirectCommands) {
  const auto jobs = submit_services(6, 4);
  const auto to_cancel = submit_arrays(10, 3, 58);
  cluster_.run(30s);
  std::set<std::string> machines;
  for (const auto& uid : to_cancel)
    for (const auto& machine : cluster_.machines_with(uid)) machines.insert(machine);
  cluster_.block_heartbeats(
      [&](const auto& machine, const auto&) {
        return machines.contains(machine) || world_.chance(0.3);
      },
      9s);
  cluster_.run(seconds(uniform(4.5, 6)));  // Longer than two heartbeat intervals.
  cancel(to_cancel);
  const auto have_ended = [&] {
    return std::all_of(to_cancel.begin(), to_cancel.end(), [&](const auto& uid) {
      return !cluster_.final_phase(uid).empty() && cluster_.machines_with(uid).empty();
    });
  };
  EXPECT_LT(run_until(5s, have_ended), 2s);
  ASSERT_EQ(violations(cluster_.invariants()), "");
  if (GetParam() % 2) cluster_.crash(leader(), seconds(uniform(0.02, 4)));
  cluster_.run(40s);
  cluster_.block_heartbeats([&](const auto&, const auto&) { return world_.chance(0.4); },
                            seconds(uniform(12, 30)));  // Longer than their leases.
  cluster_.run(seconds(uniform(1, 5)));
  cluster_.crash(leader(), seconds(uniform(0.02, 4)));
  EXPECT_LT(run_until(120s, [&] { return running(cluster_, jobs) == 24u; }), 120s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, MachinesWithBlockedHeartbeats, testing::Range<std::uint64_t>(1, 7));

class DelayedCommands : public FaultInteraction {};

// Commands and their responses are held back for seconds while machines hang or are cut off. They
// must not take effect after a newer fencing token, worker incarnation or serving controller.
TEST_P(DelayedCommands, DoNotOverwriteNewerState) {
  std::vector<std::string> all;
  for (int round = 0; round < 5; ++round) {
    for (auto& uid : submit_arrays(3, 4, 20)) all.push_back(uid);
    const auto to_cancel = submit_services(2, 3);
    cluster_.run(seconds(uniform(0.5, 3)));
    const auto cut_time = seconds(uniform(1, 30));
    cluster_.cut(world_.below(3), Side::Workers, true, cut_time);
    for (int i = 0; i < 4; ++i) cluster_.hang_random_machine(seconds(uniform(1, 30)));
    cluster_.run(seconds(uniform(1, 10)));
    for (const auto& uid : to_cancel) cluster_.cancel(uid);
    if (round == 3) cluster_.crash(leader(), 50ms);
    cluster_.run(seconds(uniform(2, 15)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(run_until(300s, [&] { return all_done(all); }), 300s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, DelayedCommands, testing::Range<std::uint64_t>(1, 7));

/// Machines that have fetched their images and hang when they receive a start command.
class StopAfterPendingStart : public FaultInteraction {};

// Guards against a hung machine that starts a task of a cancelled job on resuming, because the
// start command was already in flight. The stop command must be queued after the start command by
// then.
TEST_P(StopAfterPendingStart, StartsNoTaskAfterTheCancellation) {
  const auto image_fetching_jobs = submit_arrays(40, 8, 6);
  ASSERT_LT(run_until(120s, [&] { return all_done(image_fetching_jobs); }), 120s);
  std::vector<std::string> all;
  for (int round = 0; round < 12; ++round) {
    cluster_.run(seconds(uniform(2, 4)));
    cluster_.hang_machines(cluster_.all_machines(), seconds(uniform(3, 6)));
    const auto to_cancel = submit_arrays(8, 3, 58);
    cluster_.run(seconds(uniform(0.2, 1.5)));
    cancel(to_cancel);
    cluster_.run(8s);
    all.insert(all.end(), to_cancel.begin(), to_cancel.end());
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  // Start commands were in flight when their jobs were cancelled.
  EXPECT_GT(cluster_.invariants().ordered_after_cancel(), 5u);
  EXPECT_EQ(cluster_.invariants().started_after_cancel(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, StopAfterPendingStart, testing::Range<std::uint64_t>(1, 7));

// Guards against a task that stays bound to its machine forever. An unanswered direct command waits
// for a higher fencing token, the machine moves to another controller, and the message about that
// token is lost.
class LostFencingTokenMessage : public FaultInteraction {};
TEST_P(LostFencingTokenMessage, IsResent) {
  cluster_.lose_messages("fence", 60s);
  std::vector<std::string> all;
  for (int i = 0; i < 10; ++i) {
    for (auto& uid : submit_arrays(2, 4, 12)) all.push_back(uid);
    cluster_.run(seconds(uniform(0.3, 1.5)));
    for (std::size_t controller = 0; controller < 3; ++controller)
      cluster_.cut(controller, Side::Workers, false, seconds(uniform(2, 5)));
    cluster_.run(seconds(uniform(3, 6)));
  }
  EXPECT_LT(run_until(250s, [&] { return all_done(all); }), 250s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LostFencingTokenMessage, testing::Range<std::uint64_t>(1, 7));

class MachineLossInOneZone : public FaultInteraction {};

// Services and arrays that are bound to one zone lose machines there three times, and the leader
// once.
TEST_P(MachineLossInOneZone, RestartsEverythingInThatZone) {
  std::vector<std::string> jobs, services;
  for (int i = 0; i < 9; ++i) {
    auto spec = plain(cluster_, i % 3 == 2, 4, i % 2 ? "red" : "blue", i % 3 == 0 ? 20 : 75);
    if (i % 3 == 2) spec.estimate = wire::Seconds(0);
    if (i % 2)
      spec.zone = settings_.zones[world_.below(3)];
    else
      spec.one_zone = true;
    (spec.service ? services : jobs).push_back(submit(cluster_, spec));
  }
  for (int round = 0; round < 3; ++round) {
    cluster_.run(seconds(uniform(12, 20)));
    cluster_.kill_machines(4);
    if (round == 1) cluster_.crash(leader(), seconds(uniform(0.02, 3)));
    if (round == 2)
      cluster_.hang_machines(cluster_.machines_with(jobs.front()), seconds(uniform(3, 15)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(run_until(300s, [&] { return all_done(jobs) && running(cluster_, services) == 12u; }),
            300s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, MachineLossInOneZone, testing::Range<std::uint64_t>(1, 7));

class ZonePartition : public FaultInteraction {};

// A zone with workers and a controller, which may be the leader, is cut off for longer than a
// worker lease, and jobs are cancelled during that time.
TEST_P(ZonePartition, LongerThanALeaseRestartsTasksElsewhere) {
  std::vector<std::string> all;
  for (int round = 0; round < 2; ++round) {
    const auto running_services = submit_services(6, 4);
    for (auto& uid : submit_arrays(6, 4, round ? 70 : 30)) all.push_back(uid);
    const auto to_cancel = submit_arrays(6, 3, 58);
    cluster_.run(25s);
    // Controller i runs in zone i, so this is the leader's zone or the next one.
    cluster_.cut_zone(settings_.zones[(leader() + (GetParam() + round) % 2) % 3],
                      seconds(settings_.worker_lease.count() + uniform(1, 30)));
    cluster_.run(seconds(uniform(0.5, 8)));
    cancel(to_cancel);
    cluster_.run(seconds(uniform(20, 45)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
    EXPECT_LT(run_until(150s, [&] { return running(cluster_, running_services) == 24u; }), 150s);
    cancel(running_services);
  }
  EXPECT_LT(run_until(250s, [&] { return all_done(all); }), 250s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ZonePartition, testing::Range<std::uint64_t>(1, 7));
}  // namespace
}  // namespace limemast

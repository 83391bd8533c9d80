// Machines that hang, are lost or are reachable in one direction only.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
class OneWayUnreachableMachines : public FaultInteraction {};

// A leader ends while machines with long tasks are deaf, hang or can't be reached, and then its
// successor ends as well. Their silence proves nothing; what was taken over goes on all the same,
// long before they hear again.
TEST_P(OneWayUnreachableMachines, DoNotBlockTwoFailovers) {
  const auto jobs = services(8, 4);
  cluster_.run(60s);
  ASSERT_EQ(running(cluster_, jobs), 32u);
  std::size_t n = 0;
  cluster_.block_inbound_to_machines([&](const auto&, const auto&) { return ++n % 6 == 0; }, 200s);
  cluster_.run(1s);
  cluster_.crash(leader(), seconds(s(0.1, 5)));
  cluster_.hang_random_machine(seconds(s(4, 20)));
  cluster_.run(seconds(s(6, 14)));
  cluster_.crash(leader(), seconds(s(0.1, 5)));
  // A lease until the deaf machines drop what they hold, another until they are given back, and
  // what it takes to start elsewhere.
  EXPECT_LT(until(85s, [&] { return running(cluster_, jobs) == 32u; }), 70s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OneWayUnreachableMachines, testing::Range<std::uint64_t>(1, 7));

class MachinesWithBlockedHeartbeats : public FaultInteraction {};

// Machines can open connections to no controller while direct commands still reach them: what is
// cancelled there ends by a direct command, at once.
TEST_P(MachinesWithBlockedHeartbeats, AreStoppedByDirectCommands) {
  const auto jobs = services(6, 4);
  const auto doomed = arrays(10, 3, 58);
  cluster_.run(30s);
  std::set<std::string> where;
  for (const auto& uid : doomed)
    for (const auto& m : cluster_.machines_with(uid)) where.insert(m);
  cluster_.block_heartbeats(
      [&](const auto& m, const auto&) { return where.contains(m) || world_.chance(0.3); }, 9s);
  cluster_.run(seconds(s(4.5, 6)));  // longer than two reports' time
  cancel(doomed);
  const auto gone = [&] {
    return std::all_of(doomed.begin(), doomed.end(), [&](const auto& uid) {
      return !cluster_.final_phase(uid).empty() && cluster_.machines_with(uid).empty();
    });
  };
  EXPECT_LT(until(5s, gone), 2s);
  ASSERT_EQ(violations(cluster_.invariants()), "");
  if (GetParam() % 2) cluster_.crash(leader(), seconds(s(0.02, 4)));
  cluster_.run(40s);
  cluster_.block_heartbeats([&](const auto&, const auto&) { return world_.chance(0.4); },
                            seconds(s(12, 30)));  // past their leases
  cluster_.run(seconds(s(1, 5)));
  cluster_.crash(leader(), seconds(s(0.02, 4)));
  EXPECT_LT(until(120s, [&] { return running(cluster_, jobs) == 24u; }), 120s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, MachinesWithBlockedHeartbeats, testing::Range<std::uint64_t>(1, 7));

class DelayedCommands : public FaultInteraction {};

// Commands and their answers are held for seconds while machines hang or their link is cut, across
// fences, sessions and changes of host.
TEST_P(DelayedCommands, ChangeNothingThatIsNewer) {
  std::vector<std::string> all;
  for (int round = 0; round < 5; ++round) {
    for (auto& uid : arrays(3, 4, 20)) all.push_back(uid);
    const auto doomed = services(2, 3);
    cluster_.run(seconds(s(0.5, 3)));
    cluster_.cut(world_.below(3), Side::Workers, true, seconds(s(1, 30)));
    for (int i = 0; i < 4; ++i) cluster_.hang_random_machine(seconds(s(1, 30)));
    cluster_.run(seconds(s(1, 10)));
    for (const auto& uid : doomed) cluster_.cancel(uid);
    if (round == 3) cluster_.crash(leader(), 50ms);
    cluster_.run(seconds(s(2, 15)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(until(300s, [&] { return all_done(all); }), 300s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, DelayedCommands, testing::Range<std::uint64_t>(1, 7));

/// Machines whose images are there, and which stand still as they are ordered to run something.
class StopBehindPendingStart : public FaultInteraction {};

// A run is on its way straight to a machine that stands still when its job's cancellation is
// confirmed: the machine would start it whenever it goes on. The kill is behind it by then.
TEST_P(StopBehindPendingStart, StartsNothingAfterTheCancellation) {
  const auto warm = arrays(40, 8, 6);
  ASSERT_LT(until(120s, [&] { return all_done(warm); }), 120s);
  std::vector<std::string> all;
  for (int round = 0; round < 12; ++round) {
    cluster_.run(seconds(s(2, 4)));
    cluster_.hang_machines(cluster_.all_machines(), seconds(s(3, 6)));
    const auto doomed = arrays(8, 3, 58);
    cluster_.run(seconds(s(0.2, 1.5)));
    cancel(doomed);
    cluster_.run(8s);
    all.insert(all.end(), doomed.begin(), doomed.end());
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_GT(cluster_.invariants().ordered_after_cancel(), 5u);  // they were under way
  EXPECT_EQ(cluster_.invariants().started_after_cancel(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, StopBehindPendingStart, testing::Range<std::uint64_t>(1, 7));

// A direct order that gets no answer waits for a higher mandate on its machine. The machine moves
// on to another host, and the word of that mandate is lost: it was said once, and the task was
// bound for ever.
class LostFencingTokenMessage : public FaultInteraction {};
TEST_P(LostFencingTokenMessage, IsRepeated) {
  cluster_.lose_messages("fence", 60s);
  std::vector<std::string> all;
  for (int i = 0; i < 10; ++i) {
    for (auto& uid : arrays(2, 4, 12)) all.push_back(uid);
    cluster_.run(seconds(s(0.3, 1.5)));
    for (std::size_t n = 0; n < 3; ++n) cluster_.cut(n, Side::Workers, false, seconds(s(2, 5)));
    cluster_.run(seconds(s(3, 6)));
  }
  EXPECT_LT(until(250s, [&] { return all_done(all); }), 250s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LostFencingTokenMessage, testing::Range<std::uint64_t>(1, 7));

class MachineLossInOneZone : public FaultInteraction {};

// Jobs that are bound to one zone, arrays too, lose machines there, twice, and a leader.
TEST_P(MachineLossInOneZone, RestartsEverythingInThatZone) {
  std::vector<std::string> jobs, replicas;
  for (int i = 0; i < 9; ++i) {
    auto spec = plain(cluster_, i % 3 == 2, 4, i % 2 ? "red" : "blue", i % 3 == 0 ? 20 : 75);
    if (i % 3 == 2) spec.estimate = wire::Seconds(0);
    if (i % 2)
      spec.zone = settings_.zones[world_.below(3)];
    else
      spec.one_zone = true;
    (spec.service ? replicas : jobs).push_back(submit(cluster_, spec));
  }
  for (int round = 0; round < 3; ++round) {
    cluster_.run(seconds(s(12, 20)));
    cluster_.kill_machines(4);
    if (round == 1) cluster_.crash(leader(), seconds(s(0.02, 3)));
    if (round == 2) cluster_.hang_machines(cluster_.machines_with(jobs.front()), seconds(s(3, 15)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(until(300s, [&] { return all_done(jobs) && running(cluster_, replicas) == 12u; }),
            300s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, MachineLossInOneZone, testing::Range<std::uint64_t>(1, 7));

class ZonePartition : public FaultInteraction {};

// A zone with workers and a controller is cut off for longer than a lease, the leader inside or
// not; jobs are cancelled meanwhile.
TEST_P(ZonePartition, LongerThanALeaseRestartsElsewhere) {
  std::vector<std::string> all;
  for (int round = 0; round < 2; ++round) {
    const auto kept = services(6, 4);
    for (auto& uid : arrays(6, 4, round ? 70 : 30)) all.push_back(uid);
    const auto doomed = arrays(6, 3, 58);
    cluster_.run(25s);
    // Controllers stand in the zones in turn: the leader's own, or the next.
    cluster_.cut_zone(settings_.zones[(leader() + (GetParam() + round) % 2) % 3],
                      seconds(settings_.worker_lease.count() + s(1, 30)));
    cluster_.run(seconds(s(0.5, 8)));
    cancel(doomed);
    cluster_.run(seconds(s(20, 45)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
    EXPECT_LT(until(150s, [&] { return running(cluster_, kept) == 24u; }), 150s);
    cancel(kept);
  }
  EXPECT_LT(until(250s, [&] { return all_done(all); }), 250s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ZonePartition, testing::Range<std::uint64_t>(1, 7));
}  // namespace
}  // namespace limemast

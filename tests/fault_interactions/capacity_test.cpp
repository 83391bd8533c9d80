// Exhausted quotas and capacity while controllers or machines fail.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
/// Two teams whose quota limits are lower than their demand.
class QuotaLimitDuringFailover : public FaultInteraction {
 protected:
  static wire::Settings small_quotas() {
    auto settings = default_settings();
    settings.teams = {{"red", {20, 40, 0, 0}}, {"blue", {20, 30, 0, 0}}};
    return settings;
  }
  QuotaLimitDuringFailover() : FaultInteraction(small_quotas()) {}
  bool near_quota_limits() {
    return cluster_.invariants().used_cpus("red") > 36 &&
           cluster_.invariants().used_cpus("blue") > 26;
  }
};

// Tasks of cancelled jobs that are still on unreachable machines must count against the quotas of
// their teams, also after controllers crash and none that is left has owned these jobs.
TEST_P(QuotaLimitDuringFailover, CountsTasksOnUnreachableMachines) {
  std::vector<std::string> queued;
  for (int round = 0; round < 4; ++round) {
    auto to_cancel = submit_arrays(14, 4, 58);
    for (auto& uid : submit_arrays(4, 4, 80)) to_cancel.push_back(uid);
    ASSERT_LT(run_until(90s, [&] { return near_quota_limits(); }), 90s);
    // Further jobs wait for the same quotas.
    for (auto& uid : submit_arrays(6, 4, 15)) queued.push_back(uid);
    cluster_.run(seconds(uniform(0.5, 2)));
    std::set<std::string> machines;
    for (const auto& uid : to_cancel)
      for (const auto& machine : cluster_.machines_with(uid))
        if (world_.chance(0.5)) machines.insert(machine);
    cancel(to_cancel);
    constexpr std::uint64_t kHung = 0, kInboundBlocked = 1, kHeartbeatsBlocked = 2;
    const auto fault = (round + GetParam()) % 3;
    const auto started_before = cluster_.invariants().started_after_cancel();
    const auto duration = seconds(uniform(4, 9));
    if (fault == kHung) cluster_.hang_machines(machines, duration);
    if (fault == kInboundBlocked)
      cluster_.block_inbound_to_machines(
          [&](const auto& machine, const auto&) { return machines.contains(machine); }, duration);
    if (fault == kHeartbeatsBlocked)
      cluster_.block_heartbeats(
          [&](const auto& machine, const auto&) { return machines.contains(machine); }, duration);
    cluster_.run(seconds(uniform(0.05, 0.5)));
    if (world_.chance(0.5)) cluster_.slow_state_service(seconds(uniform(0.2, 2)), 12s);
    const auto first_crashed = leader();
    const auto crash_count = 1 + world_.below(3);
    for (std::size_t i = 0; i < crash_count; ++i)
      cluster_.crash((first_crashed + i) % 3, seconds(uniform(0.02, 1)));
    cluster_.run(seconds(uniform(10, 25)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
    // A machine that receives nothing still starts the tasks whose images it has fetched.
    if (fault != kInboundBlocked) {
      EXPECT_EQ(cluster_.invariants().started_after_cancel(), started_before);
    }
    const auto has_ended = [&](const auto& uid) { return !cluster_.final_phase(uid).empty(); };
    EXPECT_LT(
        run_until(60s, [&] { return std::all_of(to_cancel.begin(), to_cancel.end(), has_ended); }),
        60s);
  }
  EXPECT_LT(run_until(300s, [&] { return all_done(queued); }), 300s);
}

// Jobs are cancelled while their machines hang; then all controllers crash and restart without
// knowing these jobs. Tasks must count against the quotas of their teams until the machines drop
// them.
TEST_P(QuotaLimitDuringFailover, CountsTasksOfUnknownJobs) {
  const auto to_cancel = submit_arrays(22, 4, 59);
  ASSERT_LT(run_until(90s, [&] { return near_quota_limits(); }), 90s);
  std::set<std::string> machines;
  for (const auto& uid : to_cancel)
    for (const auto& machine : cluster_.machines_with(uid)) machines.insert(machine);
  const auto queued = submit_arrays(20, 4, 15);
  cluster_.run(2s);
  cluster_.hang_machines(machines, seconds(uniform(4, 6)));
  cancel(to_cancel);
  ASSERT_LT(run_until(3s, [&] { return count_cancelled(to_cancel) > to_cancel.size() * 3 / 4; }),
            3s);
  for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, seconds(uniform(0.02, 0.3)));
  cluster_.run(1s);
  cluster_.slow_state_service(2500ms, 15s);
  cluster_.run(25s);
  ASSERT_EQ(violations(cluster_.invariants()), "");
  EXPECT_LT(run_until(300s, [&] { return all_done(queued); }), 300s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaLimitDuringFailover, testing::Range<std::uint64_t>(1, 7));

/// Arrays are submitted while few machines are up, and many more machines boot soon after.
class MachinesThatComeUpLate : public FaultInteraction {};

// Guards against new machines that stay idle while tasks wait because all their probes are queued
// at machines that were up earlier and are busy.
TEST_P(MachinesThatComeUpLate, ReceiveWaitingTasks) {
  cluster_.watch_waiting_jobs();
  const auto jobs = submit_arrays(24, 4, 59);
  EXPECT_LT(run_until(300s, [&] { return all_done(jobs); }), 300s);
  EXPECT_LT(cluster_.longest_wait_with_room(), 30s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, MachinesThatComeUpLate, testing::Range<std::uint64_t>(1, 7));

/// A fleet of at most 24 machines.
class MoreWorkThanCapacity : public FaultInteraction {
 protected:
  MoreWorkThanCapacity()
      : FaultInteraction(default_settings(),
                         {.machines_per_pool = 2, .scripted = true, .boot_failure_share = 0}) {}
};

// With more work than capacity and slow links between controllers, urgent jobs finish early, all
// others finish eventually, and no task is lost or runs twice. The urgent jobs belong to the team
// with a guarantee, since jobs of the other team may be stopped for it, whatever their priority.
TEST_P(MoreWorkThanCapacity, FinishesUrgentJobsFirst) {
  for (std::size_t i = 0; i < 3; ++i) cluster_.delay_links(i, seconds(uniform(0.2, 1.2)), 200s);
  std::vector<std::string> urgent, other;
  for (int i = 0; i < 60; ++i) {
    auto spec = plain(cluster_, false, 6, i % 4 < 2 ? "red" : "blue", i % 5 ? 15 : 70);
    if (i % 4 == 0) spec.rank = wire::Rank::Urgent;
    if (i % 4 == 1) spec.rank = wire::Rank::Low;
    (i % 4 == 0 ? urgent : other).push_back(submit(cluster_, spec));
    cluster_.run(seconds(uniform(0.1, 0.5)));
    if (i == 30) cluster_.crash(leader(), seconds(uniform(0.02, 3)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(run_until(300s, [&] { return all_done(urgent); }), 300s);
  EXPECT_LT(run_until(600s, [&] { return all_done(other); }), 600s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, MoreWorkThanCapacity, testing::Range<std::uint64_t>(1, 13));
}  // namespace
}  // namespace limemast

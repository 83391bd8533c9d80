#include <algorithm>
#include <cstdlib>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulation/scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;
using namespace std::chrono_literals;

/// Logs only if SIM_LOG is set in the environment.
void set_log_level() {
  spdlog::set_level(std::getenv("SIM_LOG") ? spdlog::level::debug : spdlog::level::off);
}

/// Waits for the random job that is submitted when the cluster starts.
void finish_first_job(SimulatedCluster& cluster) {
  for (int i = 0; i < 20 && !cluster.unfinished().empty(); ++i) cluster.run(5s);
}

/// Random jobs and faults: the invariants hold at every step, and all accepted jobs finish after
/// the faults end.
class RandomDay : public testing::TestWithParam<std::uint64_t> {
 protected:
  void SetUp() override { set_log_level(); }
};

TEST_P(RandomDay, RulesHoldAndWorkFinishes) {
  SimulatedWorld world(GetParam());
  SimulatedCluster::Options options;
  if (GetParam() % 3 == 0)
    options.log_size = 60;  // watches are compacted away: 410 and a new listing
  options.machines_per_pool = 4 + world.below(3);  // 4 to 6
  if (GetParam() % 2 == 0)
    options.min_restart_s = 0, options.max_restart_s = 3;  // controllers restart at once
  SimulatedCluster cluster(world, settings_for_tests(), options);
  cluster.run(30s);
  const double mean = GetParam() % 2 == 0 ? 12 : 25;
  for (auto end = world.now() + 240s; world.now() < end;) {
    cluster.run(seconds(world.uniform(1, 2 * mean)));
    cluster.inject_random_fault();
    ASSERT_EQ(violations(cluster.invariants()), "") << "seed " << GetParam();
  }
  cluster.stop_arrivals();
  cluster.run(900s);  // team blue has no guarantee, so its jobs are placed after all others
  EXPECT_EQ(violations(cluster.invariants()), "") << "seed " << GetParam();
  EXPECT_GT(cluster.invariants().starts(), 20u);
  EXPECT_EQ(cluster.up_controllers(), 3u);
  // For each class and team, at least half of the array tasks that the last leader has seen
  // requested are done, and services got more than half of the requested replica time in the last
  // two minutes, when the faults are over and there is room for all.
  const auto& attainment = cluster.node(cluster.leader())->slo_attainment();
  for (const auto* sums : {&attainment.classes(), &attainment.teams()})
    for (const auto& [name, s] : *sums) {
      EXPECT_GT(s.window.served_fraction().value_or(1), 0.5) << name << ", seed " << GetParam();
      EXPECT_GE(s.total.done, s.total.requested / 2) << name << ", seed " << GetParam();
    }
  const auto left = cluster.unfinished();
  EXPECT_TRUE(left.empty()) << left.size() << " left, first " << left.front()
                            << (cluster.accepted(left.front()) ? "" : " (not accepted)")
                            << ", seed " << GetParam();
}
/// The number of seeds: 30, or SIM_DAYS from the environment.
std::uint64_t days() { return std::getenv("SIM_DAYS") ? std::stoull(std::getenv("SIM_DAYS")) : 30; }
INSTANTIATE_TEST_SUITE_P(Seeds, RandomDay, testing::Range<std::uint64_t>(1, days() + 1));
// Seeds that left a job unfinished in the past.
INSTANTIATE_TEST_SUITE_P(Found, RandomDay, testing::Values<std::uint64_t>(56, 98));

// Guards against gang tasks with different attempt numbers, which never start together.
TEST(Gang, RunsTogether) {
  set_log_level();
  SimulatedWorld world(1);
  SimulatedCluster cluster(world, settings_for_tests(), {});
  cluster.stop_arrivals();
  auto spec = cluster.random_job();
  spec.service = spec.spread = false;
  spec.gang = spec.one_zone = true;
  spec.tasks = 3;
  spec.cpus = 2;
  spec.zone.reset();
  spec.types.reset();
  spec.estimate = wire::Seconds(5);
  cluster.run(5s);
  cluster.submit(spec);
  cluster.run(120s);
  EXPECT_EQ(violations(cluster.invariants()), "");
  const auto left = cluster.unfinished();
  EXPECT_EQ(std::count(left.begin(), left.end(), spec.uid), 0);
}

/// A job of low rank without placement constraints.
wire::JobSpec low_rank_job(SimulatedCluster& cluster, const std::string& team, std::uint32_t tasks,
                           double estimate) {
  auto spec = plain(cluster, false, tasks, team, estimate, 4);
  spec.rank = wire::Rank::Low;
  return spec;
}

// A probe lost on a broken link must be sent again although its job probes further machines every
// second.
TEST(LostProbes, AreResentWhileTheJobProbesFurtherMachines) {
  set_log_level();
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SimulatedWorld world(seed);
    auto settings = settings_for_tests();
    settings.tuning.idle_return = wire::Seconds(300);
    SimulatedCluster cluster(world, settings, {.machines_per_pool = 1, .scripted = true});
    cluster.stop_arrivals();
    cluster.run(5s);
    auto submit_for_single_machine = [&](std::uint32_t tasks) {  // only one machine may run it
      auto spec = plain(cluster, false, tasks, "blue", 4);
      spec.zone = "a";
      spec.types = std::vector<std::string>{"large"};
      spec.spot = false;
      return submit(cluster, spec);
    };
    submit_for_single_machine(1);
    for (int i = 0; i < 30 && !cluster.unfinished().empty(); ++i) cluster.run(5s);
    for (std::size_t i = 0; i < 3; ++i) cluster.cut(i, SimulatedCluster::Side::Peers, false, 6s);
    submit_for_single_machine(4);
    cluster.run(70s);
    EXPECT_TRUE(cluster.unfinished().empty()) << "seed " << seed;
    EXPECT_EQ(violations(cluster.invariants()), "");
  }
}

// A leader that was frozen for longer than a worker lease, but not past its own lease, must not
// consider all machines dead afterwards and terminate them.
TEST(Freeze, LeaderTerminatesNoMachinesAfterwards) {
  set_log_level();
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SimulatedWorld world(seed);
    auto settings = settings_for_tests();
    settings.cancel_timeout = wire::Seconds(40);
    SimulatedCluster cluster(world, settings, {});
    cluster.stop_arrivals();
    cluster.run(5s);
    for (int i = 0; i < 4; ++i) {
      auto spec = low_rank_job(cluster, "red", 3, 0);
      spec.service = true;
      spec.spot = false;
      spec.rank = wire::Rank::Production;
      cluster.submit(spec);
    }
    cluster.run(40s);
    finish_first_job(cluster);
    const auto starts = cluster.invariants().starts();
    EXPECT_GE(starts, 12u);
    cluster.freeze(cluster.leader(), 18s);
    cluster.run(60s);
    EXPECT_EQ(violations(cluster.invariants()), "");
    EXPECT_EQ(cluster.invariants().starts(), starts) << "seed " << seed;
  }
}

// Long tasks of a team without a guarantee must not block the jobs of a team with one.
TEST(Preemption, TasksOfATeamWithoutAGuaranteeArePreemptedForAGuarantee) {
  set_log_level();
  for (const double estimate : {80.0, 10.0}) {
    SimulatedWorld world(3);
    SimulatedCluster cluster(world, settings_for_tests(), {});
    cluster.stop_arrivals();
    cluster.run(5s);
    cluster.submit(low_rank_job(cluster, "blue", 400, 400));
    cluster.run(60s);
    EXPECT_GT(cluster.invariants().starts(), 50u);
    std::set<std::string> uids;
    for (int i = 0; i < 2; ++i) {
      const auto spec = low_rank_job(cluster, "red", 5, estimate);
      uids.insert(spec.uid);
      cluster.submit(spec);
    }
    cluster.run(seconds(2 * estimate + 25));
    EXPECT_EQ(violations(cluster.invariants()), "");
    for (const auto& uid : cluster.unfinished())
      EXPECT_FALSE(uids.contains(uid)) << "estimate " << estimate;
  }
}

// Short tasks must leave room on on-demand machines for new service replicas, which otherwise
// preempt some of them.
TEST(ServiceReserve, NewReplicasPreemptFewShortTasks) {
  set_log_level();
  std::size_t task_restarts = 0;
  for (std::uint64_t seed = 1; seed <= 32; ++seed) {
    SimulatedWorld world(seed);
    auto settings = settings_for_tests();
    settings.teams = {{"red", {}}, {"blue", {}}};
    settings.tuning.short_share = 0.17;
    SimulatedCluster cluster(world, settings, {.failing_job_share = 0});
    cluster.stop_arrivals();
    cluster.run(60s);
    finish_first_job(cluster);
    auto replica = low_rank_job(cluster, "blue", 1, 0);
    replica.service = true;
    replica.spot = false;
    replica.cpus = 8;
    replica.rank = wire::Rank::Production;
    const auto submit_replica = [&] {
      replica.uid = cluster.random_job().uid;
      cluster.submit(replica);
    };
    for (int i = 0; i < 8; ++i) submit_replica();
    cluster.run(30s);
    auto array = low_rank_job(cluster, "red", 300, 15);
    array.rank = wire::Rank::Standard;
    const auto starts_before = cluster.invariants().starts();
    cluster.submit(array);
    std::size_t replicas = 0;
    for (; replicas < 6; ++replicas) {
      cluster.run(15s);
      submit_replica();
    }
    for (int i = 0; i < 60 && !cluster.unfinished().empty(); ++i) cluster.run(5s);
    EXPECT_TRUE(cluster.unfinished().empty());
    EXPECT_EQ(violations(cluster.invariants()), "");
    task_restarts += cluster.invariants().starts() - starts_before - array.tasks - replicas;
  }
  EXPECT_LE(task_restarts, 295u);  // exceeded if no room is reserved
}

// Guards against quota grants of only a few tasks per scheduling round, which fill idle machines
// too slowly.
TEST(TeamQuota, ManyTasksAreGrantedTogether) {
  set_log_level();
  SimulatedWorld world(2);
  auto settings = settings_for_tests();
  settings.teams = {{"red", {100, 1000, 0, 0}}};
  settings.tuning.idle_return = wire::Seconds(60);
  SimulatedCluster cluster(world, settings, {.scripted = true});
  cluster.stop_arrivals();
  cluster.run(60s);
  auto spec = low_rank_job(cluster, "red", 0, 0);
  spec.service = true;
  spec.spot = false;
  spec.rank = wire::Rank::Production;
  spec.cpus = 2;
  auto submit = [&](std::uint32_t tasks) {
    spec.uid = cluster.random_job().uid;
    spec.tasks = tasks;
    cluster.submit(spec);
    return spec.uid;
  };
  const auto first = submit(100);
  cluster.run(120s);
  ASSERT_EQ(cluster.running()[first], 100u);
  cluster.invariants().asked_to_cancel(first);
  for (bool done = false; !done; cluster.run(500ms))
    cluster.ask(0, {"POST", "/submissions/" + first + "/abort", {}},
                [&](net::HttpResponse r) { done = r.status == 200; });
  cluster.run(8s);
  ASSERT_EQ(cluster.running()[first], 0u);
  const auto second = submit(100);
  cluster.run(2200ms);
  EXPECT_GE(cluster.running()[second], 90u);  // missed if each round grants only eight tasks
  EXPECT_EQ(violations(cluster.invariants()), "");
}

class ControllerFault : public testing::Test {
 protected:
  void SetUp() override { set_log_level(); }
  int ready(std::size_t node) {
    int status = 0;
    cluster_.ask(node, {"GET", "/ready", {}}, [&](net::HttpResponse r) { status = r.status; });
    return status;
  }
  SimulatedWorld world_{7};
  SimulatedCluster cluster_{world_, settings_for_tests(), {}};
};

// A controller that loses only its own link to the state service must report not ready, so that
// users go to another one (inc-92a9). In an outage for all controllers each stays ready.
TEST_F(ControllerFault, ControllerWithoutStateServiceIsNotReady) {
  cluster_.run(20s);
  for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(ready(i), 200);
  cluster_.cut(1, SimulatedCluster::Side::State, false, 9s);
  cluster_.run(8s);
  EXPECT_EQ(ready(0), 200);
  EXPECT_EQ(ready(1), 503);
  cluster_.run(6s);
  EXPECT_EQ(ready(1), 200);
  cluster_.state_outage(9s);
  cluster_.run(8s);
  for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(ready(i), 200);
}

// Status queries for jobs of a frozen controller must not use up the request rate of the state
// service, which submissions need.
TEST_F(ControllerFault, ManyStatusQueriesCostFewStoreRequests) {
  cluster_.stop_arrivals();
  cluster_.run(20s);
  auto spec = low_rank_job(cluster_, "red", 3, 400);
  cluster_.submit(spec);
  cluster_.run(10s);
  const auto owner = cluster_.leader();
  cluster_.freeze(owner, 6s);
  cluster_.run(2s);
  const auto requests_before = cluster_.state().request_count();
  int answered = 0;
  for (int i = 0; i < 500; ++i) {
    cluster_.ask((owner + 1) % 3, {"GET", "/submissions/" + spec.uid, {}},
                 [&](net::HttpResponse r) { answered += r.status == 200; });
    cluster_.run(2ms);
  }
  cluster_.run(1s);
  EXPECT_EQ(answered, 500);
  EXPECT_LT(cluster_.state().request_count() - requests_before, 60u);
}

// If no team has a guarantee, tasks of low rank are preempted for those of higher rank.
TEST(Preemption, LowRankTasksArePreemptedForHigherRank) {
  set_log_level();
  for (const double estimate : {80.0, 10.0}) {
    SimulatedWorld world(4);
    auto settings = settings_for_tests();
    settings.teams = {{"red", {}}, {"blue", {}}};
    SimulatedCluster cluster(world, settings, {});
    cluster.stop_arrivals();
    cluster.run(5s);
    cluster.submit(low_rank_job(cluster, "blue", 600, 600));
    cluster.run(120s);
    EXPECT_GT(cluster.invariants().starts(), 50u);
    auto spec = low_rank_job(cluster, "red", 40, estimate);
    spec.rank = wire::Rank::Standard;
    cluster.submit(spec);
    cluster.run(seconds(2 * estimate + 25));
    EXPECT_EQ(violations(cluster.invariants()), "");
    for (const auto& uid : cluster.unfinished())
      EXPECT_NE(uid, spec.uid) << "estimate " << estimate;
  }
}

/// Tests InvariantChecker itself: each test plants one violation, which must be found, and no
/// other.
class PlantedViolation : public testing::Test {
 protected:
  void SetUp() override {
    spec_.uid = "wk-000001";
    spec_.team = "red";
    spec_.tasks = 2;
    spec_.cpus = 4;
    spec_.spread = true;
    invariants_.submitted(spec_);
    auto other = spec_;
    other.uid = "wk-000003";
    invariants_.submitted(other);
  }
  bool violated(const std::string& rule) const { return invariants_.violations().contains(rule); }
  void TearDown() override {
    EXPECT_EQ(invariants_.violations().size(), 1u) << violations(invariants_);
  }

  SimulatedWorld world_{1};
  wire::Settings settings_ = settings_for_tests();
  InvariantChecker invariants_{world_, settings_};
  InvariantChecker::KnownStatus accepted_{true, {}};  ///< the user knows of the acceptance only
  wire::JobSpec spec_;
};

TEST_F(PlantedViolation, RanTwice) {
  invariants_.started("wk-000001/0", "m1", "small", "a", false);
  invariants_.ended("wk-000001/0", "m1");
  invariants_.started("wk-000001/0", "m2", "small", "a", false);
  EXPECT_TRUE(invariants_.violations().empty());
  invariants_.started("wk-000001/0", "m3", "small", "a", false);
  EXPECT_TRUE(violated("ran_twice"));
}
TEST_F(PlantedViolation, Quota) {
  spec_.spread = false;
  spec_.tasks = 16;
  spec_.uid = "wk-000002";
  invariants_.submitted(spec_);
  for (int i = 0; i < 15; ++i)
    invariants_.started("wk-000002/" + std::to_string(i), "m", "small", "a", false);
  EXPECT_TRUE(invariants_.violations().empty());
  invariants_.started("wk-000002/15", "m", "small", "a", false);
  EXPECT_TRUE(violated("quota"));
}
TEST_F(PlantedViolation, WrongPlaceSpotMachine) {
  invariants_.started("wk-000001/0", "m1", "small", "a", true);
  EXPECT_TRUE(violated("wrong_place"));
}
TEST_F(PlantedViolation, WrongPlaceSpread) {
  invariants_.started("wk-000001/0", "m1", "small", "a", false);
  EXPECT_TRUE(invariants_.violations().empty());
  invariants_.started("wk-000001/1", "m2", "small", "a", false);
  EXPECT_TRUE(violated("wrong_place"));
}
TEST_F(PlantedViolation, RanCancelled) {
  invariants_.started("wk-000001/0", "m1", "small", "a", false);
  invariants_.asked_to_cancel("wk-000001");
  invariants_.status_answered("wk-000001", {}, 200, "cancelled");
  world_.step(SimulatedWorld::start() + net::to_duration(settings_.cancel_timeout));
  invariants_.check_time();
  EXPECT_TRUE(invariants_.violations().empty());
  world_.step(world_.now() + 1s);
  invariants_.check_time();
  EXPECT_TRUE(violated("ran_cancelled"));
}
TEST_F(PlantedViolation, Forgotten) {
  invariants_.status_answered("wk-000001", accepted_, 404, "");
  EXPECT_TRUE(violated("forgotten"));
}
TEST_F(PlantedViolation, ForgottenOnResubmission) {
  invariants_.submission_answered("wk-000001", accepted_, 422, "");
  EXPECT_TRUE(violated("forgotten"));
}
TEST_F(PlantedViolation, Invented) {
  invariants_.status_answered("wk-000077", {}, 404, "");
  EXPECT_TRUE(invariants_.violations().empty());
  invariants_.status_answered("wk-000077", {}, 200, "pending");
  EXPECT_TRUE(violated("invented"));
}
TEST_F(PlantedViolation, NotDone) {
  invariants_.completed("wk-000001", 0);
  invariants_.status_answered("wk-000001", {}, 200, "done");
  EXPECT_TRUE(violated("not_done"));
}
TEST_F(PlantedViolation, WentBack) {
  invariants_.completed("wk-000001", 0);
  invariants_.completed("wk-000001", 1);
  invariants_.status_answered("wk-000001", {}, 200, "done");
  EXPECT_TRUE(invariants_.violations().empty());
  invariants_.status_answered("wk-000001", invariants_.known("wk-000001"), 200, "running");
  EXPECT_TRUE(violated("went_back"));
}
// The answer to a request sent before the final phase was known may be older, as messages can
// overtake each other. The answer to a later request, at any controller, may not.
TEST_F(PlantedViolation, StaleAnswerToALaterRequest) {
  invariants_.completed("wk-000001", 0);
  invariants_.completed("wk-000001", 1);
  const auto before = invariants_.known("wk-000001");
  invariants_.status_answered("wk-000001", before, 200, "done");
  invariants_.status_answered("wk-000001", before, 200, "running");
  EXPECT_TRUE(invariants_.violations().empty());
  invariants_.status_answered("wk-000001", invariants_.known("wk-000001"), 200, "pending");
  EXPECT_TRUE(violated("went_back"));
}
TEST_F(PlantedViolation, TwoFinalPhases) {
  invariants_.completed("wk-000001", 0);
  invariants_.completed("wk-000001", 1);
  invariants_.asked_to_cancel("wk-000001");
  invariants_.status_answered("wk-000001", {}, 200, "cancelled");
  invariants_.status_answered("wk-000001", {}, 200, "done");
  EXPECT_TRUE(violated("went_back"));
}
TEST_F(PlantedViolation, ForgottenAfterAStatusQuery) {
  invariants_.status_answered("wk-000003", {}, 200, "pending");
  invariants_.status_answered("wk-000003", invariants_.known("wk-000003"), 404, "");
  EXPECT_TRUE(violated("forgotten"));
}
TEST_F(PlantedViolation, AcceptedTwice) {
  invariants_.submission_answered("wk-000003", {}, 201, "pending");
  EXPECT_TRUE(invariants_.violations().empty());
  invariants_.submission_answered("wk-000003", invariants_.known("wk-000003"), 201, "pending");
  EXPECT_TRUE(violated("went_back"));
}
/// Events that are counted without being violations.
class CountedEvents : public PlantedViolation {
 protected:
  void TearDown() override { EXPECT_EQ(violations(invariants_), ""); }
};
TEST_F(CountedEvents, StartedAfterCancel) {
  invariants_.asked_to_cancel("wk-000001");
  invariants_.status_answered("wk-000001", {}, 200, "cancelled");
  invariants_.started("wk-000001/0", "m1", "small", "a", false);
  EXPECT_EQ(invariants_.started_after_cancel(), 0u);  // within kInTransitGrace
  world_.step(SimulatedWorld::start() + 1s);
  invariants_.started("wk-000001/1", "m2", "small", "b", false);
  EXPECT_EQ(invariants_.started_after_cancel(), 1u);
}
TEST_F(PlantedViolation, CancelledWithoutRequest) {
  invariants_.status_answered("wk-000001", {}, 200, "cancelled");
  EXPECT_TRUE(violated("went_back"));
}
}  // namespace
}  // namespace limemast

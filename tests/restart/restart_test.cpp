// Controllers that crash in every phase of their startup or restart at once, while messages of the
// previous incarnation arrive late.
#include <cstdlib>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulation/scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;
using Side = SimulatedCluster::Side;
using cluster::StartupPhase;

class ControllerRestarts : public testing::Test {
 protected:
  static wire::Settings default_settings() {
    auto settings = settings_for_tests();
    settings.cancel_timeout = wire::Seconds(40);
    settings.teams = {{"red", {100, 400, 0, 0}}, {"blue", {}}};
    settings.tuning.idle_return = wire::Seconds(60);
    return settings;
  }
  explicit ControllerRestarts(std::uint64_t seed = 1, wire::Settings settings = default_settings(),
                              SimulatedCluster::Options options = {.machines_per_pool = 8,
                                                                   .scripted = true})
      : world_(seed), cluster_(world_, std::move(settings), options) {
    spdlog::set_level(std::getenv("SIM_LOG") ? spdlog::level::info : spdlog::level::off);
    cluster_.stop_arrivals();
  }
  void TearDown() override { EXPECT_EQ(violations(cluster_.invariants()), ""); }
  std::string submit(bool service, std::uint32_t tasks, double estimate = 0,
                     const char* team = "red") {
    return simulation::submit(cluster_, plain(cluster_, service, tasks, team, estimate));
  }
  std::uint32_t replicas(const std::vector<std::string>& services) {
    return simulation::running(cluster_, services);
  }
  /// Runs the cluster until `condition` holds or `timeout` has passed, and returns the simulated
  /// time that this took.
  template <class Condition>
  Duration run_until(Duration timeout, Condition condition, Duration step = 100ms) {
    const auto started = world_.now();
    while (world_.now() - started < timeout && !condition()) cluster_.run(step);
    return world_.now() - started;
  }
  /// The number of the newest epoch that any controller knows.
  std::uint64_t newest_epoch() const {
    std::uint64_t newest = 0;
    for (std::size_t i = 0; i < 3; ++i)
      if (const auto* instance = cluster_.node(i))
        newest = std::max(newest, instance->membership().epoch().number.value());
    return newest;
  }
  /// Runs the cluster for `duration` and returns the number of epochs after `before` that a
  /// controller reached.
  std::size_t count_epochs(Duration duration, std::uint64_t before) {
    std::set<std::uint64_t> epochs{before};
    for (const auto end = world_.now() + duration; world_.now() < end; cluster_.run(10ms))
      epochs.insert(std::max(before, newest_epoch()));
    return epochs.size() - 1;
  }
  bool reached(std::size_t controller, StartupPhase phase) const {
    const auto* instance = cluster_.node(controller);
    return instance &&
           instance->membership().startup_times()[static_cast<std::size_t>(phase)] != net::Time{};
  }
  SimulatedWorld world_;
  SimulatedCluster cluster_;
};

enum class StartupFault { None, SlowStore, StoreOutage, StoreLinkCut, PeerLinksCut };
struct StartupCrash {
  StartupPhase phase;
  StartupFault fault;
};
void PrintTo(const StartupCrash& crash, std::ostream* out) {
  *out << cluster::name_of(crash.phase) << ", fault " << static_cast<int>(crash.fault);
}

/// One, two or all controllers crash when they reach a startup phase, while another fault is
/// present.
class CrashDuringStartup : public ControllerRestarts,
                           public testing::WithParamInterface<StartupCrash> {};

TEST_P(CrashDuringStartup, TwiceInARowWithDelayedMessagesOfThePreviousIncarnation) {
  constexpr Duration kRestartDelays[] = {0ms, 20ms, 200ms, 900ms};
  const auto [phase, fault] = GetParam();
  std::vector<std::string> services;
  for (int i = 0; i < 4; ++i) services.push_back(submit(true, 4, 0, i % 2 ? "red" : "blue"));
  run_until(60s, [&] { return replicas(services) == 16; });
  for (std::size_t round = 0; round < 4; ++round) {
    const auto work = submit(false, 12, 6);
    cluster_.run(seconds(world_.uniform(1, 4)));
    switch (fault) {
      case StartupFault::None:
        break;
      case StartupFault::SlowStore:
        cluster_.slow_state_service(300ms, 8s);
        break;
      case StartupFault::StoreOutage:
        cluster_.state_outage(3s);
        break;
      case StartupFault::StoreLinkCut:
        cluster_.cut(round % 3, Side::State, true, 3s);
        break;
      case StartupFault::PeerLinksCut:
        for (std::size_t i = 0; i < 3; ++i) cluster_.cut(i, Side::Peers, false, 8s);
        break;
    }
    for (int crash = 0; crash < 2; ++crash)
      for (std::size_t i = 0; i <= round % 3; ++i) {
        const auto controller = (round + i) % 3;
        run_until(
            12s, [&] { return reached(controller, phase); }, 2ms);
        // Delays the last messages of this incarnation and the first ones of the next.
        cluster_.delay_links(controller, 3s, 60ms);
        cluster_.run(30ms);
        cluster_.crash(controller, kRestartDelays[(round + i) % 4]);
      }
    cluster_.run(12s);
    ASSERT_EQ(violations(cluster_.invariants()), "") << "round " << round;
  }
  EXPECT_LT(run_until(90s,
                      [&] {
                        return cluster_.unfinished().empty() && replicas(services) == 16 &&
                               cluster_.up_controllers() == 3;
                      }),
            90s)
      << cluster_.unfinished().size() << " jobs left, " << replicas(services) << " replicas, "
      << cluster_.up_controllers() << " controllers";
}
std::vector<StartupCrash> startup_crashes() {
  std::vector<StartupCrash> crashes;
  for (std::size_t phase = 0; phase < cluster::kStartupPhases; ++phase)
    for (auto fault : {StartupFault::None, StartupFault::SlowStore, StartupFault::StoreOutage,
                       StartupFault::StoreLinkCut, StartupFault::PeerLinksCut})
      crashes.push_back({static_cast<StartupPhase>(phase), fault});
  return crashes;
}
INSTANTIATE_TEST_SUITE_P(Phases, CrashDuringStartup, testing::ValuesIn(startup_crashes()));

// Guards against one epoch for the loss of a controller and another for its next incarnation when
// one epoch can cover both.
TEST_F(ControllerRestarts, AFastRestartTakesOneEpochAndThreeTogetherTakeTwo) {
  cluster_.run(10s);
  for (std::size_t i = 0; i < 3; ++i) {
    const auto before = newest_epoch();
    cluster_.crash(i, 200ms);
    // The bound for the first crash allows one more epoch, for a change of leader.
    EXPECT_LE(count_epochs(5s, before), 1u + (i == 0)) << "controller " << i;
    cluster_.run(70s);
    EXPECT_EQ(cluster_.up_controllers(), 3u);
  }
  const auto before = newest_epoch();  // This is unknown once all controllers are down.
  for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, 20ms * i);
  EXPECT_LE(count_epochs(5s, before), 2u);
  EXPECT_EQ(cluster_.up_controllers(), 3u);
}

// Guards against a crash-looping controller that blocks the work of the others, because each crash
// and each restart causes an epoch and a failover barrier.
TEST_F(ControllerRestarts, ACrashLoopDoesNotBlockTheOtherControllers) {
  std::vector<std::string> services;
  for (int i = 0; i < 4; ++i) services.push_back(submit(true, 4));
  run_until(60s, [&] { return replicas(services) == 16; });
  cluster_.run(20s);
  const auto crash_looping = (cluster_.leader() + 1) % 3;
  std::size_t epochs = 0;
  std::vector<double> waits_s;
  for (int i = 0; i < 90; ++i) {
    cluster_.crash(crash_looping, 100ms);
    if (i % 15 == 0)
      // Some of these jobs are owned by the crash-looping controller and are taken over.
      submit(false, 6, 5);
    if (i % 10 == 5) {  // Measures the time from submission to start.
      const auto uid = submit(true, 1, 0, "blue");
      const auto submitted = world_.now();
      epochs += count_epochs(1900ms, newest_epoch());
      run_until(
          20s, [&] { return cluster_.running()[uid] == 1; }, 20ms);
      waits_s.push_back(net::to_seconds(world_.now() - submitted).count());
    } else {
      epochs += count_epochs(1900ms, newest_epoch());
    }
    EXPECT_EQ(replicas(services), 16u);
  }
  // One epoch for each crash and each restart would make 180.
  EXPECT_LE(epochs, 8u);
  // The image fetch takes up to 4 s, and machines are up already.
  for (const auto wait_s : waits_s) EXPECT_LT(wait_s, 8);
  EXPECT_LT(run_until(20s, [&] { return cluster_.unfinished().empty(); }), 20s);
  cluster_.run(40s);
  EXPECT_EQ(cluster_.up_controllers(), 3u);  // It is admitted again after it has stopped crashing.
}

// Guards against the rejoin backoff of one controller that delays the epoch in which another, lost
// controller is removed.
TEST_F(ControllerRestarts, RejoinBackoffDoesNotDelayTheRemovalOfAnotherController) {
  cluster_.run(10s);
  const auto leader = cluster_.leader();
  for (int i = 0; i < 7; ++i) {
    cluster_.crash((leader + 1) % 3, 50ms);
    cluster_.run(1s);
  }
  const auto lost = cluster_.node((leader + 2) % 3)->membership().self();
  cluster_.crash((leader + 2) % 3, 60s);
  EXPECT_LT(run_until(20s, [&] { return !cluster_.node(leader)->membership().is_member(lost); }),
            9s);
}

// Guards against a job that never ends because its final record is written on the condition that
// the job's record still has the revision with which its owner loaded it.
TEST_F(ControllerRestarts, AJobWithAManuallyEditedRecordStillEnds) {
  cluster_.run(10s);
  const auto uid = submit(false, 8, 10);
  cluster_.run(4s);
  cluster_.state().put("w/open/" + uid, "by hand");
  EXPECT_LT(run_until(90s, [&] { return cluster_.unfinished().empty(); }), 90s);
}

/// An undecodable record of each kind is written while all controllers restart, and again while
/// they run.
class UndecodableRecords : public ControllerRestarts,
                           public testing::WithParamInterface<std::pair<const char*, const char*>> {
 protected:
  UndecodableRecords() : ControllerRestarts(4) {}
};
TEST_P(UndecodableRecords, StopNeitherControllersNorJobs) {
  std::vector<std::string> services{submit(true, 4), submit(true, 4, 0, "blue")};
  run_until(60s, [&] { return replicas(services) == 8; });
  submit(false, 20, 5);
  cluster_.run(3s);
  const auto [key, value] = GetParam();
  for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, 500ms);
  cluster_.run(100ms);
  cluster_.state().put(key, wire::json::parse(value));
  cluster_.run(2s);
  cluster_.state().put(std::string(key) + (std::string(key).ends_with('/') ? "x" : ""),
                       wire::json::parse(value));
  cluster_.run(5s);
  const auto late_service = submit(true, 2);
  // An undecodable machine record delays the takeover of jobs by a store lease and a worker lease,
  // because the tasks that may still run are unknown until then.
  EXPECT_LT(run_until(120s,
                      [&] {
                        return cluster_.unfinished().empty() && replicas(services) == 8 &&
                               cluster_.running()[late_service] == 2;
                      }),
            120s)
      << cluster_.unfinished().size() << " jobs left, " << replicas(services) << " replicas";
  EXPECT_EQ(cluster_.up_controllers(), 3u);
  cluster_.crash(cluster_.leader(), 200ms);
  cluster_.run(60s);
  EXPECT_EQ(replicas(services), 8u);
  EXPECT_EQ(cluster_.up_controllers(), 3u);
}
INSTANTIATE_TEST_SUITE_P(
    RecordKinds, UndecodableRecords,
    testing::Values(
        std::pair("w/generation", "7"),
        std::pair("w/generation", R"({"leader":"node-0@1","members":[3]})"),
        std::pair("w/leader", "[]"), std::pair("w/leader", R"({"tag":"node-9@77"})"),
        std::pair("w/node/node-1", "null"), std::pair("w/node/nobody", R"({"incarnation":"1"})"),
        std::pair("w/machine/by-hand", R"("n-000001")"),
        std::pair("w/machine/by-hand", R"({"n-999999":3})"),
        std::pair("w/open/wk-000002", R"({"spec":[],"by":"x","generation":1,"long":true,"at":1})"),
        std::pair("w/open/wk-777777", R"({"spec":{"uid":"wk-777777"},"by":1})"),
        std::pair("w/suspect/node-2", "{}"), std::pair("w/drain/zone/a", "{}"),
        std::pair("w/catalog", R"({"flavors":[{}]})"),
        std::pair("progress/node-0@1/0", R"({"a":1})"), std::pair("w/unheard-of/1", "1")));
}  // namespace
}  // namespace limemast

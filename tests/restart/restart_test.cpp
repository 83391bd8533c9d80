// Processes that are back at once: crashes at every step of the start, with all that the run before
// sent arriving late.
#include <cstdlib>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulation/scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;
using Side = SimulatedCluster::Side;
using cluster::StartupPhase;

class Restarts : public testing::Test {
 protected:
  static wire::Settings settings() {
    auto s = settings_for_tests();
    s.cancel_timeout = wire::Seconds(40);
    s.teams = {{"red", {100, 400, 0, 0}}, {"blue", {}}};
    s.tuning.idle_return = wire::Seconds(60);
    return s;
  }
  explicit Restarts(std::uint64_t seed = 1, wire::Settings s = settings(),
                    SimulatedCluster::Options options = {.machines_per_pool = 8, .scripted = true})
      : world_(seed), cluster_(world_, std::move(s), options) {
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
  /// Runs until `done`; how long that took, or `most`.
  template <class Done>
  Duration until(Duration most, Done done, Duration step = 100ms) {
    const auto begun = world_.now();
    while (world_.now() - begun < most && !done()) cluster_.run(step);
    return world_.now() - begun;
  }
  std::uint64_t epoch() const {
    std::uint64_t newest = 0;
    for (std::size_t i = 0; i < 3; ++i)
      if (const auto* n = cluster_.node(i))
        newest = std::max(newest, n->membership().epoch().number.value());
    return newest;
  }
  /// How many generations after `before` are written until `time` has passed.
  std::size_t epochs_in(Duration time, std::uint64_t before) {
    std::set<std::uint64_t> seen{before};
    for (const auto end = world_.now() + time; world_.now() < end; cluster_.run(10ms))
      seen.insert(std::max(before, epoch()));
    return seen.size() - 1;
  }
  bool reached(std::size_t node, StartupPhase phase) const {
    const auto* n = cluster_.node(node);
    return n && n->membership().startup_times()[static_cast<std::size_t>(phase)] != net::Time{};
  }
  SimulatedWorld world_;
  SimulatedCluster cluster_;
};

enum class Amid { Quiet, SlowState, StateAway, Refused, LinksRefused };
struct Start {
  StartupPhase phase;
  Amid amid;
};
void PrintTo(const Start& s, std::ostream* out) {
  *out << cluster::name_of(s.phase) << ", trouble " << static_cast<int>(s.amid);
}

/// Each step of the start, amid each trouble; one, two and all controllers, and the delays, by
/// seeds.
class CrashAt : public Restarts, public testing::WithParamInterface<Start> {};

TEST_P(CrashAt, TwiceInARowWithLateMessagesOfTheFormerRun) {
  constexpr Duration kDelays[] = {0ms, 20ms, 200ms, 900ms};
  const auto [phase, amid] = GetParam();
  std::vector<std::string> services;
  for (int i = 0; i < 4; ++i) services.push_back(submit(true, 4, 0, i % 2 ? "red" : "blue"));
  until(60s, [&] { return replicas(services) == 16; });
  for (std::size_t round = 0; round < 4; ++round) {
    const auto work = submit(false, 12, 6);
    cluster_.run(seconds(world_.uniform(1, 4)));
    switch (amid) {
      case Amid::Quiet:
        break;
      case Amid::SlowState:
        cluster_.slow_state_service(300ms, 8s);
        break;
      case Amid::StateAway:
        cluster_.state_outage(3s);
        break;
      case Amid::Refused:
        cluster_.cut(round % 3, Side::State, true, 3s);
        break;
      case Amid::LinksRefused:
        for (std::size_t i = 0; i < 3; ++i) cluster_.cut(i, Side::Peers, false, 8s);
        break;
    }
    for (int twice = 0; twice < 2; ++twice)
      for (std::size_t i = 0; i <= round % 3; ++i) {
        const auto node = (round + i) % 3;
        until(
            12s, [&] { return reached(node, phase); }, 2ms);
        cluster_.delay_links(node, 3s,
                             60ms);  // what it sent last, and what its successor sends first
        cluster_.run(30ms);
        cluster_.crash(node, kDelays[(round + i) % 4]);
      }
    cluster_.run(12s);
    ASSERT_EQ(violations(cluster_.invariants()), "") << "round " << round;
  }
  EXPECT_LT(until(90s,
                  [&] {
                    return cluster_.unfinished().empty() && replicas(services) == 16 &&
                           cluster_.up_controllers() == 3;
                  }),
            90s)
      << cluster_.unfinished().size() << " jobs left, " << replicas(services) << " replicas, "
      << cluster_.up_controllers() << " controllers";
}
std::vector<Start> starts() {
  std::vector<Start> out;
  for (std::size_t phase = 0; phase < cluster::kStartupPhases; ++phase)
    for (auto amid :
         {Amid::Quiet, Amid::SlowState, Amid::StateAway, Amid::Refused, Amid::LinksRefused})
      out.push_back({static_cast<StartupPhase>(phase), amid});
  return out;
}
INSTANTIATE_TEST_SUITE_P(Steps, CrashAt, testing::ValuesIn(starts()));

// A loss and its successor's joining were two generations 400 ms apart; all three took up to six.
TEST_F(Restarts, AFastRestartIsOneGenerationAndThreeTogetherAreTwo) {
  cluster_.run(10s);
  for (std::size_t i = 0; i < 3; ++i) {
    const auto before = epoch();
    cluster_.crash(i, 200ms);
    EXPECT_LE(epochs_in(5s, before), 1u + (i == 0)) << "controller " << i;  // one of them led
    cluster_.run(70s);
    EXPECT_EQ(cluster_.up_controllers(), 3u);
  }
  const auto before = epoch();  // none of them can tell once all have ended
  for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, 20ms * i);
  EXPECT_LE(epochs_in(5s, before), 2u);
  EXPECT_EQ(cluster_.up_controllers(), 3u);
}

// Each end of a controller that came back every time was a generation and a gate for the others'
// work.
TEST_F(Restarts, OneThatEndsEveryTwoSecondsCostsTheOthersLittle) {
  std::vector<std::string> services;
  for (int i = 0; i < 4; ++i) services.push_back(submit(true, 4));
  until(60s, [&] { return replicas(services) == 16; });
  cluster_.run(20s);
  const auto flapping = (cluster_.leader() + 1) % 3;
  std::size_t generations = 0;
  std::vector<double> waits;
  for (int i = 0; i < 90; ++i) {
    cluster_.crash(flapping, 100ms);
    if (i % 15 == 0)
      submit(false, 6, 5);  // some of them fall to the one that ends, and are taken over
    if (i % 10 == 5) {      // a new job's start, from its submission on
      const auto uid = submit(true, 1, 0, "blue");
      const auto begun = world_.now();
      generations += epochs_in(1900ms, epoch());
      until(
          20s, [&] { return cluster_.running()[uid] == 1; }, 20ms);
      waits.push_back(net::to_seconds(world_.now() - begun).count());
    } else {
      generations += epochs_in(1900ms, epoch());
    }
    EXPECT_EQ(replicas(services), 16u);
  }
  EXPECT_LE(generations, 8u);                  // 180 where each end and each joining made one
  for (const auto w : waits) EXPECT_LT(w, 8);  // with a fetch of up to 4 s and a machine that is up
  EXPECT_LT(until(20s, [&] { return cluster_.unfinished().empty(); }), 20s);
  cluster_.run(40s);
  EXPECT_EQ(cluster_.up_controllers(), 3u);  // and when it has calmed down it is a member again
}

// The timer for one that was put off kept the loss of another from being written down before it
// fired.
TEST_F(Restarts, OneThatIsPutOffHoldsUpNoOthersLoss) {
  cluster_.run(10s);
  const auto leader = cluster_.leader();
  for (int i = 0; i < 7; ++i) {
    cluster_.crash((leader + 1) % 3, 50ms);
    cluster_.run(1s);
  }
  const auto lost = cluster_.node((leader + 2) % 3)->membership().self();
  cluster_.crash((leader + 2) % 3, 60s);
  EXPECT_LT(until(20s, [&] { return !cluster_.node(leader)->membership().is_member(lost); }), 9s);
}

// Its end was written on the condition of the record that it had been taken up from, which no
// longer stood: never.
TEST_F(Restarts, AJobWhoseRecordWasWrittenAnewByHandStillEnds) {
  cluster_.run(10s);
  const auto uid = submit(false, 8, 10);
  cluster_.run(4s);
  cluster_.state().put("w/open/" + uid, "by hand");
  EXPECT_LT(until(90s, [&] { return cluster_.unfinished().empty(); }), 90s);
}

/// A record that cannot be read, of each family, written between two runs.
class DecodeErrors : public Restarts,
                     public testing::WithParamInterface<std::pair<const char*, const char*>> {
 protected:
  DecodeErrors() : Restarts(4) {}
};
TEST_P(DecodeErrors, AllGoOn) {
  std::vector<std::string> services{submit(true, 4), submit(true, 4, 0, "blue")};
  until(60s, [&] { return replicas(services) == 8; });
  submit(false, 20, 5);
  cluster_.run(3s);
  const auto [key, value] = GetParam();
  for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, 500ms);
  cluster_.run(100ms);
  cluster_.state().put(key, wire::json::parse(value));
  cluster_.run(2s);
  cluster_.state().put(std::string(key) + (std::string(key).ends_with('/') ? "x" : ""),
                       wire::json::parse(value));  // and while they run
  cluster_.run(5s);
  const auto late = submit(true, 2);
  // An unreadable record of machines holds up what was taken over for a grant and a lease: who may
  // run what is not known before.
  EXPECT_LT(until(120s,
                  [&] {
                    return cluster_.unfinished().empty() && replicas(services) == 8 &&
                           cluster_.running()[late] == 2;
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
    Families, DecodeErrors,
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

// Each accepted job gets a machine, whatever other jobs wait: deployments in simulated time.
#include <algorithm>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulation/scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;
using namespace std::chrono_literals;

/// No job may wait longer while a machine for it can be launched (the users' bound for a job that
/// waits although a machine has room).
constexpr auto kMaxWait = 90s;
/// How long no machine may have room before the machines count as full.
constexpr auto kFullFor = 3s;
constexpr int kMaxOccupants = 3;
/// Tasks of the waiting job outlast the test.
constexpr double kRunTimeS = 600;

/// What distinguishes the jobs of a case; the rest is the same for all.
struct Shape {
  bool service = false;
  bool spot = false;
  double estimate_s = 0;  ///< above 60 s the job is long
  std::uint32_t tasks = 1;
  double cpus = 0;
  std::optional<std::string> zone;
  std::optional<std::vector<std::string>> types;
  bool spread = false;
  bool one_zone = false;
};

struct Case {
  std::string name;
  Shape largest;   ///< the job that requests the most CPUs; no tasks: none
  Shape occupant;  ///< fills the machines that the waiting job may use; no tasks: none
  Shape waiting;
  /// The kinds of which the cloud has no machine: type, zone, whether spot.
  std::vector<std::tuple<std::string, std::string, bool>> unavailable;
};

/// The name of the case in the messages of failed tests.
std::ostream& operator<<(std::ostream& out, const Case& test_case) { return out << test_case.name; }

Shape service(std::uint32_t tasks, double cpus, const std::string& zone) {
  Shape out;
  out.service = true;
  out.tasks = tasks;
  out.cpus = cpus;
  out.zone = zone;
  return out;
}
Shape array(std::uint32_t tasks, double cpus, double estimate_s) {
  Shape out;
  out.tasks = tasks;
  out.cpus = cpus;
  out.estimate_s = estimate_s;
  return out;
}
Shape in_zone(Shape shape, const std::string& zone) {
  shape.zone = zone;
  return shape;
}
Shape on_type(Shape shape, const std::string& type) {
  shape.types = {type};
  return shape;
}
Shape on_spot(Shape shape) {
  shape.spot = true;
  return shape;
}
Shape on_large(Shape shape) { return on_type(std::move(shape), "large"); }
Shape in_any_zone(Shape shape) {
  shape.zone.reset();
  return shape;
}
Shape spread(Shape shape) {
  shape.spread = true;
  return shape;
}
Shape in_one_zone(Shape shape) {
  shape.one_zone = true;
  return shape;
}
Shape none() { return array(0, 0, 0); }

class ScaleOut : public testing::TestWithParam<std::tuple<Case, std::uint64_t>> {
 protected:
  ScaleOut()
      : cluster_(world_, settings(),
                 {.machines_per_pool = 6, .scripted = true, .boot_failure_share = 0}) {}
  static wire::Settings settings() {
    auto out = settings_for_tests();
    out.teams = {{"red", {400, 600, 0, 0}}, {"blue", {}}};
    return out;
  }
  void SetUp() override {
    spdlog::set_level(std::getenv("SIM_LOG") ? spdlog::level::debug : spdlog::level::off);
    cluster_.stop_arrivals();
    for (const auto& [type, zone, spot] : test_case().unavailable)
      cluster_.set_pool_size(type, zone, spot, 0);
    cluster_.run(10s);
  }
  void TearDown() override { EXPECT_EQ(violations(cluster_.invariants()), ""); }

  static const Case& test_case() { return std::get<0>(GetParam()); }
  wire::JobSpec spec_of(const Shape& shape) {
    auto spec = plain(cluster_, shape.service, shape.tasks, "red", shape.estimate_s, shape.cpus);
    spec.rank = wire::Rank::Standard;  // preempts no other task
    spec.spot = shape.spot;
    spec.zone = shape.zone;
    spec.types = shape.types;
    spec.spread = shape.spread;
    spec.one_zone = shape.one_zone;
    return spec;
  }
  template <class Condition>
  bool holds_within(Duration timeout, Condition condition) {
    const auto until = world_.now() + timeout;
    while (!condition() && world_.now() < until) cluster_.run(100ms);
    return condition();
  }
  bool runs(const wire::JobSpec& spec) { return running(cluster_, {spec.uid}) == spec.tasks; }
  void start(const Shape& shape) {
    if (shape.tasks == 0) return;
    const auto spec = spec_of(shape);
    submit(spec);
    ASSERT_TRUE(holds_within(kMaxWait, [&] { return runs(spec); })) << "an occupant does not start";
  }
  void submit(const wire::JobSpec& spec) {
    cluster_.submit(spec);
    cluster_.set_run_time(spec.uid, kRunTimeS);
  }
  /// Starts services until no machine has room for a task of the job, as far as they do.
  void occupy_machines_for(const wire::JobSpec& waiting) {
    if (test_case().occupant.tasks == 0) return;
    for (int i = 0; i < kMaxOccupants; ++i) {
      start(test_case().occupant);
      holds_within(kFullFor, [&] { return cluster_.has_room_for(waiting); });
      if (!cluster_.has_room_for(waiting)) return;
    }
  }

  SimulatedWorld world_{std::get<1>(GetParam())};
  SimulatedCluster cluster_;
};

// Guards against accepted jobs that never get a machine: nothing was launched in a zone or of a
// type if the job with the most CPUs could not use it, and a machine that other tasks fill counted
// as a machine for the job.
TEST_P(ScaleOut, LaunchesAMachineForEachWaitingJob) {
  const auto waiting = spec_of(test_case().waiting);
  ASSERT_NO_FATAL_FAILURE(start(test_case().largest));
  ASSERT_NO_FATAL_FAILURE(occupy_machines_for(waiting));
  submit(waiting);
  EXPECT_TRUE(holds_within(kMaxWait, [&] { return runs(waiting); }));
}

// Guards against a job whose machine stops and that is never started again, for the same causes.
TEST_P(ScaleOut, ReplacesTheMachinesOfAJob) {
  const auto waiting = spec_of(test_case().waiting);
  submit(waiting);
  ASSERT_TRUE(holds_within(kMaxWait, [&] { return runs(waiting); }));
  ASSERT_NO_FATAL_FAILURE(start(test_case().largest));
  ASSERT_NO_FATAL_FAILURE(occupy_machines_for(waiting));
  cluster_.kill_machines(cluster_.machines_with(waiting.uid));
  EXPECT_TRUE(holds_within(kMaxWait, [&] { return runs(waiting); }));
}

// A machine that never comes up must not count as launched for the job for longer than a boot
// takes.
TEST_P(ScaleOut, DoesNotWaitForAMachineThatNeverBoots) {
  const auto waiting = spec_of(test_case().waiting);
  ASSERT_NO_FATAL_FAILURE(start(test_case().largest));
  ASSERT_NO_FATAL_FAILURE(occupy_machines_for(waiting));
  cluster_.set_boot_failure_share(1);
  const auto launched = cluster_.launched_machines();
  submit(waiting);
  holds_within(kMaxWait, [&] { return cluster_.launched_machines() > launched; });
  cluster_.set_boot_failure_share(0);
  EXPECT_TRUE(holds_within(kMaxWait, [&] { return runs(waiting); }));
}

class OlderMachineListing : public testing::TestWithParam<std::uint64_t> {
 protected:
  SimulatedWorld world_{GetParam()};
  // No machine boots during the test.
  SimulatedCluster cluster_{world_,
                            settings_for_tests(),
                            {.machines_per_pool = 6,
                             .scripted = true,
                             .min_boot_s = 60,
                             .max_boot_s = 60,
                             .boot_failure_share = 0}};
};

// Guards against machines that are terminated while they boot, because a listing that is older than
// the one before, and older than they are, does not contain them.
TEST_P(OlderMachineListing, DoesNotEndMachinesLaunchedSince) {
  spdlog::set_level(std::getenv("SIM_LOG") ? spdlog::level::debug : spdlog::level::off);
  cluster_.stop_arrivals();
  cluster_.run(10s);
  for (int i = 0; i < 4; ++i) {
    submit(cluster_, plain(cluster_, true, 1, "red", 0, 16));
    cluster_.run(5s);
    EXPECT_EQ(cluster_.terminated_machines(), std::set<std::string>());
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, OlderMachineListing, testing::Range<std::uint64_t>(1, 7));

/// Jobs that wait beside a larger one that cannot use the same machines.
std::vector<Case> beside_a_larger_job() {
  const auto large_elsewhere = service(10, 4, "a");
  return {
      {"ShortInAZone", large_elsewhere, service(1, 16, "b"), in_zone(array(1, 16, 50), "b"), {}},
      {"LongInAZone", large_elsewhere, service(1, 16, "b"), in_zone(array(1, 16, 70), "b"), {}},
      {"ServiceInAZone", large_elsewhere, service(1, 16, "b"), service(1, 16, "b"), {}},
      {"ShortSpotInAZone",
       on_spot(in_zone(array(12, 4, 70), "a")),
       none(),
       on_spot(in_zone(array(1, 16, 50), "b")),
       {}},
      {"ShortOfAType",
       on_type(service(10, 4, "b"), "small"),
       on_type(service(1, 16, "b"), "large"),
       in_zone(on_type(array(1, 16, 50), "large"), "b"),
       {}},
  };
}

/// Jobs that wait beside machines full of services. A task of the services takes more than half of
/// a machine, so the CPUs that they leave free add up to more than what the job needs.
std::vector<Case> beside_full_machines() {
  const auto occupant = on_large(service(1, 10, "b"));
  const auto short_job = on_large(in_zone(array(1, 10, 50), "b"));
  const auto long_job = on_large(in_zone(array(1, 10, 70), "b"));
  using Kinds = std::vector<std::tuple<std::string, std::string, bool>>;
  const Kinds no_spot{{"large", "a", true}, {"large", "b", true}, {"large", "c", true}};
  const Kinds only_in_b{
      {"large", "a", true}, {"large", "a", false}, {"large", "c", true}, {"large", "c", false}};
  const Kinds not_in_c{{"large", "c", true}, {"large", "c", false}};
  return {
      {"ShortOnDemand", none(), occupant, short_job, {}},
      {"ShortSpot", none(), occupant, on_spot(short_job), {}},
      {"ShortSpotWithoutSpotMachines", none(), occupant, on_spot(short_job), no_spot},
      {"ShortSpotAnywhereWithoutSpotMachines", none(), in_any_zone(occupant),
       in_any_zone(on_spot(short_job)), no_spot},
      {"ShortSpreadArray", none(), occupant, on_large(spread(array(2, 10, 50))), not_in_c},
      {"ShortSpreadSpotArray", none(), occupant, on_large(spread(on_spot(array(2, 10, 50)))),
       not_in_c},
      {"ShortArrayInOneZone", none(), occupant, on_large(in_one_zone(array(2, 10, 50))), only_in_b},
      {"ShortOfAnyType", none(), occupant, in_zone(array(1, 10, 50), "b"), {}},
      {"LongOnDemand", none(), occupant, long_job, {}},
      {"LongSpot", none(), occupant, on_spot(long_job), {}},
      {"LongSpotWithoutSpotMachines", none(), occupant, on_spot(long_job), no_spot},
      {"ShortArray", none(), occupant, on_large(in_zone(array(2, 10, 50), "b")), {}},
      {"Service", none(), occupant, occupant, {}},
  };
}

std::string name_of_case(const testing::TestParamInfo<ScaleOut::ParamType>& info) {
  return std::get<0>(info.param).name + "_" + std::to_string(std::get<1>(info.param));
}

INSTANTIATE_TEST_SUITE_P(BesideALargerJob, ScaleOut,
                         testing::Combine(testing::ValuesIn(beside_a_larger_job()),
                                          testing::Range<std::uint64_t>(1, 4)),
                         name_of_case);

INSTANTIATE_TEST_SUITE_P(BesideFullMachines, ScaleOut,
                         testing::Combine(testing::ValuesIn(beside_full_machines()),
                                          testing::Range<std::uint64_t>(1, 4)),
                         name_of_case);
}  // namespace
}  // namespace limemast

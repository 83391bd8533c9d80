// Pulls for short jobs of a team whose quota is limited.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulation/scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;

/// No job may wait longer while a machine has room and its team is below its limit.
constexpr auto kMaxWait = 90s;

class QuotaOfPulledJob : public testing::TestWithParam<std::uint64_t> {};

// Guards against a short job that is never started because the only machine for it pulls once per
// heartbeat, and the quota granted after each refused pull was given up before the next one.
TEST_P(QuotaOfPulledJob, IsHeldUntilTheNextPull) {
  spdlog::set_level(std::getenv("SIM_LOG") ? spdlog::level::debug : spdlog::level::off);
  SimulatedWorld world(GetParam());
  auto settings = fleet_settings();
  settings.teams = {{"red", {400, 600, 0, 0}}, {"blue", {}}};
  SimulatedCluster cluster(world, settings,
                           {.machines_per_pool = 1, .scripted = true, .boot_failure_share = 0});
  cluster.stop_arrivals();
  cluster.run(10s);
  for (int i = 0; i < 4; ++i) {
    auto job = plain(cluster, false, 1, "red", 20, 4);
    job.spot = false;
    job.zone = "b";
    job.types = std::vector<std::string>{"large"};
    submit(cluster, job);
    const auto submitted = world.now();
    while (cluster.final_phase(job.uid).empty() && world.now() - submitted < 200s) cluster.run(1s);
    EXPECT_EQ(cluster.final_phase(job.uid), "done") << "job " << i;
  }
  EXPECT_EQ(violations(cluster.invariants()), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaOfPulledJob, testing::Range<std::uint64_t>(1, 9));
}  // namespace
}  // namespace limemast

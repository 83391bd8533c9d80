// Machines move away from a controller that has more work than the others.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "load/load_scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;

// The leader's event loop is made four times as slow as the others'.
TEST(Rebalancing, MachinesLeaveTheMostLoadedControllerUntilLoadsAreEven) {
  spdlog::set_level(spdlog::level::off);
  SimulatedWorld world(9);
  SimulatedCluster cluster(
      world, fleet_settings(),
      {.machines_per_pool = 40, .early_heartbeat_replaces_next = true, .scripted = true});
  start_services(cluster, 4);
  for (int i = 0; i < 4; ++i) submit(cluster, array_job(cluster, 300, 60));
  cluster.run(60s);
  const auto leader = cluster.leader();
  const auto machines_before = cluster.machines_of(leader);
  const auto leases_lost = cluster.leases_lost();
  cluster.set_processing_time(600us);
  cluster.slow_down(leader, 4, 600s);
  cluster.run(200s);
  const auto redirected = cluster.redirected();
  EXPECT_GT(redirected, 10U);
  EXPECT_LT(cluster.machines_of(leader), machines_before * 3 / 4)
      << redirected << " of " << machines_before;
  EXPECT_EQ(cluster.leases_lost(), leases_lost);
  EXPECT_EQ(violations(cluster.invariants()), "");
  cluster.run(100s);
  EXPECT_LT(cluster.redirected() - redirected, redirected / 2 + 10) << "it does not come to rest";
}
}  // namespace
}  // namespace limemast

// Messages between controllers while a failover keeps jobs from being assigned.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "load/load_scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;

// Each machine used to pull once a second for each job behind the failover barrier: thousands of
// messages with one answer.
TEST(FailoverPulls, JobsBehindTheFailoverBarrierAreNotPulledFor) {
  spdlog::set_level(spdlog::level::off);
  SimulatedWorld world(4);
  SimulatedCluster cluster(
      world, fleet_settings(),
      {.machines_per_pool = 40, .early_heartbeat_replaces_next = true, .scripted = true});
  start_services(cluster, 6);
  for (int i = 0; i < 120; ++i) submit(cluster, array_job(cluster, 90, 40));
  cluster.run(40s);
  // While the machines' heartbeats are lost the barrier is not passed, and nothing can be assigned.
  const auto crashed = (cluster.leader() + 1) % 3;
  cluster.crash(crashed, 60s);
  cluster.cut((crashed + 1) % 3, SimulatedCluster::Side::Workers, false, 14s);
  cluster.run(8s);
  const auto pulls_before = cluster.messages("pull");
  cluster.run(6s);
  EXPECT_LT(cluster.messages("pull") - pulls_before, 2500U)
      << "in six seconds, by some 400 machines and 120 jobs";
  cluster.run(250s);
  EXPECT_EQ(violations(cluster.invariants()), "");
}
}  // namespace
}  // namespace limemast

// Messages between controllers while a failover prevents the assignment of tasks.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "load/load_scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;

// Guards against machines that pull tasks every second for each job that the failover barrier
// blocks, which causes thousands of identical responses.
TEST(FailoverPulls, JobsBlockedByTheFailoverBarrierCauseNoPulls) {
  spdlog::set_level(spdlog::level::off);
  SimulatedWorld world(4);
  SimulatedCluster cluster(
      world, fleet_settings(),
      {.machines_per_pool = 40, .early_heartbeat_replaces_next = true, .scripted = true});
  start_services(cluster, 6);
  for (int i = 0; i < 120; ++i) submit(cluster, array_job(cluster, 90, 40));
  cluster.run(40s);
  // The barrier cannot open while heartbeats of machines are lost, so no task can be assigned.
  const auto crashed = (cluster.leader() + 1) % 3;
  cluster.crash(crashed, 60s);
  cluster.cut((crashed + 1) % 3, SimulatedCluster::Side::Workers, false, 14s);
  cluster.run(8s);
  const auto pulls_before = cluster.messages("pull");
  cluster.run(6s);
  EXPECT_LT(cluster.messages("pull") - pulls_before, 2500U)
      << "pull messages within 6 s, from about 400 machines for 120 jobs";
  cluster.run(250s);
  EXPECT_EQ(violations(cluster.invariants()), "");
}
}  // namespace
}  // namespace limemast

#include <chrono>
#include <cstdio>
#include <cstdlib>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include "simulation/scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;
using namespace std::chrono_literals;

// Restarts all controllers of a deployment of 1,200 machines while a third of the machines fails.
// Guards against failover waiting until the worker leases of all failed machines have expired.
TEST(LargeDeploymentTest, AllControllersRestartWhileAThirdOfTheMachinesFails) {
  spdlog::set_level(std::getenv("SIM_LOG") ? spdlog::level::info : spdlog::level::off);
  const auto begun = std::chrono::steady_clock::now();
  SimulatedWorld world(1);
  auto settings = fleet_settings();
  settings.store_requests_per_s = 400;
  settings.store_writes_per_s = 150;
  settings.cloud_requests_per_s = 20;
  settings.tuning.idle_return = wire::Seconds(300);
  SimulatedCluster cluster(world, settings, {.machines_per_pool = 100, .scripted = true});
  cluster.stop_arrivals();
  cluster.run(5s);
  std::vector<std::string> services;
  for (int i = 0; i < 20; ++i)
    services.push_back(submit(cluster, plain(cluster, true, 100, i % 2 ? "red" : "blue")));
  for (int i = 0; i < 40; ++i) submit(cluster, plain(cluster, false, 150, "red", 150));
  cluster.run(100s);
  const auto machines = cluster.up_machines();
  ASSERT_GT(machines, 1000U);
  auto replicas = [&] { return running(cluster, services); };
  ASSERT_GT(replicas(), 1900U);
  cluster.kill_machines(machines / 3);
  for (std::size_t i = 0; i < 3; ++i) cluster.crash(i, 3s);
  const std::size_t lost = replicas();
  EXPECT_LT(lost, 1500U);
  const auto at = world.now();
  while (replicas() < 1800 && world.now() - at < 150s) cluster.run(1s);
  const auto took = std::chrono::duration_cast<std::chrono::seconds>(world.now() - at);
  EXPECT_LT(took, 40s);
  EXPECT_TRUE(cluster.invariants().violations().empty())
      << cluster.invariants().violations().begin()->first << " "
      << cluster.invariants().violations().begin()->second;
  EXPECT_EQ(cluster.up_controllers(), 3U);
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  std::printf(
      "%zu machines, %zu replicas left of 2000 and 1800 after %lld s (simulated), %zu starts; "
      "played in %.1f s, %ld MB\n",
      machines, lost, static_cast<long long>(took.count()), cluster.invariants().starts(),
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count(),
      usage.ru_maxrss / 1024);
}
}  // namespace
}  // namespace limemast

#pragma once
// Jobs and deployments shared by the load tests.
#include "simulation/scenarios.hpp"

namespace limemast::simulation {
/// Returns an array job of the class "sync" and the team "blue", with `tasks` tasks of two CPUs
/// each.
inline wire::JobSpec array_job(SimulatedCluster& cluster, std::uint32_t tasks, double estimate_s) {
  auto spec = plain(cluster, false, tasks, "blue", estimate_s, 2);
  spec.workload = "sync";
  return spec;
}

/// Stops the random submissions, submits `services` services of 75 replicas each, and runs the
/// cluster until enough machines for them have booted.
inline void start_services(SimulatedCluster& cluster, std::size_t services) {
  cluster.stop_arrivals();
  cluster.run(std::chrono::seconds(5));
  for (std::size_t i = 0; i < services; ++i) submit(cluster, plain(cluster, true, 75, "red", 0, 8));
  cluster.run(std::chrono::seconds(110));
}
}  // namespace limemast::simulation

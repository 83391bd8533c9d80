// Measures a large simulated deployment:
//   large_deployment_bench restart MACHINES DELAY_S SEED
// restarts all controllers after a delay and prints machines, delay, seed, the simulated seconds
// until all controllers are ready, all machines have reported and all jobs have resumed, and the
// number of invariant violations. ASK_UNHEARD=1 in the environment enables that setting.
//   large_deployment_bench size MACHINES
// prints the sizes of the data in the store and in the leader.
#include <cstdio>
#include <cstdlib>
#include <string>

#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include "simulation/scenarios.hpp"
#include "wire/cbor.hpp"

namespace {
using namespace limemast;
using namespace limemast::simulation;

constexpr std::size_t kMachinePools = 12;  ///< of each type, zone and spot or on-demand

/// Fills the deployment with services and long arrays. Returns whether 95 % of the machines are up.
bool fill(SimulatedCluster& cluster, std::size_t machines) {
  cluster.stop_arrivals();
  cluster.run(5s);
  for (std::size_t i = 0; i < machines / 61; ++i) {
    const bool service = i % 5 < 3;
    submit(cluster, plain(cluster, service, service ? 75 : 180, i % 2 ? "red" : "blue",
                          service ? 0 : 400, 8));
  }
  for (int i = 0; i < 60 && cluster.up_machines() * 100 < machines * 95; ++i) cluster.run(5s);
  cluster.run(20s);
  return cluster.up_machines() * 100 >= machines * 95;
}

int measure_restart(std::size_t machines, double delay, std::uint64_t seed) {
  SimulatedWorld world(seed);
  auto settings = fleet_settings();
  settings.start.query_machines_after_restart = std::getenv("ASK_UNHEARD") != nullptr;
  SimulatedCluster cluster(world, settings,
                           {.machines_per_pool = machines / kMachinePools + 1, .scripted = true});
  if (!fill(cluster, machines)) return std::puts("fewer than 95 % of the machines are up"), 1;
  const auto machines_before = cluster.up_machines();
  for (std::size_t i = 0; i < 3; ++i) cluster.crash(i, seconds(delay));
  cluster.run(seconds(delay) + 1ms);
  const auto restarted_at = world.now();
  double ready_s = -1, reported_s = -1, resumed_s = -1;
  while (resumed_s < 0 && world.now() - restarted_at < 120s) {
    cluster.run(20ms);
    const double elapsed_s = net::to_seconds(world.now() - restarted_at).count();
    bool all_ready = true, jobs_resumed = true;
    for (std::size_t i = 0; i < 3; ++i) {
      const auto* controller = cluster.node(i);
      all_ready = all_ready && controller && controller->ready();
      jobs_resumed = jobs_resumed && controller && controller->ready() &&
                     controller->job_owner().failover_barrier_epoch() == ids::kNoEpoch;
      if (controller)
        for (const auto& [uid, job] : controller->job_owner().jobs())
          jobs_resumed = jobs_resumed && job->completions.loaded;
    }
    if (all_ready && ready_s < 0) ready_s = elapsed_s;
    const auto* leader = cluster.node(cluster.leader());
    if (all_ready && reported_s < 0 &&
        leader->registry().machine_statuses().size() >= machines_before)
      reported_s = elapsed_s;
    if (reported_s >= 0 && jobs_resumed) resumed_s = elapsed_s;
  }
  std::printf("%zu %.2f %llu %.2f %.2f %.2f %zu\n", machines, delay,
              static_cast<unsigned long long>(seed), ready_s, reported_s, resumed_s,
              cluster.invariants().violations().size());
  return cluster.invariants().violations().empty() ? 0 : 1;
}

int measure_size(std::size_t machines) {
  SimulatedWorld world(1);
  const auto settings = fleet_settings();
  SimulatedCluster cluster(world, settings,
                           {.machines_per_pool = machines / kMachinePools + 1, .scripted = true});
  if (!fill(cluster, machines)) return std::puts("fewer than 95 % of the machines are up"), 1;
  std::size_t records = 0, largest_bytes = 0, listed_machines = 0;
  cluster.state().for_each_key([&](const std::string& key, const wire::json& value) {
    if (!key.starts_with("w/machine/")) return;
    ++records;
    listed_machines += value.size();
    largest_bytes = std::max(largest_bytes, value.dump().size());
  });
  const auto* epoch = cluster.state().value("w/generation");
  const auto* leader = cluster.node(cluster.leader());
  const auto& map = leader->registry().long_task_map();
  const wire::json long_task_map{{"with_long", map.with_long_tasks},
                                 {"short_part", map.short_partition},
                                 {"kept_free", map.reserved_for_services},
                                 {"closed", leader->registry().cordoned_machines()}};
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  std::printf(
      "%zu machines up; %zu machine records list %zu of them, the largest has %zu of at most %.0f "
      "bytes; epoch record %zu bytes; long-task map %zu bytes; leader: %zu machine statuses, "
      "%zu registrations, %zu jobs; whole simulation %ld MB\n",
      cluster.up_machines(), records, listed_machines, largest_bytes, settings.max_value_kib * 1024,
      epoch ? epoch->dump().size() : 0, wire::to_cbor(long_task_map).size(),
      leader->registry().machine_statuses().size(), leader->registry().registrations().size(),
      leader->job_owner().jobs().size(), usage.ru_maxrss / 1024);
  return 0;
}
}  // namespace

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  const std::string mode = argc > 1 ? argv[1] : "";
  if (mode == "restart" && argc == 5)
    return measure_restart(std::stoul(argv[2]), std::stod(argv[3]), std::stoul(argv[4]));
  if (mode == "size" && argc == 3) return measure_size(std::stoul(argv[2]));
  std::fputs("large_deployment_bench: restart MACHINES DELAY_S SEED | size MACHINES\n", stderr);
  return 2;
}

// Measurements at the size of a fleet, in simulated time:
//   large_deployment_bench restart MACHINES DELAY_S SEED   (ASK_UNHEARD=1: with that setting) all
//   controllers end and are back after the delay: one line of seconds large_deployment_bench size
//   MACHINES what the controllers and the state service hold
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

/// Fills the fleet with services and long arrays; true once nearly all of its machines are up.
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

int restart(std::size_t machines, double delay, std::uint64_t seed) {
  SimulatedWorld world(seed);
  auto settings = fleet_settings();
  settings.start.query_machines_after_restart = std::getenv("ASK_UNHEARD") != nullptr;
  SimulatedCluster cluster(world, settings, {.per_pool = machines / 12 + 1, .scripted = true});
  if (!fill(cluster, machines)) return std::puts("the fleet did not fill"), 1;
  const auto up = cluster.up_machines();
  for (std::size_t i = 0; i < 3; ++i) cluster.crash(i, seconds(delay));
  cluster.run(seconds(delay) + 1ms);
  const auto begun = world.now();
  double ready = -1, heard = -1, going_on = -1;
  while (going_on < 0 && world.now() - begun < 120s) {
    cluster.run(20ms);
    const double t = net::to_seconds(world.now() - begun).count();
    bool all = true, known = true;
    for (std::size_t i = 0; i < 3; ++i) {
      const auto* n = cluster.node(i);
      all = all && n && n->ready();
      known = known && n && n->ready() && n->job_owner().failover_barrier_epoch() == ids::kNoEpoch;
      if (n)
        for (const auto& [uid, job] : n->job_owner().jobs())
          known = known && job->completions.loaded;
    }
    if (all && ready < 0) ready = t;
    const auto* leader = cluster.node(cluster.leader());
    if (all && heard < 0 && leader->registry().machine_statuses().size() >= up) heard = t;
    if (heard >= 0 && known) going_on = t;
  }
  std::printf("%zu %.2f %llu %.2f %.2f %.2f %zu\n", machines, delay,
              static_cast<unsigned long long>(seed), ready, heard, going_on,
              cluster.invariants().violations().size());
  return cluster.invariants().violations().empty() ? 0 : 1;
}

int size(std::size_t machines) {
  SimulatedWorld world(1);
  const auto settings = fleet_settings();
  SimulatedCluster cluster(world, settings, {.per_pool = machines / 12 + 1, .scripted = true});
  if (!fill(cluster, machines)) return std::puts("the fleet did not fill"), 1;
  std::size_t records = 0, largest = 0, names = 0;
  cluster.state().each([&](const std::string& key, const wire::json& value) {
    if (!key.starts_with("w/machine/")) return;
    ++records;
    names += value.size();
    largest = std::max(largest, value.dump().size());
  });
  const auto* epoch = cluster.state().value("w/generation");
  const auto* n = cluster.node(cluster.leader());
  const auto& map = n->registry().long_task_map();
  const wire::json told{{"with_long", map.with_long_tasks},
                        {"short_part", map.short_partition},
                        {"kept_free", map.reserved_for_services},
                        {"closed", n->registry().cordoned_machines()}};
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  std::printf(
      "%zu machines up: %zu records name %zu of them, the largest %zu bytes of %.0f; generation "
      "%zu bytes; map of long tasks %zu bytes; "
      "%zu views, %zu registered, %zu jobs at the leader; whole simulation %ld MB\n",
      cluster.up_machines(), records, names, largest, settings.max_value_kib * 1024,
      epoch ? epoch->dump().size() : 0, wire::to_cbor(told).size(),
      n->registry().machine_statuses().size(), n->registry().registrations().size(),
      n->job_owner().jobs().size(), usage.ru_maxrss / 1024);
  return 0;
}
}  // namespace

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "restart" && argc == 5)
    return restart(std::stoul(argv[2]), std::stod(argv[3]), std::stoul(argv[4]));
  if (what == "size" && argc == 3) return size(std::stoul(argv[2]));
  std::fputs("large_deployment_bench: restart MACHINES DELAY_S SEED | size MACHINES\n", stderr);
  return 2;
}

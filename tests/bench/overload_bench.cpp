// Measures the cost of pending jobs for the controllers: choosing a probe and changing the
// remaining work of a job, compared with a list of copied probes per machine, and one second and
// one failover of a simulated deployment. CI does not run it; docs/notes/overload.md has the
// results.
#include <list>
#include <memory>

#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include "scheduling/probe_queue.hpp"
#include "simulation/scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;

constexpr std::uint32_t kMaxRemainingTasks = 300;
constexpr std::int64_t kMaxCopiedProbes = 512;  ///< per machine
constexpr std::size_t kProbedJobs = 500;
constexpr std::size_t kMachinePools = 12;  ///< of each type, zone and spot or on-demand

scheduling::ProbedJob make_job(std::size_t i, std::mt19937_64& random) {
  scheduling::ProbedJob job;
  job.uid = "wk-" + std::to_string(100000 + i);
  job.owner = ids::ControllerId("node-0", 1);
  job.estimate = wire::Seconds(20 + static_cast<double>(random() % 1000) / 100);
  job.remaining = 1 + static_cast<std::uint32_t>(random() % kMaxRemainingTasks);
  job.need = {2, 4, 0};
  return job;
}

/// A machine pulls a task: one of its probes is chosen, the bypassed probes are credited, and the
/// job's remaining work decreases.
void BM_ChooseProbe(benchmark::State& state) {
  std::mt19937_64 random(1);
  scheduling::ProbeTable table;
  scheduling::ProbeQueue queue(table, 3, 5);
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    const auto job = table.upsert(make_job(static_cast<std::size_t>(i), random));
    if (!queue.add(job)) table.erase_if_unprobed(job);
  }
  const auto fits = [](const wire::Resources& need) { return need.cpus <= 2; };
  for (auto _ : state) {
    const auto job = queue.choose({}, fits);
    benchmark::DoNotOptimize(job);
    const auto remaining = table.at(*job).remaining;
    table.set_remaining(*job, remaining > 1 ? remaining - 1 : kMaxRemainingTasks);
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_ChooseProbe)->Arg(10)->Arg(100)->Arg(500)->Arg(2500)->Complexity();

/// A probe with its own copy of the job's data, as an alternative to the shared ProbeTable.
struct CopiedProbe {
  std::string uid, owner;
  double estimate, bypassed = 0;
  std::uint32_t remaining;
  double cpus, ram_gb, accelerators;
  net::Time not_before{};
};
void BM_ChooseFromCopiedProbes(benchmark::State& state) {
  std::mt19937_64 random(1);
  std::list<CopiedProbe> probes;
  for (std::int64_t i = 0; i < std::min<std::int64_t>(state.range(0), kMaxCopiedProbes); ++i) {
    const auto job = make_job(static_cast<std::size_t>(i), random);
    probes.push_back(
        {job.uid, job.owner.text(), job.estimate.count(), 0, job.remaining, 2, 4, 0, {}});
  }
  for (auto _ : state) {
    CopiedProbe* best = nullptr;
    double max_estimate = 1e300;
    for (auto& probe : probes) {
      if (probe.not_before > net::Time{} || probe.cpus > 2 || probe.ram_gb > 64 ||
          probe.accelerators > 0)
        continue;
      if ((!best || probe.remaining * probe.estimate < best->remaining * best->estimate) &&
          probe.estimate <= max_estimate)
        best = &probe;
      max_estimate = std::min(max_estimate, 5 * probe.estimate - probe.bypassed);
    }
    benchmark::DoNotOptimize(best);
    best->remaining = best->remaining > 1 ? best->remaining - 1 : kMaxRemainingTasks;
  }
}
BENCHMARK(BM_ChooseFromCopiedProbes)->Arg(10)->Arg(100)->Arg(500)->Arg(2500);

/// An owner updates the remaining tasks of one job. Each job has a probe at every machine.
/// Argument: machines.
void BM_UpdateRemainingTasks(benchmark::State& state) {
  std::mt19937_64 random(1);
  scheduling::ProbeTable table;
  std::vector<std::unique_ptr<scheduling::ProbeQueue>> queues;
  for (std::int64_t m = 0; m < state.range(0); ++m)
    queues.push_back(
        std::make_unique<scheduling::ProbeQueue>(table, static_cast<ids::DenseId>(m), 5));
  std::vector<ids::DenseId> jobs;
  for (std::size_t i = 0; i < kProbedJobs; ++i) {
    jobs.push_back(table.upsert(make_job(i, random)));
    for (auto& queue : queues) queue->add(jobs.back());
  }
  for (auto _ : state) {
    const auto remaining = static_cast<std::uint32_t>(random() % kMaxRemainingTasks);
    table.set_remaining(jobs[random() % jobs.size()], remaining);
  }
}
BENCHMARK(BM_UpdateRemainingTasks)->Arg(300)->Arg(1200)->Arg(1840)->Arg(5000);

/// A deployment whose machines are all full, with pending short jobs.
struct FullDeployment {
  SimulatedWorld world{7};
  SimulatedCluster cluster;
  FullDeployment(std::size_t machines, std::size_t jobs)
      : cluster(world, settings(),
                {.machines_per_pool = machines / kMachinePools + 1, .scripted = true}) {
    spdlog::set_level(spdlog::level::off);
    cluster.stop_arrivals();
    cluster.run(5s);
    for (std::size_t i = 0; i < machines / 100; ++i)
      submit(cluster, plain(cluster, false, 700, "blue", 50, 2));
    cluster.run(60s);
    for (std::size_t i = 0; i < jobs; ++i)
      submit(cluster, plain(cluster, false, 20, "blue", 40, 2));
    cluster.run(20s);
  }
  static wire::Settings settings() {
    auto s = fleet_settings();
    s.store_requests_per_s = 5000;
    s.store_writes_per_s = 5000;
    return s;
  }
};
/// One simulated second. Arguments: machines, pending jobs.
void BM_SimulatedSecond(benchmark::State& state) {
  FullDeployment deployment(static_cast<std::size_t>(state.range(0)),
                            static_cast<std::size_t>(state.range(1)));
  for (auto _ : state) deployment.cluster.run(1s);
}
BENCHMARK(BM_SimulatedSecond)
    ->ArgsProduct({{300, 1200, 1840}, {10, 500, 2500}})
    ->Iterations(5)
    ->Unit(benchmark::kMillisecond);

/// Ten simulated seconds in which one controller crashes and the others take over its jobs.
/// Arguments: machines, pending jobs.
void BM_Failover(benchmark::State& state) {
  FullDeployment deployment(static_cast<std::size_t>(state.range(0)),
                            static_cast<std::size_t>(state.range(1)));
  for (auto _ : state) {
    deployment.cluster.crash((deployment.cluster.leader() + 1) % 3, 60s);
    deployment.cluster.run(10s);
  }
}
BENCHMARK(BM_Failover)
    ->ArgsProduct({{300, 1200}, {10, 500, 2500}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
}  // namespace
}  // namespace limemast

BENCHMARK_MAIN();

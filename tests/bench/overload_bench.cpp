// What waiting jobs cost the controllers: a choice and a change of remaining work, as now and as it
// was with a list of copies for each machine; a second and a takeover of a whole deployment. Not
// part of CI: the figures stand in docs/notes/overload.md.
#include <list>
#include <memory>

#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include "scheduling/probe_queue.hpp"
#include "simulation/scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;

scheduling::ProbedJob job_of(std::size_t i, std::mt19937_64& random) {
  scheduling::ProbedJob j;
  j.uid = "wk-" + std::to_string(100000 + i);
  j.owner = ids::ControllerId("node-0", 1);
  j.estimate = wire::Seconds(20 + static_cast<double>(random() % 1000) / 100);
  j.remaining = 1 + static_cast<std::uint32_t>(random() % 300);
  j.need = {2, 4, 0};
  return j;
}

/// A pull: the choice among the probes of one machine, a task handed out, the passed ones
/// compensated.
void BM_Choose(benchmark::State& state) {
  std::mt19937_64 random(1);
  scheduling::ProbeTable table;
  scheduling::ProbeQueue queue(table, 3, 5);
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    const auto n = table.upsert(job_of(static_cast<std::size_t>(i), random));
    if (!queue.add(n)) table.erase_if_unprobed(n);
  }
  const auto fits = [](const wire::Resources& n) { return n.cpus <= 2; };
  for (auto _ : state) {
    const auto n = queue.choose({}, fits);
    benchmark::DoNotOptimize(n);
    const auto left = table.at(*n).remaining;
    table.set_remaining(*n, left > 1 ? left - 1 : 300);
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_Choose)->Arg(10)->Arg(100)->Arg(500)->Arg(2500)->Complexity();

struct Copy {
  std::string uid, owner;
  double estimate, bypassed = 0;
  std::uint32_t remaining;
  double cpus, ram_gb, accelerators;
  net::Time not_before{};
};
void BM_ChooseFromCopies(benchmark::State& state) {
  std::mt19937_64 random(1);
  std::list<Copy> probes;
  for (std::int64_t i = 0; i < std::min<std::int64_t>(state.range(0), 512); ++i) {
    const auto j = job_of(static_cast<std::size_t>(i), random);
    probes.push_back({j.uid, j.owner.text(), j.estimate.count(), 0, j.remaining, 2, 4, 0, {}});
  }
  for (auto _ : state) {
    Copy* best = nullptr;
    double may_pass = 1e300;
    for (auto& p : probes) {
      if (p.not_before > net::Time{} || p.cpus > 2 || p.ram_gb > 64 || p.accelerators > 0) continue;
      if ((!best || p.remaining * p.estimate < best->remaining * best->estimate) &&
          p.estimate <= may_pass)
        best = &p;
      may_pass = std::min(may_pass, 5 * p.estimate - p.bypassed);
    }
    benchmark::DoNotOptimize(best);
    best->remaining = best->remaining > 1 ? best->remaining - 1 : 300;
  }
}
BENCHMARK(BM_ChooseFromCopies)->Arg(10)->Arg(100)->Arg(500)->Arg(2500);

/// An owner says how much is left of one of 500 jobs that has a probe at each of so many machines.
void BM_RemainingChange(benchmark::State& state) {
  std::mt19937_64 random(1);
  scheduling::ProbeTable table;
  std::vector<std::unique_ptr<scheduling::ProbeQueue>> queues;
  for (std::int64_t m = 0; m < state.range(0); ++m)
    queues.push_back(
        std::make_unique<scheduling::ProbeQueue>(table, static_cast<ids::DenseId>(m), 5));
  std::vector<ids::DenseId> jobs;
  for (std::size_t i = 0; i < 500; ++i) {
    jobs.push_back(table.upsert(job_of(i, random)));
    for (auto& q : queues) q->add(jobs.back());
  }
  for (auto _ : state)
    table.set_remaining(jobs[random() % jobs.size()], static_cast<std::uint32_t>(random() % 300));
}
BENCHMARK(BM_RemainingChange)->Arg(300)->Arg(1200)->Arg(1840)->Arg(5000);

/// A deployment of so many machines, all full, with so many short jobs waiting.
struct Waiting {
  SimulatedWorld world{7};
  SimulatedCluster cluster;
  Waiting(std::size_t machines, std::size_t jobs)
      : cluster(world, settings(), {.per_pool = machines / 12 + 1, .scripted = true}) {
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
void BM_Second(benchmark::State& state) {
  Waiting w(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
  for (auto _ : state) w.cluster.run(1s);
}
BENCHMARK(BM_Second)
    ->ArgsProduct({{300, 1200, 1840}, {10, 500, 2500}})
    ->Iterations(5)
    ->Unit(benchmark::kMillisecond);

/// One controller ends; the ten seconds in which the others take its jobs over.
void BM_Takeover(benchmark::State& state) {
  Waiting w(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
  for (auto _ : state) {
    w.cluster.crash((w.cluster.leader() + 1) % 3, 60s);
    w.cluster.run(10s);
  }
}
BENCHMARK(BM_Takeover)
    ->ArgsProduct({{300, 1200}, {10, 500, 2500}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
}  // namespace
}  // namespace limemast

BENCHMARK_MAIN();

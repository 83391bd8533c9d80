// Measures the cost of tracking why jobs are pending: one update at growing queue lengths, and a
// simulated deployment with and without the operator API. CI does not run it; docs/notes/console.md
// has the results.
#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include "operator_api/console_cluster.hpp"

namespace limemast {
namespace {
using namespace simulation;

std::string uid_of(std::size_t i) {
  const auto digits = std::to_string(i);
  return "wk-" + std::string(6 - std::min<std::size_t>(6, digits.size()), '0') + digits;
}

/// One of `range` jobs changes its queue position and its pending reason.
void BM_PendingReasonUpdate(benchmark::State& state) {
  const auto n = static_cast<std::size_t>(state.range(0));
  diagnostics::PendingReasonTable pending_reasons(true);
  std::vector<std::string> uids;
  for (std::size_t i = 0; i < n; ++i) {
    uids.push_back(uid_of(i));
    pending_reasons.record(uids.back(), diagnostics::PendingReason::Resources, 10,
                           SimulatedWorld::start());
    pending_reasons.long_job_queue().put(uids.back(),
                                         {static_cast<std::int64_t>(i), 0, 0, 0, 0, 0});
  }
  std::mt19937_64 random(1);
  std::int64_t step = 0;
  for (auto _ : state) {
    const auto& uid = uids[random() % n];
    pending_reasons.record(
        uid,
        ++step % 2 ? diagnostics::PendingReason::Draining : diagnostics::PendingReason::Resources,
        10, SimulatedWorld::start() + std::chrono::milliseconds(step));
    pending_reasons.long_job_queue().put(uid,
                                         {static_cast<std::int64_t>(random() % n), 0, 0, 0, 0, 0});
    benchmark::DoNotOptimize(pending_reasons.long_job_queue().position(uid));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_PendingReasonUpdate)
    ->RangeMultiplier(10)
    ->Range(100, 100'000)
    ->Complexity(benchmark::oLogN);

/// One simulated second of three controllers with 10,000 pending jobs of ten tasks each. The
/// operator API is off with argument 0, on with 1, and gets ten rehearsed requests a second with 2.
void BM_SimulatedSecondWithPendingJobs(benchmark::State& state) {
  spdlog::set_level(spdlog::level::off);
  SimulatedWorld world(3);
  auto settings = settings_with_operators();
  settings.operators.enabled = state.range(0) > 0;
  settings.operators.self_requests_per_s = state.range(0) == 2 ? 10 : 0;
  settings.store_requests_per_s = 5'000;
  settings.store_writes_per_s = 5'000;
  SimulatedCluster cluster(world, settings, {.mean_submission_interval_s = 6, .scripted = true});
  cluster.stop_arrivals();
  cluster.run(10s);
  for (std::size_t i = 0; i < 10'000; ++i) {
    auto s = cluster.random_job();
    s.team = "red";
    s.service = s.spread = s.one_zone = s.spot = false;
    s.tasks = 10;
    s.cpus = 4;
    s.zone.reset();
    s.types.reset();
    s.estimate = wire::Seconds(5000);
    cluster.submit(s);
    if (i % 100 == 99) cluster.run(200ms);
  }
  cluster.run(30s);
  for (auto _ : state) cluster.run(1s);
  state.counters["waiting"] =
      static_cast<double>(cluster.node(cluster.leader())->pending_reasons().size());
}
BENCHMARK(BM_SimulatedSecondWithPendingJobs)
    ->Arg(0)
    ->Arg(1)
    ->Arg(2)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(20);
}  // namespace
}  // namespace limemast
BENCHMARK_MAIN();

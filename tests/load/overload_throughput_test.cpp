// How many tasks an overloaded deployment still starts.
#include <cstdio>
#include <cstdlib>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "load/load_scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;

constexpr auto kWarmUp = 30s;
constexpr auto kMeasured = 40s;
/// Arrays of six tasks per second that the slow controllers can just take.
constexpr double kSustainableArraysPerSecond = 0.35;

/// Tasks started per second by a deployment whose controllers are slow. `load`: submissions as a
/// multiple of what is sustainable.
double started_per_second(double load, bool admission_control, bool one_slower) {
  SimulatedWorld world(5);
  auto settings = fleet_settings();
  if (!admission_control) settings.overload.max_loop_lag = wire::Seconds(0);
  SimulatedCluster cluster(
      world, settings,
      {.machines_per_pool = 8, .early_heartbeat_replaces_next = true, .scripted = true});
  start_services(cluster, 1);
  submit(cluster, array_job(cluster, 60, 400));  // keeps the machines from being released
  cluster.run(40s);
  cluster.set_processing_time(2500us);
  if (one_slower) cluster.slow_down(0, 5, 600s);
  std::size_t starts_before = 0;
  double due = 0;
  constexpr auto kStep = 100ms;
  for (net::Duration at{}; at < kWarmUp + kMeasured; at += kStep) {
    if (at == kWarmUp) starts_before = cluster.invariants().starts();
    for (due += kSustainableArraysPerSecond * load; due >= 1; due -= 1)
      submit(cluster, array_job(cluster, 6, 4));
    cluster.run(kStep);
  }
  EXPECT_EQ(violations(cluster.invariants()), "");
  return static_cast<double>(cluster.invariants().starts() - starts_before) /
         net::to_seconds(kMeasured).count();
}

/// The parameter: one controller is five times as slow as the others.
class OverloadThroughput : public testing::TestWithParam<bool> {};

// For the plot (bench/plots/flood.gp): NO_ADMISSION_CONTROL measures without, SHOW_CURVE prints.
TEST_P(OverloadThroughput, DoesNotFallAsTheLoadGrows) {
  spdlog::set_level(spdlog::level::off);
  const bool admission_control = std::getenv("NO_ADMISSION_CONTROL") == nullptr;
  double best = 0;
  std::string curve;
  for (const double load : {0.5, 1.0, 2.0, 4.0, 8.0}) {
    const auto rate = started_per_second(load, admission_control, GetParam());
    curve += std::to_string(load) + ": " + std::to_string(rate) + "; ";
    EXPECT_GE(rate, best * 0.8) << curve;
    best = std::max(best, rate);
  }
  if (std::getenv("SHOW_CURVE") != nullptr) std::puts(curve.c_str());
  EXPECT_GT(best, 10) << curve;
}

INSTANTIATE_TEST_SUITE_P(Controllers, OverloadThroughput, testing::Bool(),
                         [](const auto& info) { return info.param ? "OneSlower" : "EquallyFast"; });
}  // namespace
}  // namespace limemast

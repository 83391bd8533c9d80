// The rate at which an overloaded deployment starts tasks.
#include <cstdio>
#include <cstdlib>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "load/load_scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;

constexpr auto kWarmUp = 30s;
constexpr auto kMeasurement = 40s;
/// The highest submission rate of six-task arrays that the slow controllers can sustain.
constexpr double kSustainableArraysPerSecond = 0.35;

/// Returns the tasks started per second by a deployment with slow controllers. `load` is the
/// submission rate as a multiple of the sustainable one.
double started_per_second(double load, bool admission_control, bool one_controller_slower) {
  SimulatedWorld world(5);
  auto settings = fleet_settings();
  if (!admission_control) settings.overload.max_loop_lag = wire::Seconds(0);
  SimulatedCluster cluster(
      world, settings,
      {.machines_per_pool = 8, .early_heartbeat_replaces_next = true, .scripted = true});
  start_services(cluster, 1);
  submit(cluster,
         array_job(cluster, 60, 400));  // Keeps the machines busy, so that none is released.
  cluster.run(40s);
  cluster.set_processing_time(2500us);
  if (one_controller_slower) cluster.slow_down(0, 5, 600s);
  std::size_t starts_before = 0;
  double due_submissions = 0;
  constexpr auto kStep = 100ms;
  for (net::Duration elapsed{}; elapsed < kWarmUp + kMeasurement; elapsed += kStep) {
    if (elapsed == kWarmUp) starts_before = cluster.invariants().starts();
    for (due_submissions += kSustainableArraysPerSecond * load; due_submissions >= 1;
         due_submissions -= 1)
      submit(cluster, array_job(cluster, 6, 4));
    cluster.run(kStep);
  }
  EXPECT_EQ(violations(cluster.invariants()), "");
  return static_cast<double>(cluster.invariants().starts() - starts_before) /
         net::to_seconds(kMeasurement).count();
}

/// The parameter says whether one controller is five times as slow as the others.
class OverloadThroughput : public testing::TestWithParam<bool> {};

// Guards against throughput that collapses under overload. For the plot bench/plots/flood.gp, the
// environment variable SHOW_CURVE prints the rates, and NO_ADMISSION_CONTROL disables admission
// control.
TEST_P(OverloadThroughput, DoesNotFallAsTheLoadGrows) {
  spdlog::set_level(spdlog::level::off);
  const bool admission_control = std::getenv("NO_ADMISSION_CONTROL") == nullptr;
  double highest_rate = 0;
  std::string curve;
  for (const double load : {0.5, 1.0, 2.0, 4.0, 8.0}) {
    const auto rate = started_per_second(load, admission_control, GetParam());
    curve += std::to_string(load) + ": " + std::to_string(rate) + "; ";
    EXPECT_GE(rate, highest_rate * 0.8) << curve;
    highest_rate = std::max(highest_rate, rate);
  }
  if (std::getenv("SHOW_CURVE") != nullptr) std::puts(curve.c_str());
  EXPECT_GT(highest_rate, 10) << curve;
}

INSTANTIATE_TEST_SUITE_P(Controllers, OverloadThroughput, testing::Bool(),
                         [](const auto& info) { return info.param ? "OneSlower" : "EquallyFast"; });
}  // namespace
}  // namespace limemast

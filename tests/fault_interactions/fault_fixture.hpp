#pragma once
#include <algorithm>
#include <cstdlib>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulation/scenarios.hpp"

namespace limemast {
using namespace simulation;
using namespace std::chrono_literals;
using Side = SimulatedCluster::Side;

/// Three controllers, about fifty machines, and jobs that neither fail nor are cancelled at random.
/// The invariants are checked after every step against the tasks on the machines and the responses
/// that users received.
class FaultInteraction : public testing::TestWithParam<std::uint64_t> {
 protected:
  explicit FaultInteraction(wire::Settings settings = default_settings(),
                            SimulatedCluster::Options options = {.machines_per_pool = 4,
                                                                 .scripted = true})
      : settings_(std::move(settings)), cluster_(world_, settings_, options) {}
  static wire::Settings default_settings() {
    auto settings = settings_for_tests();
    settings.teams = {{"red", {400, 600, 0, 0}}, {"blue", {}}};
    settings.tuning.idle_return = wire::Seconds(120);
    return settings;
  }
  void SetUp() override {
    spdlog::set_level(std::getenv("SIM_LOG") ? spdlog::level::debug : spdlog::level::off);
    cluster_.stop_arrivals();
    cluster_.run(10s);
  }
  void TearDown() override {
    RecordProperty(
        "longest_after_cancel_ms",
        static_cast<int>(net::to_seconds(cluster_.invariants().longest_after_cancel()).count() *
                         1000));
    EXPECT_EQ(violations(cluster_.invariants()), "");
    EXPECT_EQ(cluster_.attempts_started_twice(), 0u);
    EXPECT_EQ(cluster_.state().unconditionally_written_keys(), std::set<std::string>());
  }
  /// Submits array jobs of `tasks` tasks each and returns their UIDs. Jobs whose `estimate_s`
  /// exceeds 60 s are scheduled by the leader.
  std::vector<std::string> submit_arrays(int count, std::uint32_t tasks, double estimate_s) {
    std::vector<std::string> uids;
    for (int i = 0; i < count; ++i)
      uids.push_back(
          submit(cluster_, plain(cluster_, false, tasks, i % 2 ? "red" : "blue", estimate_s)));
    return uids;
  }
  std::vector<std::string> submit_services(int count, std::uint32_t tasks) {
    std::vector<std::string> uids;
    for (int i = 0; i < count; ++i)
      uids.push_back(submit(cluster_, plain(cluster_, true, tasks, i % 2 ? "red" : "blue")));
    return uids;
  }
  /// Runs the cluster in steps of 100 ms until `condition` holds or `timeout` has passed, and
  /// returns the simulated time that this took.
  template <class Condition>
  Duration run_until(Duration timeout, Condition condition) {
    const auto started = world_.now();
    while (world_.now() - started < timeout && !condition()) cluster_.run(100ms);
    return world_.now() - started;
  }
  bool all_done(const std::vector<std::string>& uids) const {
    return std::all_of(uids.begin(), uids.end(),
                       [&](const auto& uid) { return cluster_.final_phase(uid) == "done"; });
  }
  bool all_ended(const std::vector<std::string>& uids) const {
    return std::none_of(uids.begin(), uids.end(),
                        [&](const auto& uid) { return cluster_.final_phase(uid).empty(); });
  }
  std::size_t leader() const { return cluster_.leader(); }
  void cancel(const std::vector<std::string>& jobs) {
    for (const auto& uid : jobs) cluster_.cancel(uid);
  }
  std::size_t count_cancelled(const std::vector<std::string>& jobs) const {
    return static_cast<std::size_t>(std::count_if(jobs.begin(), jobs.end(), [&](const auto& uid) {
      return cluster_.final_phase(uid) == "cancelled";
    }));
  }
  /// Draws a number between `low` and `high` from the seeded generator of the simulation.
  double uniform(double low, double high) { return world_.uniform(low, high); }

  SimulatedWorld world_{GetParam()};
  wire::Settings settings_;
  SimulatedCluster cluster_;
};
}  // namespace limemast

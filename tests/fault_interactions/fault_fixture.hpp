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

/// Three controllers, some fifty machines, and jobs that end or are cancelled when the test says
/// so. The rules are checked from outside after every step: by what machines hold and what users
/// were told.
class FaultInteraction : public testing::TestWithParam<std::uint64_t> {
 protected:
  explicit FaultInteraction(wire::Settings s = settings(),
                            SimulatedCluster::Options options = {.machines_per_pool = 4,
                                                                 .scripted = true})
      : settings_(std::move(s)), cluster_(world_, settings_, options) {}
  static wire::Settings settings() {
    auto s = settings_for_tests();
    s.teams = {{"red", {400, 600, 0, 0}}, {"blue", {}}};
    s.tuning.idle_return = wire::Seconds(120);
    return s;
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
    EXPECT_EQ(cluster_.state().unconditionally_written_keys(), std::set<std::string>());
  }
  /// Arrays of a few tasks each; `estimate_s` above 60: they are the leader's.
  std::vector<std::string> arrays(int count, std::uint32_t tasks, double estimate_s) {
    std::vector<std::string> out;
    for (int i = 0; i < count; ++i)
      out.push_back(
          submit(cluster_, plain(cluster_, false, tasks, i % 2 ? "red" : "blue", estimate_s)));
    return out;
  }
  std::vector<std::string> services(int count, std::uint32_t tasks) {
    std::vector<std::string> out;
    for (int i = 0; i < count; ++i)
      out.push_back(submit(cluster_, plain(cluster_, true, tasks, i % 2 ? "red" : "blue")));
    return out;
  }
  /// How long until `done`, in steps of 100 ms; `most` if it is never so.
  template <class Done>
  Duration until(Duration most, Done done) {
    const auto begun = world_.now();
    while (world_.now() - begun < most && !done()) cluster_.run(100ms);
    return world_.now() - begun;
  }
  bool all_done(const std::vector<std::string>& uids) const {
    return std::all_of(uids.begin(), uids.end(),
                       [&](const auto& uid) { return cluster_.final_phase(uid) == "done"; });
  }
  std::size_t leader() const { return cluster_.leader(); }
  void cancel(const std::vector<std::string>& jobs) {
    for (const auto& uid : jobs) cluster_.cancel(uid);
  }
  std::size_t cancelled(const std::vector<std::string>& jobs) const {
    return static_cast<std::size_t>(std::count_if(jobs.begin(), jobs.end(), [&](const auto& uid) {
      return cluster_.final_phase(uid) == "cancelled";
    }));
  }
  double s(double low, double high) { return world_.uniform(low, high); }

  SimulatedWorld world_{GetParam()};
  wire::Settings settings_;
  SimulatedCluster cluster_;
};
}  // namespace limemast

// Service levels during a flood of submissions while controllers fail.
#include <algorithm>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "diagnostics/slo_attainment.hpp"
#include "load/load_scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;

class SubmissionFlood : public testing::Test {
 protected:
  SubmissionFlood()
      : world_(11),
        cluster_(
            world_, fleet_settings(),
            {.machines_per_pool = 154, .early_heartbeat_replaces_next = true, .scripted = true}) {
    spdlog::set_level(spdlog::level::off);
  }

  /// Submits seven arrays per second for 45 s. The usual rate is one array per 3.5 s.
  void flood() {
    for (int second = 0; second < 45; ++second) {
      for (int i = 0; i < 7; ++i) arrays_.push_back(submit(cluster_, array_job(cluster_, 50, 25)));
      cluster_.run(1s);
    }
  }
  /// Crashes one controller; pauses another one and then cuts it off from its peers.
  void fail_controllers() {
    const auto crashed = (cluster_.leader() + 1) % 3;
    const auto isolated = (cluster_.leader() + 2) % 3;
    cluster_.crash(crashed, 3s);
    cluster_.run(20s);
    cluster_.freeze(isolated, 4s);
    cluster_.run(15s);
    cluster_.cut(isolated, SimulatedCluster::Side::Peers, true, 15s);
  }
  /// Submits a service and returns the seconds until both its replicas run, at most 40.
  double seconds_until_service_runs() {
    const auto uid = submit(cluster_, plain(cluster_, true, 2, "red", 0, 8));
    const auto submitted = world_.now();
    while (cluster_.running()[uid] < 2 && world_.now() - submitted < 40s) cluster_.run(100ms);
    return net::to_seconds(world_.now() - submitted).count();
  }
  std::size_t unfinished_arrays() {
    const auto unfinished = cluster_.unfinished();
    const auto count = std::count_if(arrays_.begin(), arrays_.end(), [&](const auto& uid) {
      return std::find(unfinished.begin(), unfinished.end(), uid) != unfinished.end();
    });
    return static_cast<std::size_t>(count);
  }

  SimulatedWorld world_;
  SimulatedCluster cluster_;
  std::vector<std::string> arrays_;
};

TEST_F(SubmissionFlood, EachClassIsServedAndServicesStartWhileControllersFail) {
  start_services(cluster_, 11);
  for (int i = 0; i < 30; ++i) arrays_.push_back(submit(cluster_, array_job(cluster_, 300, 60)));
  cluster_.run(40s);
  ASSERT_GT(cluster_.up_machines(), 1400U);
  const auto leases_lost = cluster_.leases_lost();
  flood();
  fail_controllers();
  // Services have a higher rank than all waiting arrays.
  std::vector<double> waits_s;
  for (int i = 0; i < 10; ++i) waits_s.push_back(seconds_until_service_runs());
  std::sort(waits_s.begin(), waits_s.end());
  EXPECT_LT(waits_s[8], 12)
      << "fetching an image takes about 2 s, and one controller is cut off for 15 s";
  cluster_.run(60s);
  EXPECT_EQ(violations(cluster_.invariants()), "");
  EXPECT_EQ(cluster_.leases_lost(), leases_lost)
      << "worker leases that expired, before and after the controller failures";
  EXPECT_LT(unfinished_arrays(), arrays_.size() / 2);
  const auto& attainment = cluster_.node(cluster_.leader())->slo_attainment();
  for (const auto* sums : {&attainment.classes(), &attainment.teams()})
    for (const auto& [name, sum] : *sums)
      EXPECT_GT(sum.window.served_fraction().value_or(1), 0.5) << name;
}
}  // namespace
}  // namespace limemast

// What a flood of submissions costs the controllers, and what still goes on in it.
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

  /// Seven arrays a second for 45 s; on an ordinary day one comes every three and a half seconds.
  void flood() {
    for (int second = 0; second < 45; ++second) {
      for (int i = 0; i < 7; ++i) arrays_.push_back(submit(cluster_, array_job(cluster_, 50, 25)));
      cluster_.run(1s);
    }
  }
  /// One controller crashes, one pauses and is then cut off from the others.
  void fail_controllers() {
    const auto crashed = (cluster_.leader() + 1) % 3;
    const auto isolated = (cluster_.leader() + 2) % 3;
    cluster_.crash(crashed, 3s);
    cluster_.run(20s);
    cluster_.freeze(isolated, 4s);
    cluster_.run(15s);
    cluster_.cut(isolated, SimulatedCluster::Side::Peers, true, 15s);
  }
  /// Seconds until both replicas of a new service run, at most 40.
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
  // A service is of higher rank than all that waits.
  std::vector<double> waits;
  for (int i = 0; i < 10; ++i) waits.push_back(seconds_until_service_runs());
  std::sort(waits.begin(), waits.end());
  EXPECT_LT(waits[8], 12)
      << "a replica fetches its image for some 2 s, and the controller is cut off for 15 s";
  cluster_.run(60s);
  EXPECT_EQ(violations(cluster_.invariants()), "");
  EXPECT_EQ(cluster_.leases_lost(), leases_lost) << "by failures of controllers";
  EXPECT_LT(unfinished_arrays(), arrays_.size() / 2);
  const auto& attainment = cluster_.node(cluster_.leader())->slo_attainment();
  for (const auto* sums : {&attainment.classes(), &attainment.teams()})
    for (const auto& [name, sum] : *sums)
      EXPECT_GT(sum.window.served_fraction().value_or(1), 0.5) << name;
}
}  // namespace
}  // namespace limemast

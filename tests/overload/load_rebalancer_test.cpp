#include "overload/load_rebalancer.hpp"

#include <algorithm>
#include <array>
#include <random>

#include <gtest/gtest.h>

namespace limemast::overload {
namespace {
constexpr std::size_t kControllers = 3;

/// Three controllers whose event loops serve their machines and do other work.
struct Deployment {
  std::array<double, kControllers> other_load;  ///< such as the leader's work
  std::array<std::size_t, kControllers> machines;
  double load_per_machine;
  double noise;  ///< amplitude of the noise in the measured loads

  double load(std::size_t controller) const {
    return other_load.at(controller) +
           load_per_machine * static_cast<double>(machines.at(controller));
  }
  double imbalance() const {
    const auto [least, most] = std::minmax({load(0), load(1), load(2)});
    return most - least;
  }
};

class RebalancedDeployment : public testing::TestWithParam<Deployment> {};

TEST_P(RebalancedDeployment, ReachesNearBalanceWithFewMovesThenStops) {
  auto deployment = GetParam();
  const double initial_imbalance = deployment.imbalance();
  std::array<LoadRebalancer, kControllers> rebalancers;
  const std::array<cluster::ControllerId, kControllers> ids{
      cluster::ControllerId("a", 1), cluster::ControllerId("b", 2), cluster::ControllerId("c", 3)};
  std::mt19937_64 random(7);
  std::size_t moves = 0;
  std::size_t late_moves = 0;
  for (int second = 0; second < 400; ++second) {
    std::map<cluster::ControllerId, double> loads;
    for (std::size_t i = 0; i < kControllers; ++i) {
      const double noise = deployment.noise * std::uniform_real_distribution<>(-1, 1)(random);
      loads[ids.at(i)] = std::clamp(deployment.load(i) + noise, 0.0, 1.0);
    }
    for (std::size_t i = 0; i < kControllers; ++i) {
      auto& rebalancer = rebalancers.at(i);
      rebalancer.update(ids.at(i), loads, deployment.machines.at(i));
      for (auto to = rebalancer.next_target(); !to.empty(); to = rebalancer.next_target()) {
        const auto target =
            static_cast<std::size_t>(std::find(ids.begin(), ids.end(), to) - ids.begin());
        ASSERT_NE(i, target);
        --deployment.machines.at(i);
        ++deployment.machines.at(target);
        ++moves;
        if (second > 250) ++late_moves;
      }
    }
  }
  EXPECT_LT(deployment.imbalance(), std::max(0.21, deployment.noise))
      << "initially " << initial_imbalance;
  EXPECT_EQ(late_moves, 0U) << "it oscillates";
  const double max_moves =
      initial_imbalance < 0.1 ? 0 : initial_imbalance / deployment.load_per_machine + 30;
  EXPECT_LE(static_cast<double>(moves), max_moves);
}

INSTANTIATE_TEST_SUITE_P(Deployments, RebalancedDeployment,
                         testing::Values(Deployment{{0.3, 0, 0}, {600, 600, 600}, 0.0006, 0.1},
                                         Deployment{{0, 0, 0}, {600, 600, 600}, 0.001, 0.15},
                                         Deployment{
                                             {0.05, 0.05, 0.05}, {100, 100, 1600}, 0.0005, 0.05},
                                         Deployment{{0, 0.5, 0}, {300, 300, 300}, 0.001, 0.1},
                                         Deployment{{0.1, 0, 0}, {120, 120, 120}, 0.002, 0.05}));
}  // namespace
}  // namespace limemast::overload

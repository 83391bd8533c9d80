#include "overload/load_rebalancer.hpp"

#include <algorithm>
#include <cmath>

namespace limemast::overload {
namespace {
/// By how much the load must exceed the lowest one for moving to begin, and to go on.
constexpr double kStartThreshold = 0.2;
constexpr double kStopThreshold = 0.07;
/// A controller below this load has time enough.
constexpr double kMinLoad = 0.4;
/// With fewer machines one is too coarse a step: in small deployments all stay.
constexpr std::size_t kMinMachines = 100;
/// Imbalanced updates in a row before the first move: a short burst moves no machine.
constexpr unsigned kUpdatesBeforeMove = 5;
/// Of the machines attached here, moved per second.
constexpr double kMovedSharePerSecond = 0.01;
constexpr std::size_t kMaxMovedPerSecond = 5;
/// Weight of the newest load in the moving average.
constexpr double kSmoothing = 0.2;

bool less_loaded(const std::pair<const cluster::ControllerId, double>& a,
                 const std::pair<const cluster::ControllerId, double>& b) {
  return a.second < b.second;
}
}  // namespace

void LoadRebalancer::update(const cluster::ControllerId& self,
                            const std::map<cluster::ControllerId, double>& loads,
                            std::size_t machines_here) {
  remaining_moves_ = 0;
  smooth(loads);
  const auto own = smoothed_loads_.find(self);
  if (own == smoothed_loads_.end() || smoothed_loads_.size() < 2) return stop();
  const auto least = std::min_element(smoothed_loads_.begin(), smoothed_loads_.end(), less_loaded);
  const auto most = std::max_element(smoothed_loads_.begin(), smoothed_loads_.end(), less_loaded);
  moving_ =
      should_move(own->second, own->second - least->second, most->first == self, machines_here);
  if (!moving_) return;
  target_ = least->first;
  const auto machines_to_move =
      std::ceil(kMovedSharePerSecond * static_cast<double>(machines_here));
  remaining_moves_ = std::min(kMaxMovedPerSecond, static_cast<std::size_t>(machines_to_move));
}

void LoadRebalancer::smooth(const std::map<cluster::ControllerId, double>& loads) {
  std::erase_if(smoothed_loads_, [&](const auto& entry) { return !loads.contains(entry.first); });
  for (const auto& [controller, load] : loads) {
    auto& smoothed = smoothed_loads_.try_emplace(controller, load).first->second;
    smoothed += kSmoothing * (load - smoothed);
  }
}

void LoadRebalancer::stop() {
  moving_ = false;
  imbalanced_updates_ = 0;
}

bool LoadRebalancer::should_move(double own_load, double excess, bool is_most_loaded,
                                 std::size_t machines_here) {
  // Only the most loaded controller moves machines: two at once would overshoot.
  const bool may_move = machines_here >= kMinMachines && is_most_loaded;
  const bool imbalanced = may_move && excess > kStartThreshold && own_load > kMinLoad;
  imbalanced_updates_ = imbalanced ? imbalanced_updates_ + 1 : 0;
  if (moving_) return may_move && excess > kStopThreshold;
  return imbalanced_updates_ >= kUpdatesBeforeMove;
}

cluster::ControllerId LoadRebalancer::next_target() {
  if (remaining_moves_ == 0) return {};
  --remaining_moves_;
  return target_;
}
}  // namespace limemast::overload

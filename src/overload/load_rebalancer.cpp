#include "overload/load_rebalancer.hpp"

#include <algorithm>
#include <cmath>

namespace limemast::overload {
namespace {
/// Moving starts when the own load exceeds the lowest load by the first value, and stops when it no
/// longer exceeds it by the second.
constexpr double kStartThreshold = 0.2;
constexpr double kStopThreshold = 0.07;
/// A controller with a lower load does not start moving machines.
constexpr double kMinLoad = 0.4;
/// With fewer attached machines none is moved, because a single move would change the load too
/// much.
constexpr std::size_t kMinMachines = 100;
/// Consecutive imbalanced updates before the first move, so that a short burst moves no machine.
constexpr unsigned kUpdatesBeforeMove = 5;
/// The fraction of the attached machines that is moved per second.
constexpr double kMovedSharePerSecond = 0.01;
constexpr std::size_t kMaxMovedPerSecond = 5;
/// The weight of the newest load in the moving average.
constexpr double kSmoothing = 0.2;

bool less_loaded(const std::pair<const cluster::ControllerId, double>& a,
                 const std::pair<const cluster::ControllerId, double>& b) {
  return a.second < b.second;
}
}  // namespace

void LoadRebalancer::update(const cluster::ControllerId& self,
                            const std::map<cluster::ControllerId, double>& loads,
                            std::size_t attached_machines) {
  remaining_moves_ = 0;
  smooth(loads);
  const auto own = smoothed_loads_.find(self);
  if (own == smoothed_loads_.end() || smoothed_loads_.size() < 2) return stop();
  const auto least = std::min_element(smoothed_loads_.begin(), smoothed_loads_.end(), less_loaded);
  const auto most = std::max_element(smoothed_loads_.begin(), smoothed_loads_.end(), less_loaded);
  moving_ =
      should_move(own->second, own->second - least->second, most->first == self, attached_machines);
  if (!moving_) return;
  target_ = least->first;
  const auto machines_to_move =
      std::ceil(kMovedSharePerSecond * static_cast<double>(attached_machines));
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
  consecutive_imbalanced_updates_ = 0;
}

bool LoadRebalancer::should_move(double own_load, double excess, bool is_most_loaded,
                                 std::size_t attached_machines) {
  // Only the most loaded controller moves machines, because two at once would overshoot.
  const bool may_move = attached_machines >= kMinMachines && is_most_loaded;
  const bool imbalanced = may_move && excess > kStartThreshold && own_load > kMinLoad;
  consecutive_imbalanced_updates_ = imbalanced ? consecutive_imbalanced_updates_ + 1 : 0;
  if (moving_) return may_move && excess > kStopThreshold;
  return consecutive_imbalanced_updates_ >= kUpdatesBeforeMove;
}

cluster::ControllerId LoadRebalancer::next_target() {
  if (remaining_moves_ == 0) return {};
  --remaining_moves_;
  return target_;
}
}  // namespace limemast::overload

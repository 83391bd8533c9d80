#include "failure_detection/phi_accrual.hpp"

#include <cmath>

namespace limemast::failure_detection {
namespace {
constexpr std::size_t kMaxIntervals = 60;  ///< size of the sliding window of heartbeat intervals
/// Minimum spread as a share of the expected interval, so that a regular sender is not suspected
/// for one late heartbeat.
constexpr double kMinSpread = 0.25;
constexpr double kMaxPhi = 300;
}  // namespace

PhiAccrualEstimator::PhiAccrualEstimator(net::Duration expected, net::Time now)
    : expected_(net::to_seconds(expected).count()), last_(now) {}

void PhiAccrualEstimator::record_heartbeat(net::Time now) {
  const auto interval = net::to_seconds(now - last_).count();
  last_ = now;
  intervals_.push_back(interval);
  sum_ += interval;
  sum_of_squares_ += interval * interval;
  if (intervals_.size() <= kMaxIntervals) return;
  sum_ -= intervals_.front();
  sum_of_squares_ -= intervals_.front() * intervals_.front();
  intervals_.pop_front();
}

// The expected interval counts as one additional observation, which provides a prior until enough
// intervals were observed.
double PhiAccrualEstimator::mean() const {
  return (sum_ + expected_) / static_cast<double>(intervals_.size() + 1);
}

wire::Seconds PhiAccrualEstimator::spread() const {
  const auto count = static_cast<double>(intervals_.size() + 1);
  const auto variance = (sum_of_squares_ + expected_ * expected_) / count - mean() * mean();
  return wire::Seconds(std::max(std::sqrt(std::max(0.0, variance)), expected_ * kMinSpread));
}

double PhiAccrualEstimator::phi(net::Time now) const {
  const auto silence = net::to_seconds(now - last_).count();
  const auto deviations = (silence - mean()) / (spread().count() * std::sqrt(2.0));
  const auto probability = 0.5 * std::erfc(deviations);
  return probability <= 0 ? kMaxPhi : std::min(kMaxPhi, -std::log10(probability));
}
}  // namespace limemast::failure_detection

#pragma once
// Client-side rate limit for requests to a service.
#include <algorithm>

#include "net/runtime.hpp"

namespace limemast::net {
/// Limits the rate of requests to a service that refuses excess requests. Times passed to it must
/// not decrease.
class TokenBucket {
 public:
  /// `per_second` is the refill rate, above 0. `burst` is the capacity; values below 1 count as 1.
  /// The bucket is full at first.
  TokenBucket(double per_second, double burst)
      : rate_(per_second), burst_(std::max(1.0, burst)), tokens_(burst_) {}

  /// Takes `amount` tokens, or takes none and returns false. A full bucket also admits an amount
  /// above the capacity; its balance is then negative.
  bool take(Time now, double amount) {
    refill(now);
    if (tokens_ + kTolerance < std::min(amount, burst_)) return false;
    tokens_ -= amount;
    return true;
  }
  /// Time until take() of this amount succeeds if no other tokens are taken.
  Duration wait_for(Time now, double amount) {
    refill(now);
    const double missing = std::min(amount, burst_) - tokens_;
    return missing <= 0 ? Duration::zero() : to_duration(wire::Seconds(missing / rate_)) + 1ms;
  }
  void set_rate(Time now, double per_second, double burst) {
    refill(now);
    rate_ = per_second;
    burst_ = std::max(1.0, burst);
    tokens_ = std::min(tokens_, burst_);
  }
  /// Refill rate in tokens per second.
  double rate() const { return rate_; }
  /// Removes all tokens. Called when the service has refused a request.
  void exhaust(Time now) {
    refill(now);
    tokens_ = std::min(tokens_, 0.0);
  }

 private:
  /// take() ignores differences below this, since sums of refills are not exact.
  static constexpr double kTolerance = 1e-9;

  void refill(Time now) {
    if (refilled_at_ != Time{})
      tokens_ = std::min(burst_, tokens_ + to_seconds(now - refilled_at_).count() * rate_);
    refilled_at_ = now;
  }
  double rate_;
  double burst_;
  double tokens_;  ///< negative after an amount above the capacity
  Time refilled_at_{};
};
}  // namespace limemast::net

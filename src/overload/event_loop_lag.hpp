#pragma once
// Measures the lag of the event loop.
#include "net/runtime.hpp"

namespace limemast::overload {
/// The delay with which this controller's event loop fires timers; received data waits about as
/// long before it is read. It is measured with a periodic timer. A peak counts at once and then
/// decays exponentially.
class EventLoopLag {
 public:
  /// The interval between the timers that measure the lag.
  static constexpr auto kProbeInterval = std::chrono::milliseconds(100);

  /// Records that the timer due at `due` fired at `now`.
  void on_timer(net::Time due, net::Time now) {
    const auto late = std::max(now - due, net::Duration::zero());
    lag_ = std::max(late, lag_ - lag_ / kDecayDivisor);
  }
  net::Duration lag() const { return lag_; }

 private:
  /// With each timer the lag decays by 1/kDecayDivisor, which halves a peak within 0.6 s.
  static constexpr int kDecayDivisor = 8;
  net::Duration lag_{};
};
}  // namespace limemast::overload

#pragma once
// Decides which share of user requests an overloaded controller admits.
#include <array>

#include "net/runtime.hpp"

namespace limemast::overload {
/// The classes of user requests that may be rejected, in the order of rejection. Heartbeats, lease
/// renewals, commands, job completions and cancellations are never rejected.
enum class RequestClass { Submission, StatusQuery };

/// Controls the admitted share by additive increase and multiplicative decrease (Chiu and Jain
/// 1989), driven by the lag of the event loop. Controllers that share the load converge to equal
/// shares without communication. Status queries are rejected only when few submissions are
/// admitted, and a minimum share of them is always admitted, so that a user who retries gets an
/// answer.
class AdmissionController {
 public:
  /// `max_lag` is the lag above which the admitted share decreases; zero disables admission
  /// control.
  explicit AdmissionController(net::Duration max_lag) : max_lag_(max_lag) {}

  static constexpr auto kUpdateInterval = std::chrono::milliseconds(250);
  /// Adjusts the shares to the lag. To be called every `kUpdateInterval`.
  void update(net::Duration lag);
  /// Returns whether a request is admitted, and counts it for the retry time. `random` is drawn
  /// uniformly from 0 to 1.
  bool admits(RequestClass request_class, double random) {
    const bool admitted = random < share(request_class);
    auto& demand = demand_[index(request_class)];
    ++(admitted ? demand.admitted : demand.rejected);
    return admitted;
  }
  /// The currently admitted share of requests of this class, 0 to 1.
  double share(RequestClass request_class) const { return shares_[index(request_class)]; }
  /// The time after which a rejected request should be retried. It is long enough to serve the
  /// requests rejected before at the current rate. Earlier retries would arrive before there is
  /// capacity, and rejecting them again would consume the time needed to serve others.
  net::Duration retry_after(RequestClass request_class) const;

 private:
  static constexpr std::size_t kRequestClasses = 2;
  static constexpr std::size_t index(RequestClass request_class) {
    return static_cast<std::size_t>(request_class);
  }
  /// The requests of one class.
  struct Demand {
    std::uint32_t admitted = 0;  ///< since the last update
    std::uint32_t rejected = 0;  ///< since the last update
    double admitted_per_s = 0;   ///< smoothed
    double rejected_per_s = 0;   ///< smoothed
    wire::Seconds retry_after{1};
  };
  static void update_demand(Demand& demand);
  void update_shares(net::Duration lag);

  net::Duration max_lag_;
  net::Duration lag_{};
  unsigned consecutive_lagging_updates_ = 0;  ///< with a lag above the maximum
  std::array<double, kRequestClasses> shares_{1, 1};
  std::array<Demand, kRequestClasses> demand_;
};
}  // namespace limemast::overload

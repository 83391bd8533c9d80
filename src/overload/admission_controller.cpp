#include "overload/admission_controller.hpp"

#include <algorithm>
#include <utility>

namespace limemast::overload {
namespace {
constexpr double kMultiplicativeDecrease = 0.7;
constexpr double kAdditiveIncrease = 0.05;
constexpr double kMinSubmissionShare = 0.02;
constexpr double kMinStatusQueryShare = 0.25;
/// Status queries are also rejected when the admitted share of submissions is below this.
constexpr double kStatusQueryThreshold = 0.1;
/// Consecutive updates with excessive lag before the share first decreases, so that a short pause
/// rejects no requests.
constexpr unsigned kUpdatesBeforeDecrease = 8;
/// The weight of the newest value in moving averages. With one update per kUpdateInterval they
/// follow a change within about 2 s.
constexpr double kSmoothing = 0.125;
constexpr double kMinAdmittedPerSecond = 0.1;
constexpr wire::Seconds kMinRetryAfter{1};
/// Users retry after this time at the latest.
constexpr wire::Seconds kMaxRetryAfter{30};

void decrease(double& share, double min_share) {
  share = std::max(min_share, share * kMultiplicativeDecrease);
}
void increase(double& share) { share = std::min(1.0, share + kAdditiveIncrease); }
}  // namespace

void AdmissionController::update(net::Duration lag) {
  lag_ = lag;
  for (auto& demand : demand_) update_demand(demand);
  if (max_lag_ != net::Duration::zero()) update_shares(lag);
}

void AdmissionController::update_demand(Demand& demand) {
  const double per_s = 1 / wire::Seconds(kUpdateInterval).count();
  demand.admitted_per_s +=
      kSmoothing * (std::exchange(demand.admitted, 0) * per_s - demand.admitted_per_s);
  demand.rejected_per_s +=
      kSmoothing * (std::exchange(demand.rejected, 0) * per_s - demand.rejected_per_s);
  // Requests rejected within the last `retry_after` are still waiting to be retried.
  const double waiting = demand.rejected_per_s * demand.retry_after.count();
  const auto served_within =
      wire::Seconds(waiting / std::max(demand.admitted_per_s, kMinAdmittedPerSecond));
  demand.retry_after +=
      kSmoothing * (std::clamp(served_within, kMinRetryAfter, kMaxRetryAfter) - demand.retry_after);
}

void AdmissionController::update_shares(net::Duration lag) {
  auto& submissions = shares_[index(RequestClass::Submission)];
  auto& status_queries = shares_[index(RequestClass::StatusQuery)];
  consecutive_lagging_updates_ = lag > max_lag_ ? consecutive_lagging_updates_ + 1 : 0;
  if (lag > max_lag_ &&
      (consecutive_lagging_updates_ >= kUpdatesBeforeDecrease || submissions < 1)) {
    decrease(submissions, kMinSubmissionShare);
    if (submissions < kStatusQueryThreshold) decrease(status_queries, kMinStatusQueryShare);
  } else if (lag < max_lag_ / 2) {
    // Between half the maximum lag and the maximum the shares stay, which prevents oscillation.
    increase(status_queries);
    if (status_queries == 1) increase(submissions);
  }
}

net::Duration AdmissionController::retry_after(RequestClass request_class) const {
  return std::max(lag_, net::to_duration(demand_[index(request_class)].retry_after));
}
}  // namespace limemast::overload

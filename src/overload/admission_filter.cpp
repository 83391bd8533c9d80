#include "overload/admission_filter.hpp"

#include <algorithm>
#include <random>

#include <spdlog/spdlog.h>

namespace limemast::overload {
namespace {
constexpr int kServiceUnavailable = 503;
constexpr int kMinRetryAfterSeconds = 1;
constexpr int kMaxRetryAfterSeconds = 30;  ///< users retry after this time at the latest
/// The retry time is multiplied by a random factor in this range, so that requests rejected
/// together are not retried together.
constexpr double kMinRetryJitter = 0.75;
constexpr double kMaxRetryJitter = 1.25;
}  // namespace

void AdmissionFilter::start() {
  measure_lag();
  update_admission();
}

void AdmissionFilter::measure_lag() {
  const auto due = runtime_.now() + EventLoopLag::kProbeInterval;
  runtime_.after(EventLoopLag::kProbeInterval, [this, due] {
    lag_.on_timer(due, runtime_.now());
    measure_lag();
  });
}

void AdmissionFilter::update_admission() {
  admission_controller_.update(lag_.lag());
  log_changes();
  runtime_.after(AdmissionController::kUpdateInterval, [this] { update_admission(); });
}

void AdmissionFilter::log_changes() {
  const double share = admission_controller_.share(RequestClass::Submission);
  const bool changed = rejecting_ ? share == 1 : share < 1;
  if (!changed) return;
  rejecting_ = !rejecting_;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(lag_.lag()).count();
  if (rejecting_)
    spdlog::info("event loop lag {} ms: rejecting part of the user requests", ms);
  else
    spdlog::info("event loop lag recovered: accepting all user requests, {} were rejected",
                 rejected_);
  rejected_ = 0;
}

std::optional<net::HttpResponse> AdmissionFilter::rejection(RequestClass request_class) {
  const double random = std::uniform_real_distribution<>(0, 1)(runtime_.random());
  if (admission_controller_.admits(request_class, random)) return std::nullopt;
  ++rejected_;
  const double jitter =
      std::uniform_real_distribution<>(kMinRetryJitter, kMaxRetryJitter)(runtime_.random());
  const auto retry_after = std::chrono::ceil<std::chrono::seconds>(
      admission_controller_.retry_after(request_class) * jitter);
  net::HttpResponse response;
  response.status = kServiceUnavailable;
  response.body = R"({"error":"busy"})";
  response.retry_after_s = std::clamp(static_cast<int>(retry_after.count()), kMinRetryAfterSeconds,
                                      kMaxRetryAfterSeconds);
  return response;
}
}  // namespace limemast::overload

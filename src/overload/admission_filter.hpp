#pragma once
// Rejects users' requests that an overloaded controller does not admit.
#include <optional>

#include "overload/admission_controller.hpp"
#include "overload/event_loop_lag.hpp"
#include "wire/settings.hpp"

namespace limemast::overload {
/// Measures the lag of the event loop and rejects at once what the admission controller does not
/// admit. Not thread-safe; all calls come from the event loop.
class AdmissionFilter {
 public:
  /// Both arguments must outlive the filter.
  AdmissionFilter(net::Runtime& runtime, const wire::Settings& settings)
      : runtime_(runtime), admission_controller_(net::to_duration(settings.overload.lag)) {}
  /// Begins to measure; to be called once.
  void start();
  /// The response to a request that is rejected: 503 with the time to retry. nullopt if the request
  /// is admitted.
  std::optional<net::HttpResponse> rejection(RequestClass request_class);
  const AdmissionController& admission_controller() const { return admission_controller_; }
  net::Duration lag() const { return lag_.lag(); }

 private:
  void measure_lag();
  void update_admission();
  /// Logs when rejecting begins and ends.
  void log_changes();

  net::Runtime& runtime_;
  EventLoopLag lag_;
  AdmissionController admission_controller_;
  bool rejecting_ = false;      ///< as last logged
  std::uint64_t rejected_ = 0;  ///< since then
};
}  // namespace limemast::overload

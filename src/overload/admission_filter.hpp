#pragma once
// Rejects user requests while the controller is overloaded.
#include <optional>

#include "overload/admission_controller.hpp"
#include "overload/event_loop_lag.hpp"
#include "wire/settings.hpp"

namespace limemast::overload {
/// Measures the lag of the event loop and rejects the requests that the admission controller does
/// not admit. Not thread-safe; all calls come from the event loop.
class AdmissionFilter {
 public:
  /// Both arguments must outlive the filter.
  AdmissionFilter(net::Runtime& runtime, const wire::Settings& settings)
      : runtime_(runtime),
        admission_controller_(net::to_duration(settings.overload.max_loop_lag)) {}
  /// Starts the periodic measurement. To be called once.
  void start();
  /// Decides whether a request is admitted. Returns nullopt if it is, otherwise the response to it:
  /// 503 with the time after which to retry.
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
  bool rejecting_ = false;      ///< the state that was last logged
  std::uint64_t rejected_ = 0;  ///< requests rejected since then
};
}  // namespace limemast::overload

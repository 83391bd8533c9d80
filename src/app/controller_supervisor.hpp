#pragma once
#include "app/controller_instance.hpp"
#include "app/scoped_runtime.hpp"

namespace limemast::app {
/// Keeps a controller running: when its lease is lost, it is replaced by a new incarnation
/// without state, as after a crash.
class ControllerSupervisor {
 public:
  ControllerSupervisor(net::Runtime& runtime, const wire::Settings& settings)
      : settings_(settings),
        metrics_(settings.operators.enabled ? std::make_unique<operator_api::Metrics>() : nullptr),
        measured_runtime_(
            metrics_ ? std::make_unique<operator_api::MeasuredRuntime>(
                           runtime, *metrics_, settings.store_endpoint, settings.cloud_endpoint)
                     : nullptr),
        runtime_(measured_runtime_ ? *measured_runtime_ : runtime) {
    restart();
  }

  void serve(const net::HttpRequest& request, net::Responder respond) {
    incarnation_->node.serve(request, std::move(respond));
  }
  void from_peer(const wire::json& message) { incarnation_->node.from_peer(message); }
  const ControllerInstance& node() const { return incarnation_->node; }

 private:
  struct Incarnation {
    ScopedRuntime runtime;
    ControllerInstance node;
    Incarnation(net::Runtime& inner, const wire::Settings& settings,
                std::function<void()> on_lease_lost, operator_api::Metrics* metrics)
        : runtime(inner), node(runtime, settings, std::move(on_lease_lost), metrics) {}
  };
  void restart() {
    incarnation_ = std::make_unique<Incarnation>(
        runtime_, settings_,
        [this] {
          if (metrics_) metrics_->lease_lost();
          runtime_.post([this] { restart(); });
        },
        metrics_.get());
    incarnation_->node.start();
  }
  const wire::Settings& settings_;
  std::unique_ptr<operator_api::Metrics> metrics_;
  std::unique_ptr<operator_api::MeasuredRuntime> measured_runtime_;
  net::Runtime& runtime_;
  std::unique_ptr<Incarnation> incarnation_;
};
}  // namespace limemast::app

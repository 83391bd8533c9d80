#pragma once
#include "app/controller_instance.hpp"
#include "app/scoped_runtime.hpp"

namespace limemast::app {
/// Keeps a node running: when its grant has ended, a new one starts from nothing, as after a crash.
class ControllerSupervisor {
 public:
  ControllerSupervisor(net::Runtime& runtime, const wire::Settings& settings)
      : settings_(settings),
        metrics_(settings.operators.enabled ? std::make_unique<operator_api::Metrics>() : nullptr),
        measured_(metrics_
                      ? std::make_unique<operator_api::MeasuredRuntime>(
                            runtime, *metrics_, settings.store_endpoint, settings.cloud_endpoint)
                      : nullptr),
        runtime_(measured_ ? *measured_ : runtime) {
    renew();
  }

  void serve(const net::HttpRequest& request, net::Responder respond) {
    run_->node.serve(request, std::move(respond));
  }
  void from_peer(const wire::json& message) { run_->node.from_peer(message); }
  const ControllerInstance& node() const { return run_->node; }

 private:
  struct Run {
    ScopedRuntime scope;
    ControllerInstance node;
    Run(net::Runtime& runtime, const wire::Settings& settings, std::function<void()> lost,
        operator_api::Metrics* metrics)
        : scope(runtime), node(scope, settings, std::move(lost), metrics) {}
  };
  void renew() {
    run_ = std::make_unique<Run>(
        runtime_, settings_,
        [this] {
          if (metrics_) metrics_->lease_lost();
          runtime_.post([this] { renew(); });
        },
        metrics_.get());
    run_->node.start();
  }
  const wire::Settings& settings_;
  std::unique_ptr<operator_api::Metrics> metrics_;
  std::unique_ptr<operator_api::MeasuredRuntime> measured_;
  net::Runtime& runtime_;
  std::unique_ptr<Run> run_;
};
}  // namespace limemast::app

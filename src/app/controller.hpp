#pragma once
#include "app/node.hpp"
#include "app/scoped_runtime.hpp"

namespace limemast::app {
/// Keeps a node running: when its grant has ended, a new one starts from nothing, as after a crash.
class Controller {
 public:
  Controller(net::Runtime& runtime, const wire::Settings& settings) : runtime_(runtime), settings_(settings) { renew(); }

  void serve(const net::HttpRequest& request, net::Responder respond) { run_->node.serve(request, std::move(respond)); }
  void from_peer(const wire::json& message) { run_->node.from_peer(message); }
  const Node& node() const { return run_->node; }

 private:
  struct Run {
    ScopedRuntime scope;
    Node node;
    Run(net::Runtime& runtime, const wire::Settings& settings, std::function<void()> lost)
        : scope(runtime), node(scope, settings, std::move(lost)) {}
  };
  void renew() {
    run_ = std::make_unique<Run>(runtime_, settings_, [this] { runtime_.post([this] { renew(); }); });
    run_->node.start();
  }
  net::Runtime& runtime_;
  const wire::Settings& settings_;
  std::unique_ptr<Run> run_;
};
}  // namespace limemast::app

#pragma once
#include <memory>
#include <optional>

#include "app/controller_supervisor.hpp"
#include "net/http_server.hpp"
#include "net/listener.hpp"
#include "net/uv_runtime.hpp"

namespace limemast::app {
/// The controller process. It binds its two addresses, then starts the controller.
///
/// Invariant: no controller starts before both addresses are bound. A new incarnation assumes that
/// the previous one has ended, and ends its lease. A process of the same label that still listens
/// shows that the previous one has not ended.
class Process {
 public:
  /// Throws BadSettings if an address is malformed and can never be bound.
  explicit Process(const wire::Settings& settings);
  /// Runs the event loop until the process is killed. Returns an exit code if an address cannot be
  /// bound.
  int run();

 private:
  void bind(net::Listener& listener, const char* setting,
            std::function<void(uv_stream_t*)> on_connection);
  void on_bound();

  const wire::Settings& settings_;
  net::UvRuntime runtime_;
  std::optional<ControllerSupervisor> controller_;
  net::HttpServer server_;
  net::PeerLinks* peer_links_ = nullptr;  ///< owned by `runtime_`
  net::Listener user_listener_;
  net::Listener peer_listener_;
  unsigned bound_listeners_ = 0;
  int exit_code_ = 0;
};
}  // namespace limemast::app

#pragma once
// Processes heartbeats: those sent to this controller, forwarded ones, and those in responses to
// direct commands.
#include <functional>

#include "machines/command_dispatcher.hpp"
#include "machines/heartbeat_forwarder.hpp"
#include "machines/machine_registration.hpp"

namespace limemast::machines {
class HeartbeatHandler {
 public:
  /// Called from the event loop after each heartbeat with new content, whichever controller
  /// received it.
  using OnUpdate = std::function<void(const std::string& machine)>;
  /// The other parts of the gateway that take part in processing a heartbeat.
  struct Parts {
    AttachedMachines& attached;
    ProbeService& probes;
    StartResolver& starts;
    HeartbeatResponder& responder;
    CommandDispatcher& dispatcher;
    HeartbeatForwarder& forwarder;
    PeerLoads& peer_loads;
    MachineRegistration& registration;
    CommandMonitor& monitor;
  };
  /// Registers the handler of `ForwardHeartbeat`.
  HeartbeatHandler(const GatewayContext& context, const Parts& parts, OnUpdate on_update);

  /// Processes a heartbeat that the worker sent to this controller.
  void handle(const wire::Heartbeat& heartbeat, net::Responder respond);
  /// Processes a worker's response to a direct request, whose body may be a heartbeat.
  void on_direct_response(const std::string& machine, const net::HttpResult& result);
  /// Applies a heartbeat that `controller` received. `sent_by_worker`: false if it was the body of
  /// the response to a direct request.
  void accept(const wire::Heartbeat& heartbeat, const cluster::ControllerId& controller,
              bool sent_by_worker);

 private:
  bool may_accept(const wire::Heartbeat& heartbeat) const;
  bool may_register(const wire::Heartbeat& heartbeat, const MachineStatus* status) const;
  void respond_to_outdated(const std::string& machine, const MachineStatus& status,
                           const net::Responder& respond);
  void attach(AttachedMachine& entry, const wire::Heartbeat& heartbeat) const;
  void detach(const std::string& machine);
  /// `before`: the machine's status before the heartbeat.
  void check_for_unexpected_attempts(const MachineStatus* before, const wire::Heartbeat& heartbeat,
                                     const cluster::ControllerId& controller);
  void update_attached(const std::string& machine);
  /// Responds to the heartbeat by redirecting the machine to a less loaded controller, unless
  /// commands or a pull for it are pending: then a later heartbeat can be redirected. Returns false
  /// if it has not responded.
  bool redirect(const std::string& machine, AttachedMachine& entry);

  GatewayContext context_;
  Parts parts_;
  OnUpdate on_update_;
};
}  // namespace limemast::machines

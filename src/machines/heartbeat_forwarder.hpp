#pragma once
// Passes heartbeats of attached machines on to the other controllers, so that each knows all
// machines, and asks for those that were lost on the way.
#include "machines/attached_machines.hpp"
#include "machines/peer_loads.hpp"

namespace limemast::machines {
class HeartbeatForwarder {
 public:
  /// Handles `HeartbeatDigest` and `ResendHeartbeats`.
  HeartbeatForwarder(const GatewayContext& context, AttachedMachines& attached,
                     PeerLoads& peer_loads);

  /// Sends the heartbeat to all other controllers. `sent_by_worker`: see `ForwardHeartbeat`.
  void forward(const wire::Heartbeat& heartbeat, bool sent_by_worker);
  /// A heartbeat of the machine has come.
  static void mark_heard(AttachedMachine& entry) { entry.forwarded.heard_recently = true; }
  /// Whether the other controllers know no more of the machine than that it was heard again, once
  /// it is marked as heard: `heartbeat` says the same as `previous`, and that was forwarded.
  static bool is_known_to_others(const AttachedMachine& entry, const wire::Heartbeat& previous,
                                 const wire::Heartbeat& heartbeat) {
    return entry.forwarded.sent_by_worker && previous.same_content_as(heartbeat);
  }
  /// Once a second: tells the other controllers which machines were heard since the last call, and
  /// this one's load.
  void announce_heard(double own_load);

 private:
  void on_heard_machines(const cluster::ControllerId& from,
                         const messages::HeartbeatDigest& message);
  void on_resend(const cluster::ControllerId& from, const messages::ResendHeartbeats& message);

  GatewayContext context_;
  AttachedMachines& attached_;
  PeerLoads& peer_loads_;
};
}  // namespace limemast::machines

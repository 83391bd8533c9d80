#pragma once
// Forwards heartbeats of attached machines to the other controllers, so that each controller knows
// all machines, and requests forwarded heartbeats that were lost.
#include "machines/attached_machines.hpp"
#include "machines/peer_loads.hpp"

namespace limemast::machines {
class HeartbeatForwarder {
 public:
  /// Registers the handlers of `HeartbeatDigest` and `ResendHeartbeats`.
  HeartbeatForwarder(const GatewayContext& context, AttachedMachines& attached,
                     PeerLoads& peer_loads);

  /// Sends the heartbeat to all other controllers. `sent_by_worker`: see `ForwardHeartbeat`.
  void forward(const wire::Heartbeat& heartbeat, bool sent_by_worker);
  /// Records that a heartbeat of the machine was received.
  static void mark_received(AttachedMachine& entry) {
    entry.forwarded.received_since_announcement = true;
  }
  /// Whether `heartbeat` need not be forwarded: it has the same content as `previous`, and the
  /// other controllers have a heartbeat that the worker sent. The next announcement tells them that
  /// a heartbeat was received.
  static bool peers_know_content(const AttachedMachine& entry, const wire::Heartbeat& previous,
                                 const wire::Heartbeat& heartbeat) {
    return entry.forwarded.sent_by_worker && previous.same_content_as(heartbeat);
  }
  /// Announces to the other controllers the machines whose heartbeats were received since the last
  /// call, and this controller's load. Called once a second.
  void announce_received_heartbeats(double own_load);

 private:
  void on_heartbeat_digest(const cluster::ControllerId& from,
                           const messages::HeartbeatDigest& message);
  void on_resend(const cluster::ControllerId& from, const messages::ResendHeartbeats& message);

  GatewayContext context_;
  AttachedMachines& attached_;
  PeerLoads& peer_loads_;
};
}  // namespace limemast::machines

#include "machines/heartbeat_forwarder.hpp"

#include <utility>

namespace limemast::machines {
namespace {
/// Whether the known heartbeat is at least as new as the one that `entry` names.
bool is_up_to_date(const MachineStatus& status, const messages::HeartbeatDigest::Entry& entry) {
  return std::pair(status.heartbeat.incarnation, status.heartbeat.sequence) >=
         std::pair(entry.incarnation, entry.sequence);
}
}  // namespace

HeartbeatForwarder::HeartbeatForwarder(const GatewayContext& context, AttachedMachines& attached,
                                       PeerLoads& peer_loads)
    : context_(context), attached_(attached), peer_loads_(peer_loads) {
  using cluster::ControllerId;
  context_.message_bus.on<messages::HeartbeatDigest>(
      [this](const ControllerId& from, const auto& message) {
        on_heartbeat_digest(from, message);
      });
  context_.message_bus.on<messages::ResendHeartbeats>(
      [this](const ControllerId& from, const auto& message) { on_resend(from, message); });
}

void HeartbeatForwarder::forward(const wire::Heartbeat& heartbeat, bool sent_by_worker) {
  auto& forwarded = attached_.get_or_add(heartbeat.machine).forwarded;
  forwarded.incarnation = heartbeat.incarnation;
  forwarded.sequence = heartbeat.sequence;
  forwarded.sent_by_worker = sent_by_worker;
  context_.message_bus.broadcast(messages::ForwardHeartbeat{heartbeat, sent_by_worker});
}

void HeartbeatForwarder::announce_received_heartbeats(double own_load) {
  messages::HeartbeatDigest message;
  for (auto& [machine, entry] : attached_.all()) {
    if (!std::exchange(entry.forwarded.received_since_announcement, false) ||
        !attached_.is_attached(machine))
      continue;
    message.machines.push_back({machine, entry.forwarded.incarnation, entry.forwarded.sequence});
  }
  message.store_available = context_.membership.lease_certain();
  message.load = own_load;
  if (context_.membership.may_act()) context_.message_bus.broadcast(message);
}

void HeartbeatForwarder::on_heartbeat_digest(const cluster::ControllerId& from,
                                             const messages::HeartbeatDigest& message) {
  peer_loads_.record(from, message);
  // Heartbeats that were lost on a broken link, or sent before this controller joined, are
  // requested again.
  messages::ResendHeartbeats missing;
  for (const auto& entry : message.machines) {
    const auto* status = context_.registry.find(entry.machine);
    if (status && is_up_to_date(*status, entry)) {
      if (status->attached_controller == from)
        context_.registry.record_contact(entry.machine, context_.runtime.now());
    } else if (!context_.registry.removed(entry.machine)) {
      missing.machines.push_back(entry.machine);
    }
  }
  if (!missing.machines.empty()) context_.message_bus.send(from, missing);
}

void HeartbeatForwarder::on_resend(const cluster::ControllerId& from,
                                   const messages::ResendHeartbeats& message) {
  for (const auto& machine : message.machines) {
    auto* entry = attached_.find(machine);
    if (!entry || !attached_.is_attached(machine)) continue;
    // The heartbeat is sent only to the requester but recorded as forwarded to all. The other
    // controllers see from the next announcement that they lack it, and request it.
    auto& forwarded = entry->forwarded;
    const auto& heartbeat = context_.registry.find(machine)->heartbeat;
    forwarded.incarnation = heartbeat.incarnation;
    forwarded.sequence = heartbeat.sequence;
    context_.message_bus.send(from,
                              messages::ForwardHeartbeat{heartbeat, forwarded.sent_by_worker});
  }
}
}  // namespace limemast::machines

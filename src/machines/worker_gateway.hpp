#pragma once
// Everything between this controller and the workers of the machines that are attached to it.
#include "machines/orphaned_machine_adoption.hpp"

namespace limemast::machines {
/// Wires the parts together and passes on to them what the controller instance tells. All of it
/// runs on the event loop's thread.
class WorkerGateway {
 public:
  /// What is passed in outlives the gateway. `updated`: see `HeartbeatHandler::Updated`.
  WorkerGateway(const GatewayContext& context, HeartbeatHandler::Updated updated);

  /// A worker's POST /hello. Responds at once or within some tens of milliseconds.
  void handle_heartbeat(const wire::Heartbeat& heartbeat, net::Responder respond);
  /// A new membership epoch was read. `member_lost`: one of the epoch before is no member any more.
  void on_epoch_changed(bool member_lost);
  /// To be called once a second.
  void tick();
  /// Has the members ask registered machines, of which nobody has had a heartbeat, for one.
  void adopt_machines_without_heartbeat(const std::vector<MachineAddress>& machines);
  /// The machine was terminated: it and all on it are gone.
  void on_machine_removed(const std::string& machine);
  /// The job has ended: no task of it may start, and those that run are stopped.
  void on_job_ended(const std::string& uid);

  /// Some other controller has told recently that the state service serves it.
  bool any_peer_reaches_store() const { return peer_loads_.any_peer_reaches_store(); }
  /// Machines sent to a less loaded controller so far.
  std::uint64_t redirected() const { return peer_loads_.redirected(); }

 private:
  GatewayContext context_;
  AttachedMachines attached_;
  ProbeService probes_;
  StartResolver starts_;
  DirectCommandSender direct_;
  HeartbeatResponder responder_;
  UnknownJobLookup unknown_jobs_;
  CommandDispatcher dispatcher_;
  PeerLoads peer_loads_;
  HeartbeatForwarder forwarder_;
  MachineRegistration registration_;
  HeartbeatHandler heartbeats_;
  OrphanedMachineAdoption adoption_;
};
}  // namespace limemast::machines

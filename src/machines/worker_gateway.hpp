#pragma once
// Communication between this controller and the workers of the machines attached to it.
#include "machines/lingering_task_monitor.hpp"
#include "machines/orphaned_machine_adoption.hpp"

namespace limemast::machines {
/// Connects the parts of the gateway and forwards the controller instance's calls to them. Runs on
/// the event loop's thread.
class WorkerGateway {
 public:
  /// The objects in `context` outlive the gateway. `on_update`: see `HeartbeatHandler::OnUpdate`.
  /// `metrics`: null if no metrics are collected.
  WorkerGateway(const GatewayContext& context, HeartbeatHandler::OnUpdate on_update,
                CommandMetrics* metrics);

  /// Handles a worker's POST /hello. Responds at once or after some tens of milliseconds.
  void handle_heartbeat(const wire::Heartbeat& heartbeat, net::Responder respond);
  /// Called when a new membership epoch was read. `member_lost`: whether a member of the previous
  /// epoch is no longer a member.
  void on_epoch_changed(bool member_lost);
  /// Must be called once a second.
  void tick();
  /// Lets the members request heartbeats from registered machines from which no controller has
  /// received one.
  void adopt_machines_without_heartbeat(const std::vector<MachineAddress>& machines);
  /// Called when the machine was terminated: drops its probes, commands and pending response.
  void on_machine_removed(const std::string& machine);
  /// Called when the job has ended: no task of it may start, and running ones are stopped.
  void on_job_ended(const std::string& uid);

  /// Whether another controller has recently reported that the state service is available to it.
  bool any_peer_reaches_store() const { return peer_loads_.any_peer_reaches_store(); }
  /// Number of machines redirected to a less loaded controller so far.
  std::uint64_t redirected() const { return peer_loads_.redirected(); }

 private:
  GatewayContext context_;
  CommandMonitor monitor_;
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
  LingeringTaskMonitor lingering_tasks_;
};
}  // namespace limemast::machines

#pragma once
// Responds to heartbeats. A response renews the machine's lease and carries its commands.
#include "machines/direct_command_sender.hpp"

namespace limemast::machines {
/// The response that makes a worker retry, here or at another controller, without renewing its
/// lease.
net::HttpResponse refusal_response(std::string body = {});
/// A response to a heartbeat. The HTTP server keeps idle connections of machines with live tasks
/// (net/connection_limits.hpp). `status`: nullptr if the machine is unknown.
net::HttpResponse heartbeat_response(int code, std::string body, const MachineStatus* status);

class HeartbeatResponder {
 public:
  HeartbeatResponder(const GatewayContext& context, AttachedMachines& attached,
                     ProbeService& probes, DirectCommandSender& direct, CommandMonitor& monitor);

  /// Keeps the responder of the machine's newest heartbeat. Refuses an earlier one that still
  /// waits.
  static void hold(AttachedMachine& entry, net::Responder respond, std::uint64_t sequence);
  /// Schedules the response: after the owners have sent the commands that the heartbeat caused and
  /// the pull in flight, if any, is answered, but no later than after a fixed wait.
  void schedule(const std::string& machine);
  /// Responds now with all commands that may be sent. Does nothing if no heartbeat waits.
  void respond(const std::string& machine);
  /// Responds to the waiting heartbeat by redirecting the machine to another controller.
  void redirect(const std::string& machine, AttachedMachine& entry,
                const cluster::ControllerId& controller);
  /// Refuses the waiting heartbeat of a machine whose entry is about to be erased.
  static void refuse(AttachedMachine& entry);
  /// Sets whether the machine is asked, after the next response, for a heartbeat that shows the
  /// current token.
  static void set_token_request(AttachedMachine& entry, bool wanted) {
    entry.response.request_token = wanted;
  }

 private:
  net::Responder take(WaitingResponse& response);
  void cancel_timer(WaitingResponse& response);

  GatewayContext context_;
  AttachedMachines& attached_;
  ProbeService& probes_;
  DirectCommandSender& direct_;
  CommandMonitor& monitor_;
};
}  // namespace limemast::machines

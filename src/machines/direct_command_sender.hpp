#pragma once
// Sends commands that must not wait for the machine's next heartbeat directly to the worker.
#include <functional>
#include <set>

#include "machines/attached_machines.hpp"
#include "machines/command_monitor.hpp"
#include "machines/probe_service.hpp"
#include "machines/start_resolver.hpp"

namespace limemast::machines {
/// Sends at most one request at a time to each machine, except for stops that follow a start, and
/// limits the number of requests in flight to all machines.
class DirectCommandSender {
 public:
  /// Called with the response to each request. Its body may contain a heartbeat.
  using OnResponse = std::function<void(const std::string& machine, const net::HttpResult& result)>;
  DirectCommandSender(const GatewayContext& context, AttachedMachines& attached,
                      StartResolver& starts, ProbeService& probes, CommandMonitor& monitor,
                      OnResponse on_response);

  /// Sends the machine's commands after a short delay, together with those queued until then. Does
  /// nothing while a heartbeat waits for its response, because the response carries the commands.
  void send_soon(const std::string& machine);
  /// Requests a heartbeat with the current epoch's token from the machine, even if there are no
  /// commands for it.
  void request_token(const std::string& machine, AttachedMachine& entry);
  /// Sends a stop for an attempt whose direct start has not been answered. The stop is sent at
  /// once, even if another request is in flight. A worker that hangs executes the start when it
  /// resumes, and the stop right after it. A stop that arrives late does no harm.
  void send_stop_after_start(const std::string& machine, const wire::Command& start);

 private:
  void send(const std::string& machine);
  bool may_send(const std::string& machine, const AttachedMachine& entry,
                const MachineStatus* status) const;
  void post(const SentCommands& sent, const net::Endpoint& address);
  void handle_response(const SentCommands& sent, const net::HttpResult& result);
  void resolve_sent_starts(const SentCommands& sent, AttachedMachine& entry,
                           const net::HttpResult& result);
  void send_to_next_waiting();

  GatewayContext context_;
  AttachedMachines& attached_;
  StartResolver& starts_;
  ProbeService& probes_;
  CommandMonitor& monitor_;
  OnResponse on_response_;
  std::size_t in_flight_ = 0;
  /// Machines whose commands wait until fewer requests are in flight.
  std::set<std::string> waiting_machines_;
};
}  // namespace limemast::machines

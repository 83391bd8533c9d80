#pragma once
// Requests heartbeats from machines whose controller was lost.
//
// Most machines of a lost controller attach to another one within a heartbeat interval. If the lost
// controller hangs, its machines wait for its response first. If it was cut off from the state
// service only, they send heartbeats to it until its lease expires by its own clock. Each machine's
// name determines the member that requests a heartbeat with the new epoch's fencing token from it.
// That heartbeat shows the machine's tasks. The token invalidates all commands of the lost
// controller and makes that controller refuse the machine's next heartbeat.
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "machines/heartbeat_handler.hpp"

namespace limemast::machines {
/// A registered machine and the address of its worker.
using MachineAddress = std::pair<std::string, std::string>;

class OrphanedMachineAdoption {
 public:
  /// Registers the handler of `AdoptMachines`.
  OrphanedMachineAdoption(const GatewayContext& context, AttachedMachines& attached,
                          HeartbeatForwarder& forwarder, HeartbeatHandler& heartbeats,
                          CommandMonitor& monitor);

  /// Called when a member was lost. Requests heartbeats from this controller's share of the
  /// machines that are attached to no member.
  void on_member_lost();
  /// Divides machines from which no controller has received a heartbeat among the members, which
  /// request one. Each machine is assigned to a member once per epoch.
  void adopt_machines_without_heartbeat(const std::vector<MachineAddress>& machines);

 private:
  struct Request {
    std::string machine;
    std::string address;  ///< used only if the machine has no status, which holds its address
  };
  void on_adopt_machines(const messages::AdoptMachines& message);
  void send_requests();
  /// Whether the machine is still registered and attached to no member.
  bool is_needed(const Request& request, const MachineStatus* status) const;
  void send(const Request& request, std::uint64_t incarnation);
  void on_response(const Request& request, std::uint64_t incarnation,
                   const net::HttpResult& result);
  /// Index of the member, in the order of their ids, that sends the request to this machine.
  std::size_t member_index_for(const std::string& machine) const;

  GatewayContext context_;
  AttachedMachines& attached_;
  HeartbeatForwarder& forwarder_;
  HeartbeatHandler& heartbeats_;
  CommandMonitor& monitor_;
  std::deque<Request> queue_;
  /// Machines that `adopt_machines_without_heartbeat` has assigned to a member in this epoch.
  std::set<std::string> assigned_in_epoch_;
  std::size_t in_flight_ = 0;
};
}  // namespace limemast::machines

#pragma once
// Makes machines show themselves whose controller was lost.
//
// Most machines of a lost controller come to another one within a heartbeat interval. Those of a
// controller that hangs wait for its response first, and those of one that was cut off from the
// state service alone go on reporting to it until its lease has ended by its own clock. Each is
// asked, by the member that its name is assigned to, for a heartbeat with the new epoch's fencing
// token: that tells what the machine holds, makes all commands of the lost controller ineffective,
// and makes that controller refuse the machine's next heartbeat.
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "machines/heartbeat_handler.hpp"

namespace limemast::machines {
/// A registered machine and the address at which it can be asked.
using MachineAddress = std::pair<std::string, std::string>;

class OrphanedMachineAdoption {
 public:
  /// Handles `AdoptMachines`.
  OrphanedMachineAdoption(const GatewayContext& context, AttachedMachines& attached,
                          HeartbeatForwarder& forwarder, HeartbeatHandler& heartbeats);

  /// A member was lost: asks this controller's share of the machines that no member hears.
  void on_member_lost();
  /// Shares machines among the members of which nobody has had a heartbeat; each machine is asked
  /// once in an epoch.
  void adopt_machines_without_heartbeat(const std::vector<MachineAddress>& machines);

 private:
  struct Request {
    std::string machine;
    std::string address;  ///< used where nothing is known of the machine; else its status tells
  };
  void on_adopt_machines(const messages::AdoptMachines& message);
  void send_requests();
  /// Whether the machine is still neither heard by a member nor gone.
  bool is_needed(const Request& request, const MachineStatus* status) const;
  void send(const Request& request, std::uint64_t incarnation);
  void on_response(const Request& request, std::uint64_t incarnation,
                   const net::HttpResult& result);
  /// Which member, in the order of their ids, asks this machine.
  std::size_t member_for(const std::string& machine) const;

  GatewayContext context_;
  AttachedMachines& attached_;
  HeartbeatForwarder& forwarder_;
  HeartbeatHandler& heartbeats_;
  std::deque<Request> queue_;
  std::set<std::string> shared_out_;  ///< by `adopt_machines_without_heartbeat` in this epoch
  std::size_t under_way_ = 0;
};
}  // namespace limemast::machines

#pragma once
// Registers machines in the state service before they get their first command.
#include <map>
#include <set>
#include <string>

#include "machines/attached_machines.hpp"

namespace limemast::machines {
/// Writes a record of each machine in the current epoch before any command is sent to the machine,
/// so that a later leader finds in the records every machine that may run a task. One record names
/// many machines because the state service limits the number of writes.
class MachineRegistration {
 public:
  MachineRegistration(const GatewayContext& context, AttachedMachines& attached)
      : context_(context), attached_(attached) {}

  /// Writes a record of the machine, together with others, after a short delay. A failed write is
  /// not retried here: each further heartbeat of the machine requests it again until the watch
  /// cache shows the record.
  void register_soon(const std::string& machine);

 private:
  void write_record();
  /// Removes the machines for the next record from the requested ones. Maps each to whether it is a
  /// spot machine.
  wire::json take_requested_machines(net::Time now);

  GatewayContext context_;
  AttachedMachines& attached_;
  std::set<std::string> requested_;
  /// Machines whose record is being written, and when the write counts as failed.
  std::map<std::string, net::Time> pending_writes_;
  bool write_scheduled_ = false;
  bool paused_ = false;
  std::uint64_t next_record_ = 1;
};
}  // namespace limemast::machines

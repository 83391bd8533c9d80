#include "cloud/machine_terminator.hpp"

#include <spdlog/spdlog.h>

#include "cloud/cloud_codec.hpp"

namespace limemast::cloud {
namespace {
constexpr std::size_t kMaxMachinesPerRequest = 100;
constexpr int kOk = 200;
}  // namespace

MachineTerminator::MachineTerminator(net::Runtime& runtime, const cluster::Membership& membership,
                                     machines::Registry& registry, CloudClient& cloud,
                                     MachineInventory& inventory)
    : runtime_(runtime),
      membership_(membership),
      registry_(registry),
      cloud_(cloud),
      inventory_(inventory) {}

void MachineTerminator::run() {
  if (in_flight_) return;
  const auto machines = next_batch();
  if (machines.empty() || !cloud_.try_acquire_call()) return;
  in_flight_ = true;
  for (const auto& machine : machines) registry_.cordon(machine);
  cloud_.send(terminate_request(machines), [this, machines](const net::HttpResult& response) {
    in_flight_ = false;
    if (response.status == kOk) on_confirmed(machines);
  });
}

std::vector<std::string> MachineTerminator::next_batch() const {
  // The cloud does not know fencing tokens. A leader that the store does not serve may have been
  // replaced, and tasks of its successor may run on the machine. The termination can wait, since
  // the machine is deregistered through the store, except where a cancelled task must end in time.
  const bool may_be_deposed = !membership_.store_available();
  std::vector<std::string> out;
  for (const auto& machine : inventory_.marked_for_termination()) {
    if (out.size() >= kMaxMachinesPerRequest) break;
    if (!may_be_deposed || registry_.overdue_machines().contains(machine)) out.push_back(machine);
  }
  return out;
}

void MachineTerminator::on_confirmed(const std::vector<std::string>& machines) {
  std::vector<std::string> registered;
  for (const auto& machine : machines) {
    spdlog::info("machine {} terminated, epoch {}", machine, membership_.epoch().number);
    inventory_.apply_termination(machine, runtime_.now());
    if (registry_.registered(machine))
      registered.push_back(machine);
    else
      // A machine that is not registered yet has never received a command, so it has no tasks. It
      // is removed so that its last heartbeat does not trigger another termination.
      registry_.remove(machine);
  }
  on_terminated_(registered);
}
}  // namespace limemast::cloud

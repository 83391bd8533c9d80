#include "cloud/machine_terminator.hpp"

#include <algorithm>
#include <iterator>

#include <spdlog/spdlog.h>

#include "cloud/cloud_codec.hpp"

namespace limemast::cloud {
namespace {
constexpr std::ptrdiff_t kMaxMachinesPerRequest = 100;
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
  const auto& marked = inventory_.marked_for_termination();
  if (in_flight_ || marked.empty() || !cloud_.try_acquire_call()) return;
  const auto count = std::min(std::ssize(marked), kMaxMachinesPerRequest);
  const std::vector<std::string> machines(marked.begin(), std::next(marked.begin(), count));
  in_flight_ = true;
  for (const auto& machine : machines) registry_.cordon(machine);
  cloud_.send(terminate_request(machines), [this, machines](const net::HttpResult& response) {
    in_flight_ = false;
    if (response.status == kOk) on_confirmed(machines);
  });
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

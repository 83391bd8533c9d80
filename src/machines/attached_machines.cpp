#include "machines/attached_machines.hpp"

#include <algorithm>

#include "machines/command_monitor.hpp"
#include "messages/machines.hpp"

namespace limemast::machines {
std::optional<ids::FencingToken> token_in_epoch(ids::EpochNumber epoch, ids::FencingToken shown,
                                                ids::FencingToken floor) {
  const auto token = std::max({ids::FencingToken::base(epoch), shown, floor});
  return token.epoch() > epoch ? std::nullopt : std::optional(token);
}

AttachedMachines::AttachedMachines(const GatewayContext& context, CommandMonitor& monitor)
    : context_(context), monitor_(monitor) {
  context_.message_bus.on<messages::RaiseFencingToken>(
      [this](const cluster::ControllerId&, const messages::RaiseFencingToken& message) {
        if (is_attached(message.machine))
          get_or_add(message.machine).token_floor.raise(message.token);
      });
}

AttachedMachine* AttachedMachines::find(const std::string& machine) {
  const auto it = machines_.find(machine);
  return it == machines_.end() ? nullptr : &it->second;
}

const AttachedMachine* AttachedMachines::find(const std::string& machine) const {
  const auto it = machines_.find(machine);
  return it == machines_.end() ? nullptr : &it->second;
}

AttachedMachine& AttachedMachines::get_or_add(const std::string& machine) {
  return machines_.try_emplace(machine).first->second;
}

bool AttachedMachines::is_attached(const MachineStatus* status) const {
  return status && status->attached_controller == context_.membership.self();
}

bool AttachedMachines::is_attached(const std::string& machine) const {
  return is_attached(context_.registry.find(machine));
}

std::optional<ids::FencingToken> AttachedMachines::command_token(
    const AttachedMachine& machine, const MachineStatus& status) const {
  return token_in_epoch(context_.membership.epoch().number, status.heartbeat.fencing_token,
                        machine.token_floor.command_floor());
}

std::optional<ids::FencingToken> AttachedMachines::token_for_pending_commands(
    AttachedMachine& machine, const MachineStatus& status) {
  if (!command_token(machine, status)) return std::nullopt;
  const auto above_shown = status.heartbeat.fencing_token.next();
  if (machine.commands.has_pending_forget_of_direct_start() &&
      machine.token_floor.raise(above_shown))
    monitor_.on_token_raised(status.heartbeat.machine, above_shown, TokenRaiseReason::Forget);
  return command_token(machine, status);
}

void AttachedMachines::broadcast_token_floor(const std::string& machine) {
  context_.message_bus.broadcast(
      messages::RaiseFencingToken{machine, get_or_add(machine).token_floor.command_floor()});
}
}  // namespace limemast::machines

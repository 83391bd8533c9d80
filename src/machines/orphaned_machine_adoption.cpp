#include "machines/orphaned_machine_adoption.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

#include "machines/worker_requests.hpp"

namespace limemast::machines {
namespace {
/// The incarnation assumed for a machine without a status, which most likely never restarted.
constexpr std::uint64_t kFirstIncarnation = 1;
/// Maximum number of requests in flight. Large enough that requests to reachable machines do not
/// wait for those to unreachable ones, even if half of a lost controller's machines are
/// unreachable.
constexpr std::size_t kMaxInFlight = 48;

constexpr int kExecuted = 200;
constexpr int kRejected = 409;
}  // namespace

OrphanedMachineAdoption::OrphanedMachineAdoption(const GatewayContext& context,
                                                 AttachedMachines& attached,
                                                 HeartbeatForwarder& forwarder,
                                                 HeartbeatHandler& heartbeats,
                                                 CommandMonitor& monitor)
    : context_(context),
      attached_(attached),
      forwarder_(forwarder),
      heartbeats_(heartbeats),
      monitor_(monitor) {
  context_.message_bus.on<messages::AdoptMachines>(
      [this](const cluster::ControllerId&, const auto& message) { on_adopt_machines(message); });
}

std::size_t OrphanedMachineAdoption::member_index_for(const std::string& machine) const {
  return std::hash<std::string>()(machine) % context_.membership.epoch().members.size();
}

void OrphanedMachineAdoption::on_member_lost() {
  queue_.clear();
  assigned_in_epoch_.clear();
  const auto& membership = context_.membership;
  const auto& members = membership.epoch().members;
  if (!membership.is_member(membership.self())) return;
  const auto own_position =
      static_cast<std::size_t>(std::distance(members.begin(), members.find(membership.self())));
  for (const auto& [machine, status] : context_.registry.machine_statuses())
    if (!membership.is_member(status.attached_controller) &&
        context_.registry.registered(machine) && member_index_for(machine) == own_position)
      queue_.push_back({machine, {}});
  send_requests();
}

void OrphanedMachineAdoption::adopt_machines_without_heartbeat(
    const std::vector<MachineAddress>& machines) {
  const auto& members = context_.membership.epoch().members;
  if (members.empty()) return;
  std::vector<messages::AdoptMachines> shares(members.size());
  for (const auto& [machine, address] : machines)
    if (assigned_in_epoch_.insert(machine).second)
      shares[member_index_for(machine)].machines.push_back({machine, address});
  auto share = shares.begin();
  for (const auto& controller : members) {
    if (!share->machines.empty()) context_.message_bus.send(controller, *share);
    ++share;
  }
}

void OrphanedMachineAdoption::on_adopt_machines(const messages::AdoptMachines& message) {
  for (const auto& entry : message.machines)
    if (context_.registry.registered(entry.machine) && !context_.registry.find(entry.machine))
      queue_.push_back({entry.machine, entry.address});
  send_requests();
}

bool OrphanedMachineAdoption::is_needed(const Request& request, const MachineStatus* status) const {
  if (!context_.membership.may_act()) return false;
  if (status) return !context_.membership.is_member(status->attached_controller);
  return !request.address.empty() && context_.registry.registered(request.machine);
}

void OrphanedMachineAdoption::send_requests() {
  while (!queue_.empty() && in_flight_ < kMaxInFlight) {
    const auto request = std::move(queue_.front());
    queue_.pop_front();
    const auto* status = context_.registry.find(request.machine);
    if (is_needed(request, status))
      send(request, status ? status->heartbeat.incarnation : kFirstIncarnation);
  }
}

void OrphanedMachineAdoption::send(const Request& request, std::uint64_t incarnation) {
  const auto* status = context_.registry.find(request.machine);
  auto token = ids::FencingToken::base(context_.membership.epoch().number);
  if (status) {
    auto& entry = attached_.get_or_add(request.machine);
    entry.token_floor.supersede(std::max(status->heartbeat.fencing_token.next(), token));
    const auto raised = attached_.command_token(entry, *status);
    if (!raised) return;  // a controller of a later epoch commands the machine
    token = *raised;
    monitor_.on_token_raised(request.machine, token, TokenRaiseReason::Adopted);
  }
  ++in_flight_;
  context_.runtime.http(status ? status->heartbeat.address : request.address,
                        command_request(incarnation, token, {}), kWorkerRequestTimeout,
                        [this, request, incarnation](const net::HttpResult& result) {
                          --in_flight_;
                          on_response(request, incarnation, result);
                          send_requests();
                        });
}

void OrphanedMachineAdoption::on_response(const Request& request, std::uint64_t incarnation,
                                          const net::HttpResult& result) {
  const auto heartbeat = heartbeat_from_response(result);
  const auto& membership = context_.membership;
  const auto* status = context_.registry.find(request.machine);
  const bool heard_by_member = status && membership.is_member(status->attached_controller);
  if (!heartbeat || heartbeat->machine != request.machine || heard_by_member ||
      !membership.may_act() || !context_.registry.registered(request.machine))
    return;
  // The incarnation of a machine without a status was assumed. The response contains the actual
  // one, and the request is repeated once with it.
  if (result.status == kRejected && !status && heartbeat->incarnation != incarnation &&
      incarnation == kFirstIncarnation)
    return send(request, heartbeat->incarnation);
  if (result.status != kExecuted) return;
  // As for a machine that moves, another member may just have received a heartbeat of it and sent
  // it commands.
  if (!status)
    attached_.get_or_add(request.machine).token_floor.supersede(heartbeat->fencing_token.next());
  forwarder_.forward(*heartbeat, false);
  heartbeats_.accept(*heartbeat, membership.self(), false);
  spdlog::debug("machine {} adopted by this controller in epoch {}", request.machine,
                membership.epoch().number);
}
}  // namespace limemast::machines

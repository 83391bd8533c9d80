#include "machines/heartbeat_handler.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

#include "machines/worker_requests.hpp"

namespace limemast::machines {
namespace {
constexpr int kAccepted = 200;
}  // namespace

HeartbeatHandler::HeartbeatHandler(const GatewayContext& context, const Parts& parts,
                                   OnUpdate on_update)
    : context_(context), parts_(parts), on_update_(std::move(on_update)) {
  context_.message_bus.on<messages::ForwardHeartbeat>(
      [this](const cluster::ControllerId& from, const messages::ForwardHeartbeat& message) {
        if (message.heartbeat) accept(*message.heartbeat, from, message.sent_by_worker);
      });
}

bool HeartbeatHandler::may_accept(const wire::Heartbeat& heartbeat) const {
  // Accepting a heartbeat renews the worker's lease, so this controller must hold a valid lease
  // itself. A token of an epoch that this controller has not read yet shows that its view is stale.
  // The worker would drop the response, and its lease would expire.
  return context_.membership.may_act() &&
         heartbeat.fencing_token.epoch() <= context_.membership.epoch().number &&
         !context_.registry.removed(heartbeat.machine);
}

bool HeartbeatHandler::may_register(const wire::Heartbeat& heartbeat,
                                    const MachineStatus* status) const {
  // A machine that has a fencing token has been sent commands before. Its first heartbeat at this
  // controller may be a delayed one of a machine that was terminated, and once registered it would
  // be waited for. Its second heartbeat shows that it is running.
  return !context_.registry.registered(heartbeat.machine) &&
         (status || heartbeat.fencing_token == ids::kNoToken);
}

void HeartbeatHandler::handle(const wire::Heartbeat& heartbeat, net::Responder respond) {
  const auto& machine = heartbeat.machine;
  if (!may_accept(heartbeat)) return respond(refusal_response(R"({"error":"not entitled"})"));
  const auto* status = context_.registry.find(machine);
  if (status && !heartbeat.newer_than(status->heartbeat))
    return respond_to_outdated(machine, *status, respond);
  const bool moved = !parts_.attached.is_attached(status) || !parts_.attached.find(machine);
  auto& entry = parts_.attached.get_or_add(machine);
  if (moved) attach(entry, heartbeat);
  HeartbeatResponder::hold(entry, std::move(respond), heartbeat.sequence);
  if (may_register(heartbeat, status)) parts_.registration.register_soon(machine);
  HeartbeatForwarder::mark_received(entry);
  // Most heartbeats have the same content as the previous one and need not be forwarded.
  if (moved || !HeartbeatForwarder::peers_know_content(entry, status->heartbeat, heartbeat))
    parts_.forwarder.forward(heartbeat, true);
  accept(heartbeat, context_.membership.self(), true);
  if (!moved && redirect(machine, entry)) return;
  parts_.probes.pull_next(machine);
  parts_.responder.schedule(machine);
}

void HeartbeatHandler::respond_to_outdated(const std::string& machine, const MachineStatus& status,
                                           const net::Responder& respond) {
  // The response to a direct request has already shown a newer state. This response renews the
  // lease and carries no commands.
  if (!parts_.attached.is_attached(&status))
    return respond(refusal_response(R"({"error":"late report"})"));
  const auto token = parts_.attached.command_token(parts_.attached.get_or_add(machine), status);
  if (!token) return respond(refusal_response(R"({"error":"not entitled"})"));
  respond(heartbeat_response(kAccepted, wire::commands_body(*token, {}).dump(), &status));
}

void HeartbeatHandler::attach(AttachedMachine& entry, const wire::Heartbeat& heartbeat) const {
  const auto epoch = context_.membership.epoch().number;
  // Commands that another controller sent directly may still be in flight.
  const auto token = std::max(heartbeat.fencing_token.next(), ids::FencingToken::base(epoch));
  entry.token_floor.supersede(token);
  parts_.monitor.on_token_raised(heartbeat.machine, token, TokenRaiseReason::Attached);
  // A machine without a token is new and has no tasks to show.
  HeartbeatResponder::set_token_request(entry, heartbeat.fencing_token != ids::kNoToken);
  spdlog::debug("machine {} attached to this controller in epoch {}", heartbeat.machine, epoch);
}

void HeartbeatHandler::on_direct_response(const std::string& machine,
                                          const net::HttpResult& result) {
  const auto heartbeat = heartbeat_from_response(result);
  const auto* status = context_.registry.find(machine);
  // The body shows the machine's tasks. It does not attach the machine here: a machine is attached
  // to the controller to which it sends heartbeats.
  if (!heartbeat || heartbeat->machine != machine || context_.registry.removed(machine) ||
      !parts_.attached.is_attached(status))
    return;
  if (heartbeat->fencing_token.epoch() > context_.membership.epoch().number)
    spdlog::info("machine {} has fencing token {} of the later epoch {}, epoch {}", machine,
                 heartbeat->fencing_token, heartbeat->fencing_token.epoch(),
                 context_.membership.epoch().number);
  if (!status->heartbeat.same_content_as(*heartbeat)) parts_.forwarder.forward(*heartbeat, false);
  accept(*heartbeat, context_.membership.self(), false);
}

void HeartbeatHandler::accept(const wire::Heartbeat& heartbeat,
                              const cluster::ControllerId& controller, bool sent_by_worker) {
  const auto machine = heartbeat.machine;
  const auto* before = context_.registry.find(machine);
  const bool repeats = before && before->attached_controller == controller &&
                       before->heartbeat.same_content_as(heartbeat);
  if (!repeats) check_for_unexpected_attempts(before, heartbeat, controller);
  if (!context_.registry.update(heartbeat, controller, context_.runtime.now())) return;
  parts_.starts.on_heartbeat(machine, sent_by_worker);
  if (controller == context_.membership.self())
    update_attached(machine);
  else
    detach(machine);
  if (!repeats) context_.runtime.post([this, machine] { on_update_(machine); });
}

void HeartbeatHandler::check_for_unexpected_attempts(const MachineStatus* before,
                                                     const wire::Heartbeat& heartbeat,
                                                     const cluster::ControllerId& controller) {
  const auto* entry = parts_.attached.find(heartbeat.machine);
  if (!entry || !parts_.attached.is_attached(before) || controller != context_.membership.self() ||
      !heartbeat.newer_than(before->heartbeat))
    return;
  parts_.monitor.on_heartbeat(*entry, before->heartbeat, heartbeat);
}

void HeartbeatHandler::update_attached(const std::string& machine) {
  auto& entry = parts_.attached.get_or_add(machine);
  const auto& status = *context_.registry.find(machine);
  parts_.dispatcher.clean_up_ended_jobs(entry, status);
  if (context_.registry.cordoned(machine) || status.drained || status.heartbeat.preemption_notice)
    parts_.probes.drop_probes(machine);
}

void HeartbeatHandler::detach(const std::string& machine) {
  auto* entry = parts_.attached.find(machine);
  if (!entry) return;
  parts_.probes.drop_probes(machine);
  parts_.dispatcher.on_detached(machine, *entry);
  if (entry->is_unused()) parts_.attached.erase(machine);
}

bool HeartbeatHandler::redirect(const std::string& machine, AttachedMachine& entry) {
  const auto& commands = entry.commands;
  const bool commands_in_flight =
      !commands.starts().empty() || commands.pending_count() > 0 || entry.direct.in_flight;
  if (!parts_.peer_loads.may_redirect() || parts_.probes.is_pulling(machine) ||
      commands_in_flight || !entry.response.respond || !context_.registry.registered(machine))
    return false;
  const auto controller = parts_.peer_loads.take_redirect();
  if (!controller) return false;
  parts_.responder.redirect(machine, entry, *controller);
  return true;
}
}  // namespace limemast::machines

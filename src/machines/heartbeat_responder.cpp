#include "machines/heartbeat_responder.hpp"

#include <algorithm>
#include <utility>

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;
/// How long a response waits for the answer to the pull in flight.
constexpr auto kMaxWaitForPull = 40ms;

constexpr int kAccepted = 200;
constexpr int kRedirected = 421;
constexpr int kRefused = 503;
}  // namespace

net::HttpResponse heartbeat_response(int code, std::string body, const MachineStatus* status) {
  net::HttpResponse response{code, std::move(body), 0, {}};
  const auto is_live = [](const wire::TaskStatus& task) { return !task.exited(); };
  const bool busy = status && std::any_of(status->heartbeat.tasks.begin(),
                                          status->heartbeat.tasks.end(), is_live);
  response.connection_class =
      busy ? net::ConnectionClass::BusyMachine : net::ConnectionClass::Machine;
  return response;
}

net::HttpResponse refusal_response(std::string body) {
  return heartbeat_response(kRefused, std::move(body), nullptr);
}

HeartbeatResponder::HeartbeatResponder(const GatewayContext& context, AttachedMachines& attached,
                                       ProbeService& probes, DirectCommandSender& direct,
                                       CommandMonitor& monitor)
    : context_(context), attached_(attached), probes_(probes), direct_(direct), monitor_(monitor) {}

void HeartbeatResponder::hold(AttachedMachine& entry, net::Responder respond,
                              std::uint64_t sequence) {
  auto& response = entry.response;
  if (response.respond) response.respond(refusal_response());
  response.respond = std::move(respond);
  response.sequence = sequence;
  ++response.serial;
}

void HeartbeatResponder::schedule(const std::string& machine) {
  auto& response = attached_.get_or_add(machine).response;
  const auto respond_to_same = [this, machine, serial = response.serial] {
    const auto* entry = attached_.find(machine);
    if (entry && entry->response.serial == serial) respond(machine);
  };
  cancel_timer(response);
  response.timer = context_.runtime.after(kMaxWaitForPull, respond_to_same);
  // Messages that the heartbeat caused are posted by now, and the owners on this controller post
  // their commands while handling them. Three turns of the event loop deliver all of these.
  auto& runtime = context_.runtime;
  runtime.post([this, respond_to_same, machine, &runtime] {
    runtime.post([this, respond_to_same, machine, &runtime] {
      runtime.post([this, respond_to_same, machine] {
        if (attached_.find(machine) && !probes_.is_pulling(machine)) respond_to_same();
      });
    });
  });
}

void HeartbeatResponder::respond(const std::string& machine) {
  auto& entry = attached_.get_or_add(machine);
  if (!entry.response.respond) return;
  const auto respond = take(entry.response);
  const auto* status = context_.registry.find(machine);
  if (!context_.membership.may_act() || !attached_.is_attached(status))
    return respond(refusal_response());
  auto token = attached_.command_token(entry, *status);
  // The worker would drop a response with a lower token, and its lease would expire.
  if (!token) return respond(refusal_response());
  std::vector<wire::Command> commands;
  // A direct request in flight may carry earlier commands, and later ones must not overtake them.
  if (context_.registry.registered(machine) && !entry.direct.in_flight) {
    token = attached_.token_for_pending_commands(entry, *status);
    commands =
        entry.commands.take_for_response(status->heartbeat.incarnation, entry.response.sequence);
  }
  if (!commands.empty())
    monitor_.on_sent(
        {machine, DeliveryRoute::Response, *token, status->heartbeat.incarnation, commands},
        entry.commands.starts());
  respond(heartbeat_response(kAccepted, wire::commands_body(*token, commands).dump(), status));
  // Without a request, the worker shows a higher token only in its next heartbeat, half a lease
  // later. The request proves one heartbeat interval sooner which tasks the machine has.
  if (std::exchange(entry.response.request_token, false) &&
      status->heartbeat.fencing_token.epoch() < context_.membership.epoch().number)
    direct_.request_token(machine, entry);
}

void HeartbeatResponder::redirect(const std::string& machine, AttachedMachine& entry,
                                  const cluster::ControllerId& controller) {
  const auto respond = take(entry.response);
  respond(heartbeat_response(kRedirected, wire::json{{"home", controller.label()}}.dump(),
                             context_.registry.find(machine)));
}

void HeartbeatResponder::refuse(AttachedMachine& entry) {
  if (entry.response.respond) entry.response.respond(refusal_response());
}

net::Responder HeartbeatResponder::take(WaitingResponse& response) {
  auto respond = std::exchange(response.respond, nullptr);
  cancel_timer(response);
  return respond;
}

void HeartbeatResponder::cancel_timer(WaitingResponse& response) {
  if (response.timer != 0) context_.runtime.cancel(std::exchange(response.timer, 0));
}
}  // namespace limemast::machines

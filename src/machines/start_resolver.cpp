#include "machines/start_resolver.hpp"

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;
/// Exceeds the longest time that a message between controllers may be in flight.
constexpr auto kRefusalRetention = 120s;
}  // namespace

StartResolver::StartResolver(const GatewayContext& context, AttachedMachines& attached)
    : context_(context), attached_(attached) {
  context_.message_bus.on<messages::QueryStart>(
      [this](const cluster::ControllerId& from, const auto& message) {
        on_query_start(from, message);
      });
}

void StartResolver::on_heartbeat(const std::string& machine, bool sent_by_worker) {
  auto* entry = attached_.find(machine);
  const auto* status = context_.registry.find(machine);
  if (!entry || !status) return;
  entry->commands.remove_starts_if([&](const InFlightStart& start) {
    const auto outcome = resolve_delivery(start, status->heartbeat, sent_by_worker);
    if (outcome == DeliveryOutcome::Pending) return false;
    report(machine, start, outcome == DeliveryOutcome::Arrived);
    return true;
  });
}

void StartResolver::cancel_queued(const std::string& machine, CommandQueue& commands,
                                  const Matches& matches) {
  fail(machine, commands, [&](const InFlightStart& start) {
    return start.route == DeliveryRoute::Queued && matches(start);
  });
}

void StartResolver::fail(const std::string& machine, CommandQueue& commands,
                         const Matches& matches) {
  commands.remove_starts_if([&](const InFlightStart& start) {
    if (!matches(start)) return false;
    report(machine, start, false);
    return true;
  });
}

void StartResolver::refuse(const std::string& machine, const InFlightStart& start) {
  refused_[TaskAttempt::of(start.command)] = context_.runtime.now();
  report(machine, start, false);
}

void StartResolver::forget_old_refusals() {
  const auto limit = context_.runtime.now() - kRefusalRetention;
  std::erase_if(refused_, [&](const auto& refused) { return refused.second < limit; });
}

void StartResolver::on_query_start(const cluster::ControllerId& from,
                                   const messages::QueryStart& message) {
  const auto& machine = message.machine;
  const auto* status = context_.registry.find(machine);
  const auto* entry = attached_.find(machine);
  if (entry && entry->commands.has_start(message)) {
    // The start is resolved by a heartbeat with a higher token than the one that it was sent with.
    // The controller to which the machine is attached now may not know that token, because the
    // broadcast was lost or came while the machine moved. No heartbeat would then resolve the
    // start, so the token is broadcast again.
    if (status && !attached_.is_attached(status) &&
        status->heartbeat.fencing_token < entry->token_floor.command_floor())
      attached_.broadcast_token_floor(machine);
    return;
  }
  InFlightStart start;
  start.command = command_for(wire::CommandKind::Start, message);
  start.owner = from;
  const bool arrived = status && status->heartbeat.incarnation == message.incarnation &&
                       status->heartbeat.find(message.uid, message.index, message.attempt);
  // The start may still be on its way to this controller. Once it is reported as not arrived, it
  // must never be sent to the machine.
  if (!arrived) return refuse(machine, start);
  report(machine, start, true);
}

void StartResolver::report(const std::string& machine, const InFlightStart& start, bool arrived) {
  messages::StartResolved message;
  message.machine = machine;
  if (const auto* status = context_.registry.find(machine)) {
    message.incarnation = status->heartbeat.incarnation;
    message.sequence = status->heartbeat.sequence;
  }
  message.uid = start.command.uid;
  message.index = start.command.index;
  message.attempt = start.command.attempt;
  message.arrived = arrived;
  context_.message_bus.send(start.owner, message);
}
}  // namespace limemast::machines

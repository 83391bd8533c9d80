#include "machines/command_dispatcher.hpp"

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;
using wire::CommandKind;
constexpr auto kMaxMessageAge = 8s;
}  // namespace

CommandDispatcher::CommandDispatcher(const GatewayContext& context, AttachedMachines& attached,
                                     ProbeService& probes, StartResolver& starts,
                                     DirectCommandSender& direct, HeartbeatResponder& responder,
                                     UnknownJobLookup& unknown_jobs, CommandMonitor& monitor)
    : context_(context),
      attached_(attached),
      probes_(probes),
      starts_(starts),
      direct_(direct),
      responder_(responder),
      unknown_jobs_(unknown_jobs),
      monitor_(monitor) {
  using cluster::ControllerId;
  context_.message_bus.on<messages::StartTask>(
      [this](const ControllerId& from, const auto& message) { on_start_task(from, message); });
  context_.message_bus.on<messages::CommandWorker>(
      [this](const ControllerId& from, const auto& message) { on_command_worker(from, message); });
}

bool CommandDispatcher::is_recent(messages::SentAt sent_at) const {
  return context_.runtime.wall() - sent_at <
         kMaxMessageAge + 2 * net::to_duration(context_.settings.max_clock_skew);
}

void CommandDispatcher::on_start_task(const cluster::ControllerId& from,
                                      const messages::StartTask& message) {
  const auto& machine = message.machine;
  InFlightStart start;
  start.command = command_for(CommandKind::Start, message);
  start.owner = from;
  start.incarnation = message.incarnation;
  start.need = message.need;
  if (message.pulled && attached_.find(machine)) probes_.on_task_pulled(machine, message.uid);
  Resources evicted;
  const auto evictions = live_evictions(message, evicted);
  if (!may_start(message, evicted)) return starts_.refuse(machine, start);
  auto& entry = attached_.get_or_add(machine);
  // Commands are executed in order, stops before starts, so the evicted resources are free when the
  // start is executed.
  for (const auto& stop : evictions) entry.commands.append(stop);
  entry.commands.add_start(std::move(start));
  probes_.pull_next(machine);
  if (entry.response.respond && !probes_.is_pulling(machine))
    responder_.respond(machine);
  else
    direct_.send_soon(machine);
}

std::vector<wire::Command> CommandDispatcher::live_evictions(const messages::StartTask& message,
                                                             Resources& freed) const {
  std::vector<wire::Command> evictions;
  const auto* status = context_.registry.find(message.machine);
  if (!status) return evictions;
  for (const auto& stop : message.evictions) {
    const auto* job = context_.jobs.find(stop.uid);
    const auto* task = status->heartbeat.find(stop.uid, stop.index, stop.attempt);
    if (!job || !task || task->exited()) continue;
    evictions.push_back(stop);
    freed += Resources::of(job->spec);
  }
  return evictions;
}

bool CommandDispatcher::may_start(const messages::StartTask& message,
                                  const Resources& evicted) const {
  const auto* status = context_.registry.find(message.machine);
  if (!attached_.find(message.machine) || !attached_.is_attached(status) ||
      !context_.may_start_on(*status) || status->heartbeat.incarnation != message.incarnation)
    return false;
  const auto* job = context_.jobs.find(message.uid);
  if ((job && job->ended) || !is_recent(message.sent_at) ||
      starts_.is_refused(TaskAttempt::of(message)))
    return false;
  auto free = probes_.free_resources(message.machine);
  free += evicted;
  return free.fits(message.need);
}

void CommandDispatcher::on_command_worker(const cluster::ControllerId& from,
                                          const messages::CommandWorker& message) {
  const auto& machine = message.machine;
  const auto* status = context_.registry.find(machine);
  if (!attached_.is_attached(status) || !is_recent(message.sent_at)) return;
  if (!message.command || message.command->kind == CommandKind::Start) return;
  const auto& command = *message.command;
  auto& entry = attached_.get_or_add(machine);
  if (command.kind == CommandKind::Forget) {
    if (!may_forget(entry, *status, command)) return;
  } else {
    starts_.cancel_queued(machine, entry.commands, [&](const InFlightStart& start) {
      return start.owner == from && same_attempt(start.command, command);
    });
  }
  entry.commands.append_once(command);
  if (command.kind == CommandKind::Stop) direct_.send_soon(machine);
}

bool CommandDispatcher::may_forget(const AttachedMachine& entry, const MachineStatus& status,
                                   const wire::Command& command) const {
  // A start that arrives after the forget would run the attempt again, so none may be in flight.
  const bool allowed =
      entry.token_floor.allows_forget(status.heartbeat) && !entry.commands.has_start(command);
  monitor_.on_forget_requested(status.heartbeat.machine, TaskAttempt::of(command), allowed);
  return allowed;
}

void CommandDispatcher::clean_up_ended_jobs(AttachedMachine& entry, const MachineStatus& status) {
  for (const auto& task : status.heartbeat.tasks) {
    const auto* job = context_.jobs.find(task.uid);
    if (!job) unknown_jobs_.look_up(task.uid);
    if (!job || !job->ended) continue;
    const auto kind = task.exited() ? CommandKind::Forget : CommandKind::Stop;
    const auto command = command_for(kind, task);
    if (kind == CommandKind::Stop || may_forget(entry, status, command))
      entry.commands.append_once(command);
  }
}

void CommandDispatcher::on_job_ended(const std::string& uid) {
  // No task may start after the end of its job was confirmed.
  for (auto& [machine, entry] : attached_.all())
    starts_.cancel_queued(machine, entry.commands,
                          [&](const InFlightStart& start) { return start.command.uid == uid; });
  for (auto& [machine, entry] : attached_.all())
    if (const auto* status = context_.registry.find(machine); attached_.is_attached(status))
      stop_tasks(machine, entry, *status, uid);
}

void CommandDispatcher::stop_tasks(const std::string& machine, AttachedMachine& entry,
                                   const MachineStatus& status, const std::string& uid) {
  const auto before = entry.commands.pending_count();
  for (const auto& start : entry.commands.starts()) {
    if (start.command.uid != uid) continue;
    if (start.route == DeliveryRoute::Direct && !start.acknowledged)
      direct_.send_stop_after_start(machine, start.command);
    else
      entry.commands.append_once(command_for(CommandKind::Stop, start.command));
  }
  if (context_.registry.has_live_tasks(uid)) {
    for (const auto& task : status.heartbeat.tasks)
      if (task.uid == uid && !task.exited())
        entry.commands.append_once(command_for(CommandKind::Stop, task));
  }
  if (entry.commands.pending_count() != before) direct_.send_soon(machine);
}

void CommandDispatcher::on_detached(const std::string& machine, AttachedMachine& entry) {
  entry.commands.clear_pending();
  starts_.cancel_queued(machine, entry.commands, [](const InFlightStart&) { return true; });
}

void CommandDispatcher::drop_starts_of_lost_owners(AttachedMachine& entry) const {
  entry.commands.remove_starts_if([&](const InFlightStart& start) {
    return start.route == DeliveryRoute::Queued && !context_.membership.is_member(start.owner);
  });
}
}  // namespace limemast::machines

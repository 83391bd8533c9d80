#include "machines/direct_command_sender.hpp"

#include <algorithm>
#include <utility>

#include <spdlog/spdlog.h>

#include "machines/worker_requests.hpp"

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;
/// Commands that are queued within this delay share one request.
constexpr auto kSendDelay = 3ms;
/// After a failed request, the machine gets its commands only in responses for this long.
constexpr auto kPauseAfterFailure = 10s;
/// Maximum number of requests in flight: unreachable machines must not use up all sockets.
constexpr std::size_t kMaxInFlight = 128;
/// A machine may hang if its last heartbeat is older than this multiple of the heartbeat interval
/// plus `kMaxSilenceMargin`.
constexpr double kMaxSilenceIntervals = 1.25;
constexpr auto kMaxSilenceMargin = 1s;

constexpr int kExecuted = 200;
constexpr int kMalformed = 400;
constexpr int kTokenOrIncarnationRejected = 409;

/// Whether the worker has not executed the commands of this request and never will.
bool never_executed(const net::HttpResult& result) {
  const bool not_sent = result.status == 0 && !result.maybe_sent;
  return not_sent || result.status == kTokenOrIncarnationRejected || result.status == kMalformed;
}

CommandOutcome outcome_of(const net::HttpResult& result) {
  if (result.status == kExecuted) return CommandOutcome::Executed;
  return never_executed(result) ? CommandOutcome::Rejected : CommandOutcome::Unanswered;
}
}  // namespace

DirectCommandSender::DirectCommandSender(const GatewayContext& context, AttachedMachines& attached,
                                         StartResolver& starts, ProbeService& probes,
                                         CommandMonitor& monitor, OnResponse on_response)
    : context_(context),
      attached_(attached),
      starts_(starts),
      probes_(probes),
      monitor_(monitor),
      on_response_(std::move(on_response)) {}

void DirectCommandSender::send_soon(const std::string& machine) {
  auto* entry = attached_.find(machine);
  if (!entry || entry->direct.send_scheduled || entry->response.respond) return;
  entry->direct.send_scheduled = true;
  context_.runtime.after(kSendDelay, [this, machine] {
    if (auto* later = attached_.find(machine)) {
      later->direct.send_scheduled = false;
      send(machine);
    }
  });
}

void DirectCommandSender::request_token(const std::string& machine, AttachedMachine& entry) {
  entry.direct.token_requested = true;
  send_soon(machine);
}

bool DirectCommandSender::may_send(const std::string& machine, const AttachedMachine& entry,
                                   const MachineStatus* status) const {
  return attached_.is_attached(status) && context_.membership.may_act() &&
         context_.registry.registered(machine) && !entry.direct.in_flight &&
         !entry.response.respond && context_.runtime.now() >= entry.direct.paused_until;
}

void DirectCommandSender::send(const std::string& machine) {
  auto& entry = attached_.get_or_add(machine);
  const auto* status = context_.registry.find(machine);
  if (!may_send(machine, entry, status)) return;
  if (in_flight_ >= kMaxInFlight) {
    waiting_machines_.insert(machine);
    return;
  }
  // Starts are sent only if the machine has a recent heartbeat, because a worker that hangs would
  // execute them when it resumes. Stops may arrive late, and a direct request can reach a worker
  // that cannot open connections itself.
  const auto max_silence =
      net::to_duration(context_.settings.heartbeat_interval * kMaxSilenceIntervals);
  const bool has_recent_heartbeat =
      context_.runtime.now() - status->last_heartbeat <= max_silence + kMaxSilenceMargin;
  const auto token = attached_.token_for_pending_commands(entry, *status);
  if (!token) return;
  // No later token of the epoch could outdate a start that is sent with the last one.
  const bool with_starts = has_recent_heartbeat && !token->is_last_of_epoch();
  const auto commands =
      entry.commands.take_for_request(status->heartbeat.incarnation, *token, with_starts);
  const auto epoch_token = ids::FencingToken::base(context_.membership.epoch().number);
  const bool announce = has_recent_heartbeat &&
                        std::exchange(entry.direct.token_requested, false) &&
                        status->heartbeat.fencing_token < epoch_token;
  if (commands.empty() && !announce) return;
  entry.direct.in_flight = true;
  const SentCommands sent{machine, DeliveryRoute::Direct, *token, status->heartbeat.incarnation,
                          commands};
  monitor_.on_sent(sent, entry.commands.starts());
  post(sent, status->heartbeat.address);
}

void DirectCommandSender::post(const SentCommands& sent, const net::Endpoint& address) {
  ++in_flight_;
  context_.runtime.http(
      address, command_request(sent.incarnation, sent.token, sent.commands), kWorkerRequestTimeout,
      [this, sent](const net::HttpResult& result) { handle_response(sent, result); });
}

void DirectCommandSender::send_to_next_waiting() {
  if (waiting_machines_.empty()) return;
  send_soon(waiting_machines_.extract(waiting_machines_.begin()).value());
}

void DirectCommandSender::handle_response(const SentCommands& sent, const net::HttpResult& result) {
  --in_flight_;
  send_to_next_waiting();
  monitor_.on_answered(sent, outcome_of(result));
  const auto& machine = sent.machine;
  auto* entry = attached_.find(machine);
  if (!entry) return;
  entry->direct.in_flight = false;
  // Stops that may not have been executed are queued again for the response to the next heartbeat.
  if (result.status != kExecuted)
    for (const auto& command : sent.commands)
      if (command.kind == wire::CommandKind::Stop) entry->commands.append_once(command);
  resolve_sent_starts(sent, *entry, result);
  on_response_(machine, result);
  if (!attached_.is_attached(machine)) return;
  probes_.pull_next(machine);
  if (entry->commands.pending_count() > 0 || entry->direct.token_requested) send_soon(machine);
}

void DirectCommandSender::resolve_sent_starts(const SentCommands& sent, AttachedMachine& entry,
                                              const net::HttpResult& result) {
  const auto& machine = sent.machine;
  const auto was_sent = [&](const InFlightStart& start) {
    return start.route == DeliveryRoute::Direct && start.fencing_token == sent.token &&
           std::any_of(
               sent.commands.begin(), sent.commands.end(),
               [&](const wire::Command& command) { return same_attempt(command, start.command); });
  };
  if (result.status == kExecuted) return entry.commands.acknowledge_if(was_sent);
  entry.direct.paused_until = context_.runtime.now() + kPauseAfterFailure;
  if (never_executed(result)) return starts_.fail(machine, entry.commands, was_sent);
  // The worker may still execute the starts later. Only a higher token on the machine prevents
  // that.
  const auto& starts = entry.commands.starts();
  if (std::none_of(starts.begin(), starts.end(), was_sent)) return;
  entry.token_floor.raise(sent.token.next());
  monitor_.on_token_raised(machine, sent.token.next(), TokenRaiseReason::UnansweredStart);
  attached_.broadcast_token_floor(machine);
  spdlog::info(
      "machine {} did not acknowledge a direct command in epoch {}: raising its fencing token",
      machine, context_.membership.epoch().number);
}

void DirectCommandSender::send_stop_after_start(const std::string& machine,
                                                const wire::Command& start) {
  const auto* status = context_.registry.find(machine);
  const auto* entry = attached_.find(machine);
  if (!status || !entry || !context_.membership.may_act() || in_flight_ >= kMaxInFlight)
    return;  // `CommandDispatcher::clean_up_ended_jobs` stops the task when a heartbeat lists it
  const auto token = attached_.command_token(*entry, *status);
  if (!token) return;  // the controllers of the later epoch stop it likewise
  ++in_flight_;
  const SentCommands sent{machine,
                          DeliveryRoute::Direct,
                          *token,
                          status->heartbeat.incarnation,
                          {command_for(wire::CommandKind::Stop, start)}};
  monitor_.on_sent(sent, {});
  context_.runtime.http(status->heartbeat.address,
                        command_request(sent.incarnation, sent.token, sent.commands),
                        kWorkerRequestTimeout, [this, sent](const net::HttpResult& result) {
                          --in_flight_;
                          monitor_.on_answered(sent, outcome_of(result));
                          on_response_(sent.machine, result);
                        });
}
}  // namespace limemast::machines

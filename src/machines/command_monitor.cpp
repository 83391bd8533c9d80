#include "machines/command_monitor.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

namespace limemast::machines {
namespace {
/// Commands that are kept for the report of an unexpected attempt.
constexpr std::size_t kMaxHistory = 4096;
/// Attempts that are remembered as reported, and forgets as deferred. Older ones are dropped.
constexpr std::size_t kMaxRemembered = 4096;
/// Unexpected attempts that are logged per second on average, and at once.
constexpr double kReportsPerSecond = 0.2, kReportBurst = 20;

const char* name_of(wire::CommandKind kind) {
  switch (kind) {
    case wire::CommandKind::Start:
      return "start";
    case wire::CommandKind::Stop:
      return "stop";
    case wire::CommandKind::Forget:
      return "forget";
  }
  return "unknown";
}

const char* name_of(DeliveryRoute route) {
  return route == DeliveryRoute::Direct ? "direct" : "in a response";
}

const char* name_of(CommandOutcome outcome) {
  switch (outcome) {
    case CommandOutcome::Executed:
      return "executed";
    case CommandOutcome::Rejected:
      return "rejected";
    case CommandOutcome::Unanswered:
      return "unanswered";
    case CommandOutcome::Unconfirmed:
      return "unconfirmed";
  }
  return "unknown";
}

const char* name_of(TokenRaiseReason reason) {
  switch (reason) {
    case TokenRaiseReason::Forget:
      return "forget";
    case TokenRaiseReason::UnansweredStart:
      return "unanswered start";
    case TokenRaiseReason::Attached:
      return "machine attached";
    case TokenRaiseReason::Adopted:
      return "machine adopted";
  }
  return "unknown";
}

/// Why a command of this kind may be sent.
const char* rule_of(wire::CommandKind kind) {
  switch (kind) {
    case wire::CommandKind::Start:
      return "assigned by its owner";
    case wire::CommandKind::Stop:
      return "a stop may always be sent";
    case wire::CommandKind::Forget:
      return "exited, no start of it in flight";
  }
  return "unknown";
}
}  // namespace

CommandMonitor::CommandMonitor(const GatewayContext& context, CommandMetrics* metrics)
    : context_(context), metrics_(metrics), report_rate_(kReportsPerSecond, kReportBurst) {}

void CommandMonitor::on_sent(const SentCommands& sent, const std::vector<InFlightStart>& starts) {
  if (metrics_ && sent.route == DeliveryRoute::Response)
    for (const auto& command : sent.commands)
      metrics_->command_sent(command.kind, sent.route, CommandOutcome::Unconfirmed);
  if (spdlog::should_log(spdlog::level::info)) {
    const auto outcome = sent.route == DeliveryRoute::Direct ? CommandOutcome::Unanswered
                                                             : CommandOutcome::Unconfirmed;
    for (const auto& command : sent.commands)
      history_.push_back({sent.machine, TaskAttempt::of(command), command.kind, sent.route,
                          sent.token, context_.runtime.now(), outcome});
    while (history_.size() > kMaxHistory) history_.pop_front();
  }
  if (!spdlog::should_log(spdlog::level::debug)) return;
  for (const auto& command : sent.commands) {
    const auto start = std::find_if(starts.begin(), starts.end(), [&](const auto& candidate) {
      return same_attempt(candidate.command, command);
    });
    spdlog::debug(
        "machine {}: {} of job {} task {} attempt {} sent {}, token {}, incarnation {}, owner {} "
        "({}), epoch {}",
        sent.machine, name_of(command.kind), command.uid, command.index, command.attempt,
        name_of(sent.route), sent.token, sent.incarnation,
        start == starts.end() ? cluster::ControllerId() : start->owner, rule_of(command.kind),
        context_.membership.epoch().number);
  }
}

void CommandMonitor::on_answered(const SentCommands& sent, CommandOutcome outcome) {
  if (metrics_)
    for (const auto& command : sent.commands)
      metrics_->command_sent(command.kind, sent.route, outcome);
  auto unmarked = sent.commands.size();
  for (auto record = history_.rbegin(); record != history_.rend() && unmarked > 0; ++record) {
    const auto is_record = [&](const wire::Command& command) {
      return command.kind == record->kind && same_attempt(command, record->attempt);
    };
    if (record->machine != sent.machine || record->token != sent.token ||
        std::none_of(sent.commands.begin(), sent.commands.end(), is_record))
      continue;
    record->outcome = outcome;
    --unmarked;
  }
}

void CommandMonitor::on_token_raised(const std::string& machine, ids::FencingToken token,
                                     TokenRaiseReason reason) {
  if (metrics_) metrics_->token_raised(reason);
  spdlog::debug("machine {}: fencing token raised to {} ({}), epoch {}", machine, token,
                name_of(reason), context_.membership.epoch().number);
}

void CommandMonitor::on_forget_requested(const std::string& machine, const TaskAttempt& attempt,
                                         bool allowed) {
  if (allowed) {
    const auto deferred = deferred_forgets_.extract(attempt);
    if (metrics_ && !deferred.empty())
      metrics_->deferred_forget_sent(context_.runtime.now() - deferred.mapped());
    return;
  }
  if (deferred_forgets_.size() >= kMaxRemembered) deferred_forgets_.clear();
  if (!deferred_forgets_.try_emplace(attempt, context_.runtime.now()).second) return;
  spdlog::debug("machine {}: forget of job {} task {} attempt {} deferred, epoch {}", machine,
                attempt.uid, attempt.index, attempt.attempt, context_.membership.epoch().number);
}

void CommandMonitor::on_heartbeat(const AttachedMachine& machine, const wire::Heartbeat& previous,
                                  const wire::Heartbeat& heartbeat) {
  // While earlier commands of another controller may be in flight, its attempts may appear.
  if (!machine.token_floor.allows_forget(previous) || heartbeat.incarnation != previous.incarnation)
    return;
  for (const auto& task : heartbeat.tasks)
    if (!task.exited() && !previous.find(task.uid, task.index, task.attempt) &&
        !machine.commands.has_start(task))
      report_unexpected(heartbeat, task);
}

void CommandMonitor::report_unexpected(const wire::Heartbeat& heartbeat,
                                       const wire::TaskStatus& task) {
  const auto attempt = TaskAttempt::of(task);
  if (reported_.size() >= kMaxRemembered) reported_.clear();
  if (!reported_.insert(attempt).second) return;
  if (metrics_) metrics_->attempt_reappeared();
  if (!report_rate_.take(context_.runtime.now(), 1)) return;
  spdlog::info(
      "machine {} shows job {} task {} attempt {}, which this controller had forgotten or did not "
      "start there (token {}, incarnation {}); last commands for it: {}; epoch {}",
      heartbeat.machine, task.uid, task.index, task.attempt, heartbeat.fencing_token,
      heartbeat.incarnation, history_of(heartbeat.machine, attempt),
      context_.membership.epoch().number);
}

std::string CommandMonitor::history_of(const std::string& machine,
                                       const TaskAttempt& attempt) const {
  std::string out;
  for (const auto& record : history_) {
    if (record.machine != machine || record.attempt != attempt) continue;
    const auto age = net::to_seconds(context_.runtime.now() - record.sent_at).count();
    out += fmt::format("{}{} {} with token {} {:.1f} s ago, {}", out.empty() ? "" : ", ",
                       name_of(record.kind), name_of(record.route), record.token, age,
                       name_of(record.outcome));
  }
  return out.empty() ? "none" : out;
}
}  // namespace limemast::machines

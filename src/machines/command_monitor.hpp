#pragma once
// Logs and counts the commands to workers, and reports attempts that should not be on a machine.
#include <deque>
#include <map>
#include <set>

#include "machines/attached_machines.hpp"
#include "machines/command_metrics.hpp"
#include "net/token_bucket.hpp"

namespace limemast::machines {
/// Commands that left this controller together.
struct SentCommands {
  std::string machine;
  DeliveryRoute route = DeliveryRoute::Direct;
  ids::FencingToken token{};
  std::uint64_t incarnation = 0;  ///< of the worker
  std::vector<wire::Command> commands;
};

/// Takes part in no decision. The history of commands is kept only if information is logged.
class CommandMonitor {
 public:
  /// `metrics` may be null.
  CommandMonitor(const GatewayContext& context, CommandMetrics* metrics);

  /// Called when the commands leave in the response to a heartbeat or in a direct request.
  /// `starts`: the unresolved starts of the machine, which name the owners.
  void on_sent(const SentCommands& sent, const std::vector<InFlightStart>& starts);
  /// Called when a direct request was answered or its timeout has passed.
  void on_answered(const SentCommands& sent, CommandOutcome outcome);
  void on_token_raised(const std::string& machine, ids::FencingToken token,
                       TokenRaiseReason reason);
  /// Called when a forget was requested. `allowed`: whether it is sent now or deferred.
  void on_forget_requested(const std::string& machine, const TaskAttempt& attempt, bool allowed);
  /// Called before `heartbeat` replaces the previous one of an attached machine. Reports the live
  /// attempts that appear in it although no start of them is in flight from this controller.
  void on_heartbeat(const AttachedMachine& machine, const wire::Heartbeat& previous,
                    const wire::Heartbeat& heartbeat);

 private:
  /// One command in the history.
  struct Record {
    std::string machine;
    TaskAttempt attempt;
    wire::CommandKind kind = wire::CommandKind::Start;
    DeliveryRoute route = DeliveryRoute::Direct;
    ids::FencingToken token{};
    net::Time sent_at{};
    CommandOutcome outcome = CommandOutcome::Unanswered;
  };
  void report_unexpected(const wire::Heartbeat& heartbeat, const wire::TaskStatus& task);
  /// The last commands for the attempt, each with route, token, outcome and age.
  std::string history_of(const std::string& machine, const TaskAttempt& attempt) const;

  GatewayContext context_;
  CommandMetrics* metrics_;
  std::deque<Record> history_;  ///< the oldest first
  std::set<TaskAttempt> reported_;
  net::TokenBucket report_rate_;
  /// When a forget that is deferred was first requested.
  std::map<TaskAttempt, net::Time> deferred_forgets_;
};
}  // namespace limemast::machines

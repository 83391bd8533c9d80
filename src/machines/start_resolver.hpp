#pragma once
// Reports to job owners whether the start commands that this controller delivers have arrived.
#include <functional>
#include <map>

#include "machines/attached_machines.hpp"
#include "messages/tasks.hpp"

namespace limemast::machines {
/// Reports each start to its owner exactly once, as arrived or as never arriving. An attempt that
/// was reported as never arriving is remembered, so that a start of it that comes late is refused.
class StartResolver {
 public:
  /// Registers the handler of `QueryStart`.
  StartResolver(const GatewayContext& context, AttachedMachines& attached);

  /// Resolves the starts about which the machine's newest heartbeat proves something.
  /// `sent_by_worker`: see `resolve_delivery`.
  void on_heartbeat(const std::string& machine, bool sent_by_worker);

  using Matches = std::function<bool(const InFlightStart&)>;
  /// Removes the matching starts that were not sent, and reports them as never arriving.
  void cancel_queued(const std::string& machine, CommandQueue& commands, const Matches& matches);
  /// Removes the matching starts, sent or not, and reports them as never arriving. The caller knows
  /// that the worker will not execute them.
  void fail(const std::string& machine, CommandQueue& commands, const Matches& matches);
  /// Reports the start as never arriving and refuses all later starts of its attempt.
  void refuse(const std::string& machine, const InFlightStart& start);
  bool is_refused(const TaskAttempt& attempt) const { return refused_.contains(attempt); }
  /// Forgets refused attempts for which no start can still be in flight.
  void forget_old_refusals();

 private:
  void on_query_start(const cluster::ControllerId& from, const messages::QueryStart& message);
  void report(const std::string& machine, const InFlightStart& start, bool arrived);

  GatewayContext context_;
  AttachedMachines& attached_;
  /// Attempts that were reported as not arrived although a start of them may still come, and when
  /// they were refused.
  std::map<TaskAttempt, net::Time> refused_;
};
}  // namespace limemast::machines

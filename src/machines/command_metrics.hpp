#pragma once
// Counters about the commands to workers.
#include "machines/delivery_resolution.hpp"
#include "net/runtime.hpp"

namespace limemast::machines {
/// What a worker did with a command.
enum class CommandOutcome {
  Executed,    ///< the worker answered the request with success
  Rejected,    ///< it will never be executed: rejected by the worker, or not sent at all
  Unanswered,  ///< it may have been executed, or may yet be
  Unconfirmed  ///< sent in the response to a heartbeat, which is not answered
};

/// Why the fencing token of a machine was raised.
enum class TokenRaiseReason {
  Forget,           ///< a forget must be above the starts of the attempt
  UnansweredStart,  ///< a direct start may still arrive
  Attached,         ///< the machine attached to this controller
  Adopted           ///< the machine was adopted from a lost controller
};

/// Receives the events that are counted. Outlives the controller incarnation that reports them.
class CommandMetrics {
 public:
  virtual ~CommandMetrics() = default;
  virtual void command_sent(wire::CommandKind kind, DeliveryRoute route,
                            CommandOutcome outcome) = 0;
  virtual void token_raised(TokenRaiseReason reason) = 0;
  /// A machine shows an attempt that its controller did not start there, or had forgotten.
  virtual void attempt_reappeared() = 0;
  /// A forget was sent `delay` after it was first requested.
  virtual void deferred_forget_sent(net::Duration delay) = 0;
};
}  // namespace limemast::machines

#pragma once
// The machines that are attached to this controller: each has sent its newest heartbeat here, or
// commands of this controller to it are still in flight.
#include <optional>
#include <string>
#include <unordered_map>

#include "machines/command_queue.hpp"
#include "machines/gateway_context.hpp"
#include "net/runtime.hpp"

namespace limemast::machines {
class CommandMonitor;

/// The token of commands that a controller sends in `epoch` to a machine which has shown the token
/// `shown` and whose commands must carry at least `floor`. nullopt if either belongs to a later
/// epoch: such a token is that of other controllers, and a controller that takes it up, instead of
/// the token of its own epoch, cannot be fenced (docs/design.md, "A token is known only from the
/// store").
std::optional<ids::FencingToken> token_in_epoch(ids::EpochNumber epoch, ids::FencingToken shown,
                                                ids::FencingToken floor);

/// The lowest fencing tokens that are valid for one machine. A worker rejects commands with a lower
/// token than the highest that it has seen, so raising the token invalidates commands in flight.
class FencingTokenFloor {
 public:
  /// Commands must carry at least `token` from now on. Returns whether this raised the floor.
  bool raise(ids::FencingToken token) {
    const bool raised = token > command_floor_;
    command_floor_ = std::max(command_floor_, token);
    return raised;
  }
  /// Raises the floor because another controller may have commands below `token` in flight. Until a
  /// heartbeat shows `token`, no attempt may be forgotten: a late start of it would run it again.
  void supersede(ids::FencingToken token) {
    forget_floor_ = std::max(forget_floor_, token);
    raise(forget_floor_);
  }
  ids::FencingToken command_floor() const { return command_floor_; }
  bool allows_forget(const wire::Heartbeat& heartbeat) const {
    return heartbeat.fencing_token >= forget_floor_;
  }

 private:
  ids::FencingToken command_floor_{};
  ids::FencingToken forget_floor_{};
};

/// A heartbeat of one machine that has not been responded to. Used by `HeartbeatResponder`.
struct WaitingResponse {
  net::Responder respond;          ///< empty if no heartbeat waits
  std::uint64_t sequence = 0;      ///< sequence number of the heartbeat
  std::uint64_t serial = 0;        ///< number of heartbeats that have waited so far
  net::Runtime::TimerId timer{0};  ///< sends the response if a pull is not answered; 0 if not set
  bool request_token = false;      ///< after the response, ask the machine to show its new token
};

/// Direct requests to one machine. Used by `DirectCommandSender`.
struct DirectRequests {
  bool in_flight = false;
  bool send_scheduled = false;
  bool token_requested = false;  ///< send the next request even if there is no command for it
  net::Time paused_until{};      ///< set after a request has failed
};

/// The heartbeat of one machine that was last sent to the other controllers. Used by
/// `HeartbeatForwarder`.
struct ForwardedHeartbeat {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool sent_by_worker = false;  ///< false: it was the body of the response to a direct command
  bool received_since_announcement = false;  ///< a heartbeat came since the last `HeartbeatDigest`
};

/// One attached machine, with a member for each class that works on it.
struct AttachedMachine {
  CommandQueue commands;
  FencingTokenFloor token_floor;
  WaitingResponse response;
  DirectRequests direct;
  ForwardedHeartbeat forwarded;

  /// Whether the entry may be erased: no start, direct request or response is pending.
  bool is_unused() const {
    return commands.starts().empty() && !direct.in_flight && !response.respond;
  }
};

/// The table of attached machines. References to its entries stay valid until they are erased.
class AttachedMachines {
 public:
  using Table = std::unordered_map<std::string, AttachedMachine>;

  /// Registers the handler of `RaiseFencingToken`.
  AttachedMachines(const GatewayContext& context, CommandMonitor& monitor);

  /// nullptr if there is no entry.
  AttachedMachine* find(const std::string& machine);
  const AttachedMachine* find(const std::string& machine) const;
  /// Adds an entry if there is none.
  AttachedMachine& get_or_add(const std::string& machine);
  void erase(const std::string& machine) { machines_.erase(machine); }
  Table& all() { return machines_; }
  const Table& all() const { return machines_; }

  /// Whether the newest heartbeat of the machine came to this controller.
  bool is_attached(const std::string& machine) const;
  bool is_attached(const MachineStatus* status) const;

  /// The token of commands that are sent to the machine now; nullopt if this controller may send it
  /// none, because the machine has shown a token of an epoch that this controller has not read, or
  /// another controller has demanded one.
  std::optional<ids::FencingToken> command_token(const AttachedMachine& machine,
                                                 const MachineStatus& status) const;
  /// The token of a message that carries the machine's pending commands; nullopt as for
  /// `command_token`. With a forget of an
  /// attempt that may have been started directly it is above every token that the machine has
  /// shown, and so above that of the start, of which a copy is then rejected (docs/design.md, "A
  /// task runs once").
  std::optional<ids::FencingToken> token_for_pending_commands(AttachedMachine& machine,
                                                              const MachineStatus& status);
  /// Sends the machine's token floor to the other controllers: the one that the machine attaches to
  /// next must not send commands below it.
  void broadcast_token_floor(const std::string& machine);

 private:
  GatewayContext context_;
  CommandMonitor& monitor_;
  Table machines_;
};
}  // namespace limemast::machines

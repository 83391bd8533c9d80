#pragma once
// The machines that are attached to this controller: each has sent its newest heartbeat here, or
// has commands of this controller under way still.
#include <string>
#include <unordered_map>

#include "machines/command_queue.hpp"
#include "machines/gateway_context.hpp"
#include "net/runtime.hpp"

namespace limemast::machines {
/// Which fencing tokens count for one machine. Workers reject commands with a lower token than the
/// highest that they have seen, so that raising it makes commands under way ineffective.
class FencingTokenFloor {
 public:
  /// Commands must bear at least `token` from now on.
  void raise(ids::FencingToken token) { command_floor_ = std::max(command_floor_, token); }
  /// Commands below `token` may be under way from another controller: raises the floor, and until
  /// a heartbeat shows it no attempt may be forgotten, as a late start of it would run again.
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

/// A heartbeat of one machine whose response has not been sent. Used by `HeartbeatResponder`.
struct WaitingResponse {
  net::Responder respond;          ///< empty if none waits
  std::uint64_t sequence = 0;      ///< of the heartbeat
  std::uint64_t serial = 0;        ///< counts the heartbeats that have waited here
  net::Runtime::TimerId timer{0};  ///< sends the response though a pull is not answered; 0: none
  bool request_token = false;      ///< once it is sent, the machine is asked to show its new token
};

/// Direct requests to one machine. Used by `DirectCommandSender`.
struct DirectRequests {
  bool under_way = false;
  bool scheduled = false;
  bool announce_token = false;  ///< the next one is sent even if there is no command for it
  net::Time paused_until{};     ///< after one that failed
};

/// What the other controllers have been sent of one machine. Used by `HeartbeatForwarder`.
struct ForwardedHeartbeat {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool sent_by_worker = false;  ///< false: the body of the response to a direct command
  bool heard_recently = false;  ///< a heartbeat has come since the last `HeartbeatDigest`
};

/// One attached machine: a part for each class that works on it.
struct AttachedMachine {
  CommandQueue commands;
  FencingTokenFloor token_floor;
  WaitingResponse response;
  DirectRequests direct;
  ForwardedHeartbeat forwarded;

  /// Nothing under way needs this entry.
  bool is_unused() const {
    return commands.starts().empty() && !direct.under_way && !response.respond;
  }
};

/// The table of attached machines. References to its entries stay valid until they are erased.
class AttachedMachines {
 public:
  using Table = std::unordered_map<std::string, AttachedMachine>;

  /// Handles `RaiseFencingToken`.
  explicit AttachedMachines(const GatewayContext& context);

  /// nullptr if there is no entry.
  AttachedMachine* find(const std::string& machine);
  const AttachedMachine* find(const std::string& machine) const;
  /// Adds an entry where there is none.
  AttachedMachine& get_or_add(const std::string& machine);
  void erase(const std::string& machine) { machines_.erase(machine); }
  Table& all() { return machines_; }

  /// Whether the newest heartbeat of the machine came to this controller.
  bool is_attached(const std::string& machine) const;
  bool is_attached(const MachineStatus* status) const;

  /// The token that commands to the machine bear now.
  ids::FencingToken command_token(const AttachedMachine& machine,
                                  const MachineStatus& status) const;
  /// Tells the other controllers the machine's floor: whichever it reports to next must not send
  /// commands below it.
  void broadcast_token_floor(const std::string& machine);

 private:
  GatewayContext context_;
  Table machines_;
};
}  // namespace limemast::machines

#pragma once
// Decides, from a heartbeat alone, what has become of a start command and of a task assignment.
//
// A task must never run twice at once, so that an assignment ends only when it is proved that its
// attempt is not on the machine and never will be. Silence and time prove nothing: a held
// connection may deliver a command minutes later. There are six proofs (docs/design.md, "A task
// runs once"):
//   1. Exited or dropped: the attempt was confirmed on the machine, and a newer heartbeat shows it
//      as exited or not at all.
//   2. New incarnation: the worker has restarted and holds nothing of its previous incarnation,
//      and commands name the incarnation that they are for.
//   3. Response missed: a start that was sent only in the response to one heartbeat is not in a
//      later heartbeat. A worker has one heartbeat in flight and drops responses that come after
//      4 s, so the start can no longer arrive.
//   4. Higher fencing token: a start that was sent directly is not in a heartbeat that shows a
//      higher token than the start bears. Workers reject commands with a lower token than theirs.
//   5. Machine terminated: the cloud has confirmed it, and the machine's record is removed. No
//      heartbeat takes part, so this one is not decided here.
//   6. Deliverer lost: the controller that was to deliver the start is no member any more, and the
//      machine has shown a token of the epoch without it. All that it sent bears a lower one.
//
// Pure logic without state: the controller that delivers a start (`StartResolver`) and the owner of
// the job (`jobs::JobOwner`) each ask with what they hold.
#include "machines/registry.hpp"

namespace limemast::machines {
/// How a start command was sent to its machine.
enum class DeliveryRoute {
  Queued,    ///< not sent yet
  Response,  ///< in the response to a heartbeat
  Direct     ///< in a request to the worker
};

/// A start command on its way to the machine, as the controller that delivers it knows it.
struct InFlightStart {
  wire::Command command;
  cluster::ControllerId owner;    ///< the job's owner, which is told the outcome
  std::uint64_t incarnation = 0;  ///< of the worker that it is for
  DeliveryRoute route = DeliveryRoute::Queued;
  std::uint64_t sequence = 0;         ///< Response: of the heartbeat whose response carries it
  ids::FencingToken fencing_token{};  ///< Direct: the token that it bears
  bool acknowledged = false;          ///< Direct: the worker has answered that it executed it
  Resources need;                     ///< what the task takes on the machine
};

enum class DeliveryOutcome {
  Pending,      ///< nothing is proved yet
  Arrived,      ///< the task is on the machine
  NeverArrived  ///< it is not on the machine and never will be
};

/// What `heartbeat`, a newer one of the same machine, proves about the start. `sent_by_worker`: the
/// worker sent it by itself; false for the body of the response to a direct command, which proves
/// nothing about responses to heartbeats that may still be under way.
DeliveryOutcome resolve_delivery(const InFlightStart& start, const wire::Heartbeat& heartbeat,
                                 bool sent_by_worker);

/// An assigned attempt as the job's owner knows it.
struct Assignment {
  std::uint64_t incarnation = 0;  ///< of the worker that it was assigned to
  std::uint64_t attempt = 0;
  bool confirmed = false;                ///< it is proved that it arrived on the machine
  std::uint64_t confirmed_sequence = 0;  ///< sequence number of the heartbeat that proved it
  /// Set where the deliverer was lost: a heartbeat with this token or a higher one resolves the
  /// assignment (proof 6).
  ids::FencingToken min_resolving_token{};
};

enum class AssignmentState {
  Unresolved,  ///< nothing new is proved
  Confirmed,   ///< it is on the machine, and no other command sent for it can arrive any more
  Gone         ///< it is not on the machine and never will be
};

/// What `heartbeat` proves about the assignment. `task`: the attempt's status in the heartbeat;
/// nullptr if it is not listed.
AssignmentState evaluate_assignment(const Assignment& assignment, const wire::Heartbeat& heartbeat,
                                    const wire::TaskStatus* task);
}  // namespace limemast::machines

#pragma once
// Decides from a single heartbeat what happened to a start command and to a task assignment.
//
// A task must never run twice at the same time, so an assignment ends only when it is proved that
// its attempt is not on the machine and will never be there. Missing heartbeats and elapsed time
// prove nothing: a stalled connection may deliver a command minutes later. There are six proofs
// (docs/design.md, "A task runs once"):
//   1. Exited or dropped: the attempt was confirmed on the machine, and a newer heartbeat shows it
//      as exited or does not list it.
//   2. New incarnation: the worker has restarted. It runs nothing of its previous incarnation, and
//      it rejects commands that name that incarnation.
//   3. Response missed: the start was sent only in the response to one heartbeat, and a later
//      heartbeat does not list it. A worker has one heartbeat in flight and drops responses that
//      arrive after more than 4 s, so the start can no longer arrive.
//   4. Higher fencing token: the start was sent directly, and a heartbeat with a higher token than
//      that of the start does not list it. Workers reject commands with a lower token than theirs.
//   5. Machine terminated: the cloud has confirmed it, and the machine's record is removed. This
//      proof needs no heartbeat and is not decided here.
//   6. Deliverer lost: the controller that was to deliver the start is no longer a member, and the
//      machine has shown a token of the epoch without it. All its commands have lower tokens.
//
// The functions are pure. Their callers are the controller that delivers a start (`StartResolver`)
// and the owner of the job (`jobs::JobOwner`).
#include "machines/registry.hpp"

namespace limemast::machines {
/// How a start command was sent to its machine.
enum class DeliveryRoute {
  Queued,    ///< not sent yet
  Response,  ///< in the response to a heartbeat
  Direct     ///< in a request to the worker
};

/// A start command whose outcome is not proved yet, as the delivering controller knows it.
struct InFlightStart {
  wire::Command command;
  cluster::ControllerId owner;    ///< the job's owner, which is notified of the outcome
  std::uint64_t incarnation = 0;  ///< the worker incarnation that the start is for
  DeliveryRoute route = DeliveryRoute::Queued;
  std::uint64_t sequence = 0;  ///< Response: number of the heartbeat whose response carries it
  ids::FencingToken fencing_token{};  ///< Direct: token of the request
  bool acknowledged = false;          ///< Direct: the worker has responded that it executed it
  Resources need;                     ///< resources that the task uses on the machine
};

enum class DeliveryOutcome {
  Pending,      ///< nothing is proved yet
  Arrived,      ///< the task is on the machine
  NeverArrived  ///< the task is not on the machine and never will be
};

/// What `heartbeat`, a newer one of the same machine, proves about the start. `sent_by_worker`:
/// whether the worker sent the heartbeat itself. If it was the body of a response to a direct
/// command, it proves nothing about responses to heartbeats that may still be in flight.
DeliveryOutcome resolve_delivery(const InFlightStart& start, const wire::Heartbeat& heartbeat,
                                 bool sent_by_worker);

/// An assigned attempt as the job's owner knows it.
struct Assignment {
  std::uint64_t incarnation = 0;  ///< the worker incarnation that it was assigned to
  std::uint64_t attempt = 0;
  bool confirmed = false;                ///< it is proved that it arrived on the machine
  std::uint64_t confirmed_sequence = 0;  ///< sequence number of the heartbeat that proved it
  /// Set if the delivering controller was lost: the lowest token in a heartbeat that resolves the
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

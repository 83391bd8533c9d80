#include "machines/delivery_resolution.hpp"

namespace limemast::machines {
DeliveryOutcome resolve_delivery(const InFlightStart& start, const wire::Heartbeat& heartbeat,
                                 bool sent_by_worker) {
  // Proof 2: the worker has restarted since.
  if (heartbeat.incarnation > start.incarnation) return DeliveryOutcome::NeverArrived;
  const auto& command = start.command;
  const bool listed = heartbeat.find(command.uid, command.index, command.attempt) != nullptr;
  switch (start.route) {
    case DeliveryRoute::Queued:
      return DeliveryOutcome::Pending;
    case DeliveryRoute::Response:
      // Proof 3 needs a heartbeat that the worker sent after the one that was answered.
      if (!sent_by_worker || heartbeat.sequence <= start.sequence) return DeliveryOutcome::Pending;
      break;
    case DeliveryRoute::Direct: {
      // Proof 4: without a higher token on the machine the command may be executed minutes from
      // now, unless the worker has said that it did so already.
      const bool executed = start.acknowledged && listed;
      if (!executed && heartbeat.fencing_token <= start.fencing_token)
        return DeliveryOutcome::Pending;
      break;
    }
  }
  return listed ? DeliveryOutcome::Arrived : DeliveryOutcome::NeverArrived;
}

AssignmentState evaluate_assignment(const Assignment& assignment, const wire::Heartbeat& heartbeat,
                                    const wire::TaskStatus* task) {
  // Proof 2. A heartbeat of an earlier incarnation says nothing about this one.
  if (heartbeat.incarnation > assignment.incarnation) return AssignmentState::Gone;
  if (heartbeat.incarnation < assignment.incarnation) return AssignmentState::Unresolved;
  // Proof 6: from this token on, the worker rejects all that the lost deliverer has sent.
  const bool deliverer_lost = assignment.min_resolving_token != ids::kNoToken;
  if (!assignment.confirmed && deliverer_lost &&
      heartbeat.fencing_token >= assignment.min_resolving_token)
    return task ? AssignmentState::Confirmed : AssignmentState::Gone;
  // Proof 1: it was there, and has been forgotten after its exit, or dropped by the worker.
  if (!task && assignment.confirmed && heartbeat.sequence > assignment.confirmed_sequence)
    return AssignmentState::Gone;
  return AssignmentState::Unresolved;
}
}  // namespace limemast::machines

#include "machines/delivery_resolution.hpp"

namespace limemast::machines {
DeliveryOutcome resolve_delivery(const InFlightStart& start, const wire::Heartbeat& heartbeat,
                                 bool sent_by_worker) {
  // Proof 2: the worker has restarted since the start was queued.
  if (heartbeat.incarnation > start.incarnation) return DeliveryOutcome::NeverArrived;
  const auto& command = start.command;
  const bool listed = heartbeat.find(command.uid, command.index, command.attempt) != nullptr;
  switch (start.route) {
    case DeliveryRoute::Queued:
      return DeliveryOutcome::Pending;
    case DeliveryRoute::Response:
      // Proof 3 needs a heartbeat that the worker sent after the one whose response carried the
      // start.
      if (!sent_by_worker || heartbeat.sequence <= start.sequence) return DeliveryOutcome::Pending;
      break;
    case DeliveryRoute::Direct: {
      // Proof 4: until the machine shows a higher token, the worker may still execute the command.
      // The exception is a start that the worker acknowledged and whose task the heartbeat lists.
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
  // Proof 2. A heartbeat of an earlier incarnation proves nothing about the assigned one.
  if (heartbeat.incarnation > assignment.incarnation) return AssignmentState::Gone;
  if (heartbeat.incarnation < assignment.incarnation) return AssignmentState::Unresolved;
  // Proof 6: a worker with this token or a higher one rejects all commands of the lost controller.
  const bool delivering_controller_lost = assignment.min_resolving_token != ids::kNoToken;
  if (!assignment.confirmed && delivering_controller_lost &&
      heartbeat.fencing_token >= assignment.min_resolving_token)
    return task ? AssignmentState::Confirmed : AssignmentState::Gone;
  // Proof 1: the attempt was on the machine, and the worker has forgotten it after its exit or
  // dropped it.
  if (!task && assignment.confirmed && heartbeat.sequence > assignment.confirmed_sequence)
    return AssignmentState::Gone;
  return AssignmentState::Unresolved;
}
}  // namespace limemast::machines

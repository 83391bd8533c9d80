#include "jobs/delivery_monitor.hpp"

#include <utility>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
constexpr auto kQueryInterval = 3s;
}  // namespace

DeliveryMonitor::DeliveryMonitor(net::Runtime& runtime, cluster::Membership& membership,
                                 cluster::MessageBus& message_bus, OwnedJobs& owned_jobs,
                                 HeartbeatReconciler& heartbeat_reconciler,
                                 RefusedMachines& refused_machines)
    : runtime_(runtime),
      membership_(membership),
      message_bus_(message_bus),
      owned_jobs_(owned_jobs),
      heartbeat_reconciler_(heartbeat_reconciler),
      refused_machines_(refused_machines) {
  message_bus_.on<messages::StartResolved>(
      [this](const ControllerId& from, const auto& message) { on_resolved(from, message); });
}

void DeliveryMonitor::watch(const std::string& uid, std::uint32_t index, std::uint64_t attempt) {
  unresolved_.push_back({runtime_.now() + kQueryInterval, uid, index, attempt});
}

const TaskAssignment* DeliveryMonitor::assignment_to_query(const UnresolvedStart& start) const {
  const auto* job = owned_jobs_.find(start.uid);
  if (!job) return nullptr;
  const auto it = job->assignments.find(start.index);
  if (it == job->assignments.end()) return nullptr;
  const auto& assignment = it->second;
  if (assignment.attempt != start.attempt || assignment.confirmed) return nullptr;
  // If the delivering member was lost, heartbeats of the epoch without it resolve the start.
  return membership_.is_member(assignment.delivering_controller) ? &assignment : nullptr;
}

void DeliveryMonitor::tick() {
  const auto now = runtime_.now();
  while (!unresolved_.empty() && unresolved_.front().query_at <= now) {
    auto start = std::move(unresolved_.front());
    unresolved_.pop_front();
    const auto* assignment = assignment_to_query(start);
    if (!assignment) continue;
    message_bus_.send(assignment->delivering_controller,
                      messages::QueryStart{assignment->machine, assignment->incarnation, start.uid,
                                           start.index, assignment->attempt});
    start.query_at = now + kQueryInterval;
    unresolved_.push_back(std::move(start));
  }
}

void DeliveryMonitor::on_resolved(const ControllerId& from,
                                  const messages::StartResolved& message) {
  auto* job = owned_jobs_.find(message.uid);
  if (!job) return;
  const auto it = job->assignments.find(message.index);
  if (it == job->assignments.end()) return;
  auto& assignment = it->second;
  if (assignment.attempt != message.attempt || assignment.delivering_controller != from ||
      assignment.confirmed)
    return;
  // Copied, because the calls below may end the assignment.
  const auto machine = assignment.machine;
  if (!message.arrived) {
    refused_machines_.record(machine, runtime_.now());
    heartbeat_reconciler_.release(*job, message.index, Requeue::Yes);
    return;
  }
  assignment.confirmed = true;
  assignment.confirmed_sequence = message.sequence;
  // The registry may hold a newer heartbeat than the one that proved the arrival.
  heartbeat_reconciler_.on_heartbeat(machine);
}
}  // namespace limemast::jobs

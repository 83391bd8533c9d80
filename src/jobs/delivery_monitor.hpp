#pragma once
// Tracks starts that were sent and are not resolved yet.
#include <deque>

#include "jobs/heartbeat_reconciler.hpp"
#include "jobs/refused_machines.hpp"

namespace limemast::jobs {
/// Tracks each start until it is proved whether it reached its machine. Queries the delivering
/// controller about it every 3 s, because that controller's own message may have been lost.
class DeliveryMonitor {
 public:
  DeliveryMonitor(net::Runtime& runtime, cluster::Membership& membership,
                  cluster::MessageBus& message_bus, OwnedJobs& owned_jobs,
                  HeartbeatReconciler& heartbeat_reconciler, RefusedMachines& refused_machines);
  /// Begins to track a start that is being sent.
  void watch(const std::string& uid, std::uint32_t index, std::uint64_t attempt);
  /// Queries starts that have been unresolved for long enough. To be called once a second.
  void tick();

 private:
  struct UnresolvedStart {
    net::Time query_at{};
    std::string uid;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
  };
  void on_resolved(const ControllerId& from, const messages::StartResolved& message);
  /// The assignment that the start belongs to, or nullptr if it needs no query.
  const TaskAssignment* assignment_to_query(const UnresolvedStart& start) const;

  net::Runtime& runtime_;
  cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  OwnedJobs& owned_jobs_;
  HeartbeatReconciler& heartbeat_reconciler_;
  RefusedMachines& refused_machines_;
  /// In the order of `query_at`. A start that was resolved in the meantime is dropped when its
  /// query is due.
  std::deque<UnresolvedStart> unresolved_;
};
}  // namespace limemast::jobs

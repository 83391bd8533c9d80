#pragma once
// Broadcasts how many tasks of owned jobs are pending.
#include "cluster/message_bus.hpp"
#include "jobs/job.hpp"

namespace limemast::jobs {
/// Sends the number of pending tasks of each short job to all controllers. They order their probe
/// queues by it and drop the probes of jobs without pending tasks.
class PendingTasksBroadcast {
 public:
  PendingTasksBroadcast(net::Runtime& runtime, const cluster::Membership& membership,
                        cluster::MessageBus& message_bus)
      : runtime_(runtime), membership_(membership), message_bus_(message_bus) {}
  /// Whether the counts have changed, or must be repeated in case a message was lost.
  bool is_due(const Job& job) const;
  /// Sends the counts of these jobs to all controllers, including this one.
  void send(const std::vector<Job*>& jobs);

 private:
  net::Runtime& runtime_;
  const cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
};
}  // namespace limemast::jobs

#pragma once
// Assigns tasks of owned jobs to machines.
#include "jobs/delivery_monitor.hpp"
#include "jobs/pending_reason_recorder.hpp"
#include "jobs/pending_tasks_broadcast.hpp"

namespace limemast::jobs {
/// Assigns each task to one machine at a time, either when a machine that holds a probe of the job
/// pulls a task or when the leader places a long task. Sends the start to the controller that the
/// machine is attached to.
class TaskDispatcher {
 public:
  TaskDispatcher(net::Runtime& runtime, cluster::Membership& membership,
                 cluster::MessageBus& message_bus, machines::Registry& registry, Quota& quota,
                 OwnedJobs& owned_jobs, const FailoverBarrierState& failover_barrier,
                 DeliveryMonitor& delivery_monitor, PendingReasonRecorder& pending_reasons,
                 PendingTasksBroadcast& pending_tasks_broadcast);

  /// Whether tasks of the job may be assigned now. Does not check machines or the team's quota.
  bool may_assign(const Job& job) const;
  /// Whether a task of the job may be assigned to this machine. Does not check the machine's free
  /// resources or the team's quota.
  bool may_place(const Job& job, const MachineStatus& machine_status) const;
  /// Assigns a task of the job to the machine, as the leader decided. `evict`: tasks on the machine
  /// that are stopped to make room. Returns false if the state of the job, the constraints on the
  /// machine or the quota do not allow it.
  bool place(const std::string& uid, const std::string& machine,
             const std::vector<wire::TaskStatus>& evict);
  /// Whether the team's quota covers all pending tasks of the job together.
  bool quota_allows_all(const Job& job);

 private:
  /// What caused an assignment.
  enum class Trigger { Pull, Placement };
  void on_pull(const ControllerId& from, const messages::PullTask& message);
  /// Whether the pull matches the machine's current state and a task of the job may be assigned to
  /// it.
  bool may_answer_pull(Job& job, const MachineStatus* machine_status, const ControllerId& from,
                       const messages::PullTask& message);
  /// Whether the team's quota covers another task of the job. Records the time of a refusal in the
  /// job.
  bool within_quota(Job& job);
  /// Removes the next task to assign from the job's queue; nullopt if there is none.
  static std::optional<std::uint32_t> next_task(Job& job);
  void assign(Job& job, std::uint32_t index, const MachineStatus& machine_status, Trigger trigger,
              const std::vector<wire::TaskStatus>& evict);
  std::uint64_t next_attempt(Job& job);

  net::Runtime& runtime_;
  cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  machines::Registry& registry_;
  Quota& quota_;
  OwnedJobs& owned_jobs_;
  const FailoverBarrierState& failover_barrier_;
  DeliveryMonitor& delivery_monitor_;
  PendingReasonRecorder& pending_reasons_;
  PendingTasksBroadcast& pending_tasks_broadcast_;
  std::uint64_t attempts_ = 0;  ///< number of attempts made by this instance
};
}  // namespace limemast::jobs

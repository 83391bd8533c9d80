#pragma once
// Decides which commands are sent to attached machines: starts, stops and forgets that job owners
// request, and stops and forgets for the remaining tasks of jobs that have ended.
#include "machines/heartbeat_responder.hpp"
#include "machines/unknown_job_lookup.hpp"

namespace limemast::machines {
class CommandDispatcher {
 public:
  /// Registers the handlers of `StartTask` and `CommandWorker`.
  CommandDispatcher(const GatewayContext& context, AttachedMachines& attached, ProbeService& probes,
                    StartResolver& starts, DirectCommandSender& direct,
                    HeartbeatResponder& responder, UnknownJobLookup& unknown_jobs,
                    CommandMonitor& monitor);

  /// Queues stops and forgets for the tasks of ended jobs in the machine's newest heartbeat. This
  /// does not involve the job's owner, so cancellation works even if this controller is cut off
  /// from its peers.
  void clean_up_ended_jobs(AttachedMachine& entry, const MachineStatus& status);
  /// Stops all tasks of the job on attached machines, including starts that may still arrive.
  void on_job_ended(const std::string& uid);
  /// Called when the machine attached to another controller: drops commands that were not sent.
  void on_detached(const std::string& machine, AttachedMachine& entry);
  /// Drops unsent starts of owners that are no longer members. The job's new owner does not know
  /// these starts, and relies on the new epoch's fencing tokens to prove which tasks are on a
  /// machine.
  void drop_starts_of_lost_owners(AttachedMachine& entry) const;

 private:
  void on_start_task(const cluster::ControllerId& from, const messages::StartTask& message);
  void on_command_worker(const cluster::ControllerId& from, const messages::CommandWorker& message);
  /// Whether the start may be sent to its machine now. `evicted`: resources that are freed by the
  /// stops queued before it.
  bool may_start(const messages::StartTask& message, const Resources& evicted) const;
  /// Whether the machine may forget the attempt, because no start of it can arrive later.
  bool may_forget(const AttachedMachine& entry, const MachineStatus& status,
                  const wire::Command& command) const;
  /// The evictions in the message whose task is live on the machine. Adds the resources that they
  /// free to `freed`.
  std::vector<wire::Command> live_evictions(const messages::StartTask& message,
                                            Resources& freed) const;
  void stop_tasks(const std::string& machine, AttachedMachine& entry, const MachineStatus& status,
                  const std::string& uid);
  /// Whether a message from another controller is recent enough to act on. A stalled connection may
  /// deliver messages minutes late.
  bool is_recent(messages::SentAt sent_at) const;

  GatewayContext context_;
  AttachedMachines& attached_;
  ProbeService& probes_;
  StartResolver& starts_;
  DirectCommandSender& direct_;
  HeartbeatResponder& responder_;
  UnknownJobLookup& unknown_jobs_;
  CommandMonitor& monitor_;
};
}  // namespace limemast::machines

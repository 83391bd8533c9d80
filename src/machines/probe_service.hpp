#pragma once
// Probe queues of the machines that are attached to this controller (the worker queues of Eagle),
// and late binding: when a machine has free resources, this controller pulls a task of the next
// probed job for it. Each machine has at most one pull in flight.
#include <functional>
#include <optional>
#include <unordered_map>

#include "machines/attached_machines.hpp"
#include "messages/probes.hpp"
#include "messages/tasks.hpp"
#include "scheduling/probe_queue.hpp"

namespace limemast::machines {
class ProbeService {
 public:
  /// Called when a pull was answered without a task and no further pull follows.
  using OnPullEnded = std::function<void(const std::string& machine)>;
  /// Registers the handlers of `PlaceProbes`, `PendingTasks` and `NoTask`.
  ProbeService(const GatewayContext& context, AttachedMachines& attached,
               OnPullEnded on_pull_ended);

  /// Pulls a task for the machine if a task of one of its probed jobs fits.
  void pull_next(const std::string& machine);
  bool is_pulling(const std::string& machine) const;
  /// Called when the machine's pull for this job was answered with a task. Ends the pull.
  void on_task_pulled(const std::string& machine, const std::string& uid);
  /// Resources for new tasks on the machine: not used by its live tasks, by starts in flight or by
  /// the task that is being pulled.
  Resources free_resources(const std::string& machine) const;

  /// Removes all probes of the machine and notifies their owners, which place them elsewhere.
  void drop_probes(const std::string& machine);
  /// Drops the probes of machines that short jobs may no longer use: drained ones and those
  /// reserved for services.
  void drop_probes_of_unavailable_machines();
  /// Called when the job has ended or has no pending tasks.
  void remove_probes_of(const std::string& uid);
  /// Removes probes whose owner is no longer a member. The job's new owner places new probes.
  void remove_probes_of_lost_owners();

 private:
  /// A request for a task of a job, sent to the job's owner.
  struct Pull {
    std::string uid;
    net::Time sent_at{};
    Resources need;
  };
  /// The probes of one machine. Created with its first probe, and erased when they are dropped.
  struct MachineProbes {
    scheduling::ProbeQueue queue;
    std::optional<Pull> pull;
    MachineProbes(scheduling::ProbeTable& table, ids::DenseId machine, double bypass_cap)
        : queue(table, machine, bypass_cap) {}
    void end_pull_of(const std::string& uid) {
      if (pull && pull->uid == uid) pull.reset();
    }
  };

  void on_place_probes(const cluster::ControllerId& from, const messages::PlaceProbes& message);
  void on_pending_tasks(const messages::PendingTasks& message);
  void on_no_task(const messages::NoTask& message);

  MachineProbes* find(const std::string& machine);
  const MachineProbes* find(const std::string& machine) const;
  void place_probes(ids::DenseId job, const messages::PlaceProbes& message,
                    messages::ProbesRejected& rejected);
  /// Whether the machine has a long task, will start one, or is reserved for services.
  bool is_closed_to_short_jobs(const MachineStatus& status, const CommandQueue& commands) const;
  /// Returns false if the machine's queue is full.
  bool add_probe(const std::string& machine, ids::DenseId job);
  void remove_probe(MachineProbes& probes, ids::DenseId job);
  std::optional<ids::DenseId> choose_job(const std::string& machine,
                                         const MachineProbes& probes) const;

  GatewayContext context_;
  AttachedMachines& attached_;
  OnPullEnded on_pull_ended_;
  scheduling::ProbeTable jobs_with_probes_;  ///< declared before the queues that refer to it
  std::unordered_map<std::string, MachineProbes> probes_;
};
}  // namespace limemast::machines

#pragma once
// Finds the machines whose lingering tasks would outlast the cancel timeout.
#include <set>
#include <string>

#include "machines/attached_machines.hpp"
#include "machines/lingering_tasks.hpp"
#include "store/watch_cache.hpp"

namespace limemast::machines {
/// A task of a cancelled job must be gone within the cancel timeout. A worker that hangs drops no
/// task, so the task is gone only once the worker's heartbeat lacks it or the machine is terminated
/// (docs/design.md, "Tasks on machines that hang"). The time counts from the end of the job,
/// whatever becomes of links, leaders, processes and zones meanwhile.
///
/// The controllers share what they know through the store: the leader may not receive the
/// heartbeats of a machine that another controller receives, and a new leader knows nothing of the
/// time before. A controller writes a record only while tasks linger, which hardly ever happens.
class LingeringTaskMonitor {
 public:
  /// `attached` must outlive the monitor.
  LingeringTaskMonitor(const GatewayContext& context, const AttachedMachines& attached);

  /// Must be called once a second. Writes this controller's record if it has changed, and sets
  /// `Registry::set_overdue_machines`.
  void update();

 private:
  using Label = std::string;
  /// The records of all controllers, by label, as of the watch cache.
  std::map<Label, LingeringTasksByMachine> read_records() const;
  /// What this controller's newest heartbeats and unresolved starts show.
  LingeringTasksByMachine observe();
  void observe_heartbeat(const MachineStatus& status, LingeringTasksByMachine& out);
  void observe_starts(const std::string& machine, const AttachedMachine& entry,
                      LingeringTasksByMachine& out);
  /// Adds a task of this job that is or may be on the machine, if the job was or may have been
  /// cancelled.
  void add_task(const MachineStatus& status, const std::string& uid, LingeringTasksByMachine& out);
  /// Reads whether the job was completed: then the task has ended, and only a newer heartbeat is
  /// missing.
  void read_final_record(const std::string& uid);
  /// The record of this controller: the tasks that linger, answers to the records of others, and
  /// what its previous incarnation recorded and no heartbeat has disproved.
  LingeringTasksByMachine own_record(const LingeringTasksByMachine& observed,
                                     const std::map<Label, LingeringTasksByMachine>& records) const;
  /// Returns the newest observation of the machine if it shows that no task lingers there any more;
  /// `claim` is an observation of lingering tasks that some controller has recorded.
  std::optional<LingeringTasks> disprove(const std::string& machine,
                                         const LingeringTasks& claim) const;
  void publish(const LingeringTasksByMachine& record);
  std::set<std::string> find_overdue(LingeringTasksByMachine observed,
                                     const std::map<Label, LingeringTasksByMachine>& records) const;
  /// How long after the end of a job its tasks are overdue.
  net::Duration time_limit() const;
  /// Whether this process was suspended since the last update and has not read the messages of that
  /// time yet. They are read before the next update.
  bool is_resuming();

  GatewayContext context_;
  const AttachedMachines& attached_;
  LingeringTasksByMachine last_observed_;
  std::set<std::string> reading_;  ///< jobs whose final record is being read
  bool write_in_flight_ = false;
  net::Time next_write_{};
  net::Time last_update_{};
};
}  // namespace limemast::machines

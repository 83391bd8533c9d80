#pragma once
// What this controller knows about machines. The registry only stores; the job owners, the leader
// and the worker gateway read it and act.
#include <algorithm>
#include <map>
#include <set>

#include "cluster/job_directory.hpp"
#include "machines/long_task_map.hpp"
#include "machines/machine_status.hpp"

namespace limemast::machines {
/// Machines of one kind that the leader has launched and that have not come up yet.
struct ProvisioningMachines {
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint32_t count = 0;
  net::Time first{};  ///< when the first of them is expected to be up
};

/// Newest heartbeats, registration records of the state service, machine types, and the state of
/// machines as set by the leader and by operators. Pointers to statuses stay valid until `remove`.
class Registry {
 public:
  explicit Registry(const cluster::JobDirectory& jobs) : jobs_(jobs) {}

  // Heartbeats.

  /// Stores a heartbeat that `controller` received if it is newer than the known one. Returns false
  /// if it is not newer or the machine was removed.
  bool update(const wire::Heartbeat& heartbeat, const cluster::ControllerId& controller,
              net::Time now);
  /// Records that the controller of the machine received another heartbeat with the same content.
  void record_contact(const std::string& machine, net::Time now);
  /// nullptr if no heartbeat of the machine is known.
  const MachineStatus* find(const std::string& machine) const;
  /// The interned id of the machine's name, used as an index into tables of machines. After the
  /// machine is removed, the id may be reused for another one.
  ids::DenseId id(const std::string& machine) { return ids_.assign(machine); }
  /// nullptr if no heartbeat of the machine is known.
  const MachineStatus* at(ids::DenseId machine) const {
    return machine < by_id_.size() ? by_id_[machine] : nullptr;
  }
  const std::string& name_of(ids::DenseId machine) const { return ids_.name_of(machine); }
  /// Grows whenever a machine may have begun to accept tasks: it came up, was registered or
  /// uncordoned, its drain ended, or its controller is no longer suspected.
  std::uint64_t capacity_version() const { return capacity_version_; }
  const std::unordered_map<std::string, MachineStatus>& machine_statuses() const {
    return machine_statuses_;
  }

  // Registration records.

  /// Replaces the content of `record` by the machines that it names now, each with whether it is a
  /// spot machine. Returns the machines that no record names any more. `epoch`: the membership
  /// epoch that the watch cache showed before the record; 0 at the first reading, when the time of
  /// registration is unknown.
  std::vector<std::string> apply_registration_record(const std::string& record,
                                                     std::map<std::string, bool> machines,
                                                     ids::EpochNumber epoch = {});
  /// Handles a record that cannot be parsed. Machines that it named before stay registered. If it
  /// was never readable, a placeholder is registered in their stead: it never sends a heartbeat, so
  /// no failover completes until the record is deleted.
  void mark_record_unreadable(const std::string& record, ids::EpochNumber epoch);
  /// Whether the name is the placeholder of an unreadable record: there is no machine to terminate.
  static bool is_record_placeholder(const std::string& name) {
    return name.starts_with(cluster::keys::kMachines);
  }
  /// The records that name this machine, each with its full content.
  std::map<std::string, std::map<std::string, bool>> records_of(const std::string& machine) const;
  /// Forgets a terminated machine and its tasks for good. Its name is never used again.
  void remove(const std::string& machine);
  bool registered(const std::string& machine) const { return registrations_.contains(machine); }
  bool removed(const std::string& machine) const { return removed_.contains(machine); }
  struct Registration {
    unsigned records = 0;  ///< number of records that name the machine
    bool spot = false;
    /// The machine was registered in this epoch or a later one, so no earlier epoch sent it
    /// commands.
    ids::EpochNumber epoch{};
  };
  const std::map<std::string, Registration>& registrations() const { return registrations_; }

  // Since when a machine's silence counts.

  /// Since when this controller has had messages from every other controller without a gap. It does
  /// not know which machines they heard before, so a machine's silence before this time says
  /// nothing.
  net::Time peers_connected_since() const { return peers_connected_since_; }
  void set_peers_connected_since(net::Time since) { peers_connected_since_ = since; }
  /// Must be called at least once a second, and before any machine is judged by its silence. A
  /// longer gap between two calls means that this process was suspended and has not read the
  /// messages of that time yet. Without this check, a leader that was suspended for the duration of
  /// a lease would terminate all machines when it resumes.
  void detect_process_suspension(net::Time now);

  // Tasks on machines, over the newest heartbeats of all machines.

  /// Number of running tasks of the job.
  std::uint32_t running_tasks(const std::string& uid) const;
  /// Whether some machine has a task of the job that has not exited.
  bool has_live_tasks(const std::string& uid) const { return task_counts_.contains(uid); }
  /// Whether `matches(uid)` is true for some job with live tasks.
  template <class Matches>
  bool any_job_with_live_tasks(Matches matches) const {
    return std::any_of(task_counts_.begin(), task_counts_.end(),
                       [&](const auto& count) { return matches(count.first); });
  }
  /// Whether this controller has seen a task run from the image on this machine.
  bool has_image(const std::string& machine, const std::string& image) const;

  // Machine types and resources.

  void set_types(std::vector<wire::MachineType> types);
  /// nullptr if the type is unknown.
  const wire::MachineType* type(const std::string& name) const;
  const std::map<std::string, wire::MachineType>& types() const { return types_; }

  /// Resources of the machine's type minus those of the live tasks in its heartbeat; zero if the
  /// type or the resource request of a task is unknown.
  Resources free_resources(const MachineStatus& machine_status) const;
  bool has_long_tasks(const MachineStatus& machine_status) const;

  // State set by the leader and by operators.

  const LongTaskMap& long_task_map() const { return long_task_map_; }
  /// Replaces the map if `map` is newer than the known one; returns whether it was.
  bool apply_long_task_map(LongTaskMap map);

  /// Sets the machines that are being terminated or drained: they get no new tasks.
  void set_cordoned(std::set<std::string> cordoned);
  bool cordoned(const std::string& machine) const { return cordoned_.contains(machine); }
  void cordon(const std::string& machine);
  /// Sets the machines and zones that operators drain: they get no new tasks until the drain ends.
  void set_drains(std::set<std::string> machines, std::set<std::string> zones);
  bool drained(const std::string& machine, const std::string& zone) const {
    return drained_machines_.contains(machine) || drained_zones_.contains(zone);
  }
  bool draining() const { return !drained_machines_.empty() || !drained_zones_.empty(); }
  bool zone_drained(const std::string& zone) const { return drained_zones_.contains(zone); }
  /// Sets the job classes that the leader reports as underserved compared with others. Their probes
  /// are chosen first.
  void set_underserved_classes(std::set<std::string> classes) {
    underserved_classes_ = std::move(classes);
  }
  const std::set<std::string>& underserved_classes() const { return underserved_classes_; }
  /// Sets the controllers that are suspected to have failed: machines attached to them get no new
  /// tasks.
  void set_suspects(std::set<cluster::ControllerId> suspects) {
    if (suspects != suspects_) ++capacity_version_;
    suspects_ = std::move(suspects);
  }
  /// Sets the machines on which tasks of ended jobs may remain beyond the cancel timeout unless the
  /// machines are terminated.
  void set_overdue_machines(std::set<std::string> machines) {
    overdue_machines_ = std::move(machines);
  }
  const std::set<std::string>& overdue_machines() const { return overdue_machines_; }
  bool suspected(const cluster::ControllerId& controller) const {
    return suspects_.contains(controller);
  }
  /// Machines that are being provisioned, from the newest message of the leader.
  const std::vector<ProvisioningMachines>& provisioning() const { return provisioning_; }
  void set_provisioning(std::vector<ProvisioningMachines> provisioning) {
    provisioning_ = std::move(provisioning);
  }
  const std::set<std::string>& cordoned_machines() const { return cordoned_; }

 private:
  /// Sets the members of `machine_status` that depend on its type and its tasks' jobs.
  void compute_resources(MachineStatus& machine_status) const;
  /// Updates the task counts by the difference between two heartbeats of a machine.
  void update_task_counts(const wire::Heartbeat& before, const wire::Heartbeat& after);
  void add_to_task_counts(const std::string& machine, const wire::TaskStatus& task);
  void remove_from_task_counts(const wire::TaskStatus& task);
  MachineStatus& add_status(const wire::Heartbeat& heartbeat, net::Time now);
  void register_machine(const std::string& machine, bool spot, ids::EpochNumber epoch);
  ids::DenseIdSet ids_of(const std::set<std::string>& machines) const;

  const cluster::JobDirectory& jobs_;
  ids::IdInterner ids_;
  std::unordered_map<std::string, MachineStatus> machine_statuses_;
  std::vector<const MachineStatus*> by_id_;  ///< into `machine_statuses_`
  std::uint64_t capacity_version_ = 1;
  std::map<std::string, std::map<std::string, bool>> records_;
  std::map<std::string, Registration> registrations_;
  std::set<std::string> removed_;
  std::set<std::string> cordoned_;
  std::set<std::string> drained_machines_, drained_zones_;
  std::set<cluster::ControllerId> suspects_;
  std::set<std::string> overdue_machines_;
  std::set<std::string> underserved_classes_;
  std::vector<ProvisioningMachines> provisioning_;
  std::map<std::string, wire::MachineType> types_;
  std::unordered_map<std::string, std::set<std::string>> images_;
  struct TaskCounts {
    std::uint32_t live = 0;  ///< tasks that have not exited
    std::uint32_t running = 0;
  };
  tsl::robin_map<std::string, TaskCounts> task_counts_;  ///< by job
  LongTaskMap long_task_map_;
  net::Time peers_connected_since_{};
  net::Time last_suspension_check_{};
};
}  // namespace limemast::machines

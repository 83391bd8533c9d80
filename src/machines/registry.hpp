#pragma once
// All that this controller knows of machines. Nothing here acts; the owners of jobs, the leader and
// the worker gateway read it.
#include <algorithm>
#include <map>
#include <set>

#include "cluster/job_directory.hpp"
#include "machines/long_task_map.hpp"
#include "machines/machine_status.hpp"

namespace limemast::machines {
/// Machines of one kind that the leader has launched and that are not up yet.
struct ProvisioningMachines {
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint32_t count = 0;
  net::Time first{};  ///< when the first of them is expected
};

/// Newest heartbeats, registration records of the state service, machine types, and what the leader
/// and operators have said of machines. Pointers to statuses stay valid until `remove`.
class Registry {
 public:
  explicit Registry(const cluster::JobDirectory& jobs) : jobs_(jobs) {}

  // Heartbeats.

  /// Takes a heartbeat that `controller` received if it is newer than the one that is known; false
  /// if it is older or its machine was removed.
  bool update(const wire::Heartbeat& heartbeat, const cluster::ControllerId& controller,
              net::Time now);
  /// The controller that the machine is attached to tells that it heard it again.
  void record_contact(const std::string& machine, net::Time now);
  /// nullptr if no heartbeat of it is known.
  const MachineStatus* find(const std::string& machine) const;
  /// The interned id of the machine's name, by which tables of machines are indexed. Once the
  /// machine is removed it may be given to another.
  ids::DenseId id(const std::string& machine) { return ids_.assign(machine); }
  /// nullptr if no heartbeat of it is known.
  const MachineStatus* at(ids::DenseId machine) const {
    return machine < by_id_.size() ? by_id_[machine] : nullptr;
  }
  const std::string& name_of(ids::DenseId machine) const { return ids_.name_of(machine); }
  /// Grows whenever a machine may have begun to accept tasks: it came up, was registered or
  /// uncordoned, or its drain or the suspicion of its controller ended.
  std::uint64_t capacity_version() const { return capacity_version_; }
  const std::unordered_map<std::string, MachineStatus>& machine_statuses() const {
    return machine_statuses_;
  }

  // Registration records.

  /// Takes the record `record` as it stands now: the machines that it names, each with whether it
  /// is a spot machine. Returns the machines that no record names any more. `epoch`: the one that
  /// the watch cache had shown before the record; 0 at the first reading, which does not tell when
  /// a machine was registered.
  std::vector<std::string> set_record(const std::string& record,
                                      std::map<std::string, bool> machines,
                                      ids::EpochNumber epoch = {});
  /// The record cannot be read. What it named before stays registered. If it was never read, nobody
  /// knows what it names: a placeholder is registered, a machine that never sends a heartbeat, so
  /// that no failover completes before the record is gone.
  void set_unreadable(const std::string& record, ids::EpochNumber epoch);
  /// Whether it is the placeholder of a record and not a machine: there is nothing to terminate.
  static bool is_record_placeholder(const std::string& name) {
    return name.starts_with(cluster::keys::kMachines);
  }
  /// The records that name this machine, with all that they name.
  std::map<std::string, std::map<std::string, bool>> records_of(const std::string& machine) const;
  /// The machine was terminated: it and all on it are gone for good, and its name is never used
  /// again.
  void remove(const std::string& machine);
  bool registered(const std::string& machine) const { return registered_.contains(machine); }
  bool removed(const std::string& machine) const { return removed_.contains(machine); }
  struct Registered {
    unsigned records = 0;  ///< how many records name it
    bool spot = false;
    /// It was registered in this epoch or a later one, hence never commanded before it.
    ids::EpochNumber epoch{};
  };
  const std::map<std::string, Registered>& all_registered() const { return registered_; }

  // Whether silence proves anything.

  /// Since when every other controller has been heard without a gap. What they heard before is not
  /// known here, so that the silence of a machine says nothing for that time.
  net::Time connected_since() const { return connected_since_; }
  void set_connected_since(net::Time since) { connected_since_ = since; }
  /// To be called at least once a second, before any machine's silence is judged: a gap between two
  /// calls means that this process was suspended, and that messages of that time are still unread.
  /// Without this a leader that was suspended for a lease's time terminates all machines on waking.
  void detect_clock_jump(net::Time now);

  // Tasks on machines, over all newest heartbeats.

  /// How many tasks of the job are running.
  std::uint32_t running(const std::string& uid) const;
  /// Some task of the job has not exited.
  bool on_machines(const std::string& uid) const { return counts_.contains(uid); }
  /// Whether `matches(uid)` is true for some job that has such a task.
  template <class Matches>
  bool any_on_machines(Matches matches) const {
    return std::any_of(counts_.begin(), counts_.end(),
                       [&](const auto& count) { return matches(count.first); });
  }
  /// Images that tasks have run from on this machine, as far as was seen.
  bool has_image(const std::string& machine, const std::string& image) const;

  // Machine types and resources.

  void set_types(std::vector<wire::MachineType> types);
  /// nullptr if the type is unknown.
  const wire::MachineType* type(const std::string& name) const;
  const std::map<std::string, wire::MachineType>& types() const { return types_; }

  /// What the machine's type has less all that the heartbeat shows; nothing while the needs of some
  /// task are unknown.
  Resources free_resources(const MachineStatus& machine_status) const;
  bool has_long_tasks(const MachineStatus& machine_status) const;

  // What the leader and the operators say.

  const LongTaskMap& long_task_map() const { return long_task_map_; }
  /// Takes the map if it is fresher than the one that is known.
  bool apply_long_task_map(LongTaskMap map);

  /// Machines that are being terminated or drained: they take no new tasks.
  void set_cordoned(std::set<std::string> cordoned);
  bool cordoned(const std::string& machine) const { return cordoned_.contains(machine); }
  void cordon(const std::string& machine);
  /// Machines and zones that operators drain: they take no new tasks until the drain ends.
  void set_drains(std::set<std::string> machines, std::set<std::string> zones);
  bool drained(const std::string& machine, const std::string& zone) const {
    return drained_machines_.contains(machine) || drained_zones_.contains(zone);
  }
  bool draining() const { return !drained_machines_.empty() || !drained_zones_.empty(); }
  bool zone_drained(const std::string& zone) const { return drained_zones_.contains(zone); }
  /// Classes of jobs that are hardly served while others are, as the leader last told: as a last
  /// resort their probes are chosen first.
  void set_underserved_classes(std::set<std::string> classes) {
    underserved_classes_ = std::move(classes);
  }
  const std::set<std::string>& underserved_classes() const { return underserved_classes_; }
  /// Controllers that are suspected to have failed: machines attached to them get no new tasks.
  void set_suspects(std::set<cluster::ControllerId> suspects) {
    if (suspects != suspects_) ++capacity_version_;
    suspects_ = std::move(suspects);
  }
  bool suspected(const cluster::ControllerId& controller) const {
    return suspects_.contains(controller);
  }
  /// As the leader last told.
  const std::vector<ProvisioningMachines>& provisioning() const { return provisioning_; }
  void set_provisioning(std::vector<ProvisioningMachines> provisioning) {
    provisioning_ = std::move(provisioning);
  }
  const std::set<std::string>& all_cordoned() const { return cordoned_; }

 private:
  void evaluate(MachineStatus& machine_status) const;
  /// Updates the counts of tasks by what has changed between two heartbeats of a machine.
  void count(const wire::Heartbeat& before, const wire::Heartbeat& after);
  void count_task(const std::string& machine, const wire::TaskStatus& task);
  void uncount_task(const wire::TaskStatus& task);
  MachineStatus& add_status(const wire::Heartbeat& heartbeat, net::Time now);
  void register_machine(const std::string& machine, bool spot, ids::EpochNumber epoch);
  ids::DenseIdSet ids_of(const std::set<std::string>& machines) const;

  const cluster::JobDirectory& jobs_;
  ids::IdInterner ids_;
  std::unordered_map<std::string, MachineStatus> machine_statuses_;
  std::vector<const MachineStatus*> by_id_;  ///< into `machine_statuses_`
  std::uint64_t capacity_version_ = 1;
  std::map<std::string, std::map<std::string, bool>> records_;
  std::map<std::string, Registered> registered_;
  std::set<std::string> removed_;
  std::set<std::string> cordoned_;
  std::set<std::string> drained_machines_, drained_zones_;
  std::set<cluster::ControllerId> suspects_;
  std::set<std::string> underserved_classes_;
  std::vector<ProvisioningMachines> provisioning_;
  std::map<std::string, wire::MachineType> types_;
  std::unordered_map<std::string, std::set<std::string>> images_;
  struct Count {
    std::uint32_t live = 0;  ///< tasks that have not exited
    std::uint32_t running = 0;
  };
  tsl::robin_map<std::string, Count> counts_;  ///< by job
  LongTaskMap long_task_map_;
  net::Time connected_since_{};
  net::Time last_clock_check_{};
};
}  // namespace limemast::machines

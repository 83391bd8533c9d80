#pragma once
// What the existing machines offer to waiting jobs, by kind of machine.
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cloud/machine_inventory.hpp"

namespace limemast::cloud {
/// What the machines that a short job may use offer it.
struct ShortJobOutlook {
  bool has_machine = false;  ///< there is one, whatever is on it
  /// One without long tasks is full. Its tasks are short, so it will have room again.
  bool has_full_machine = false;
  bool has_room = false;  ///< one has room for a task, or is booting and will have
};

/// A snapshot of all machines that accept tasks. It is taken at once for all waiting jobs, because
/// a large deployment has thousands of machines and hundreds of waiting jobs.
class MachineSurvey {
 public:
  MachineSurvey(const MachineInventory& inventory, const machines::Registry& registry,
                const jobs::JobOwner& job_owner, const cluster::JobDirectory& job_directory,
                net::Time now);

  /// For a short job whose tasks may go to these zones.
  ShortJobOutlook outlook(const wire::JobSpec& spec, const std::set<std::string>& zones) const;
  /// Whether a machine is booting that has room for a task of the job. `spot`: its market.
  bool is_booting(const wire::JobSpec& spec, const std::set<std::string>& zones, bool spot) const;
  /// Whether a machine has room for a task of the long job, or will have when the tasks on it that
  /// are not of services have ended.
  bool has_room_beside_services(const wire::JobSpec& spec,
                                const std::set<std::string>& zones) const;
  /// The number of tasks by zone that heartbeats show of a short job with zone constraints.
  const std::map<std::string, std::uint32_t>& tasks_by_zone(const std::string& uid) const;

 private:
  /// The machines of one kind.
  struct Machines {
    const wire::MachineType* type = nullptr;
    std::size_t booting = 0;
    bool any_open_to_short_jobs = false;  ///< some machine has no long tasks
    std::vector<wire::Resources> free;    ///< of each machine that is up
    /// Resources that services leave free, of each machine that is up and accepts long tasks.
    std::vector<wire::Resources> free_beside_services;
  };
  /// Counts the machine's tasks of short jobs with zone constraints, whether it accepts more or
  /// not.
  void count_tasks_with_zone_constraints(const machines::MachineStatus& status);
  void add_running(const machines::MachineStatus& status, Machines& machines);
  template <class Condition>
  bool any_kind(const wire::JobSpec& spec, const std::set<std::string>& zones,
                Condition condition) const;

  const machines::Registry& registry_;
  const jobs::JobOwner& job_owner_;
  const cluster::JobDirectory& job_directory_;
  std::map<MachineKind, Machines> by_kind_;
  std::unordered_map<std::string, std::map<std::string, std::uint32_t>> tasks_by_zone_;
};
}  // namespace limemast::cloud

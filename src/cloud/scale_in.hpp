#pragma once
// Scale-in: decides which surplus or drained machines are cordoned and terminated.
#include <string>
#include <utility>
#include <vector>

#include "cloud/capacity_planner.hpp"
#include "cloud/machine_inventory.hpp"
#include "drains/drain.hpp"

namespace limemast::cloud {
/// Removes machines in two steps: a machine is cordoned first. It is marked for termination once
/// every controller knows of the cordon and no task is left on the machine.
class ScaleIn {
 public:
  ScaleIn(net::Runtime& runtime, const wire::Settings& settings, const machines::Registry& registry,
          const jobs::JobOwner& job_owner, const drains::Drains& drains,
          MachineInventory& inventory);
  /// Cordons machines by which `supply` exceeds `wanted`, and marks empty cordoned machines for
  /// termination.
  void run(const Capacity& wanted, Capacity supply);
  /// Cordons empty machines whose drain asks for their termination.
  void cordon_drained();

 private:
  using Candidate = std::pair<std::size_t, std::string>;  ///< number of tasks, machine
  /// Machines that may be cordoned, in ascending order of their number of tasks.
  std::vector<Candidate> candidates() const;
  void update_idle();
  /// Whether the machine's tasks are known and include no long task.
  bool has_only_short_tasks(const std::string& name, const Machine& machine) const;
  bool has_current_heartbeat(const machines::MachineStatus& status) const;
  void cordon_surplus(const Capacity& wanted, Capacity& supply);
  /// Whether the demand is met without the machine. Busy machines require a larger surplus.
  bool is_surplus(const Machine& machine, const Capacity& wanted, double supplied, bool idle) const;
  void mark_empty_cordoned();

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  const machines::Registry& registry_;
  const jobs::JobOwner& job_owner_;
  const drains::Drains& drains_;
  MachineInventory& inventory_;
};
}  // namespace limemast::cloud

#pragma once
// Computes how much capacity the cluster needs and how much of it is missing. Does no I/O.
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/runtime.hpp"
#include "wire/settings.hpp"

namespace limemast::cloud {
/// Demand or supply of CPUs, by market.
struct Capacity {
  std::map<std::string, double> on_demand;  ///< CPUs of on-demand machines, by zone
  double spot_cpus = 0;                     ///< CPUs of spot machines in all zones
  /// The part of `spot_cpus` that time-critical jobs need to meet their targets; 0 for a supply.
  double deadline_cpus = 0;
};

/// The demand of one active job.
struct JobDemand {
  const wire::JobSpec* spec = nullptr;  ///< never nullptr
  double tasks = 0;                     ///< number of unfinished tasks
  /// Number of assigned tasks by zone; nullptr if this controller does not own the job.
  const std::map<std::string, std::uint32_t>* tasks_by_zone = nullptr;
  bool time_critical = false;  ///< the job has a due time, or users expect it to finish in time
  /// Time left until the job's target; empty if it has no target or the target has passed.
  std::optional<wire::Seconds> until_target;
};
struct DemandInput {
  std::vector<JobDemand> jobs;
  std::set<std::string> zones;      ///< zones in which machines can be launched
  double largest_machine_cpus = 0;  ///< CPUs of the largest machine type
};
struct Demand {
  Capacity capacity;
  std::vector<const wire::JobSpec*> on_demand_jobs;
  std::vector<const wire::JobSpec*> spot_jobs;
};

/// Machines of one zone and market that run or are being launched.
struct MachineSupply {
  std::string zone;
  bool spot = false;
  double cpus = 0;  ///< total of these machines
};

/// Comparison of on-demand demand and supply.
struct Shortfall {
  std::vector<std::pair<std::string, double>> missing;  ///< CPUs by zone, only zones that lack some
  double surplus = 0;                                   ///< total CPUs in excess in other zones
};

/// Sums the demand of all jobs and adds spare on-demand capacity.
Demand demand_of(const DemandInput& input);
Capacity supply_of(const std::vector<MachineSupply>& machines);
Shortfall on_demand_shortfall(const Capacity& wanted, const Capacity& supply);

/// The part of capacity planning that depends on past demand.
class CapacityPlanner {
 public:
  explicit CapacityPlanner(const wire::Tuning& tuning) : tuning_(tuning) {}

  /// Adds on-demand CPUs for time-critical jobs when spot machines are unavailable and the existing
  /// ones are too few. The added amount is the fraction `overflow` of the shortfall, and it is
  /// added only once the shortfall has lasted: on-demand machines cost several times as much, and a
  /// short peak ends before they have booted.
  void add_deadline_overflow(Demand& demand, const Capacity& supply, net::Time now);
  /// Sets whether the last attempt to launch spot machines found none available.
  void set_spot_unavailable(bool unavailable) { spot_unavailable_ = unavailable; }
  /// Records the current demand and returns the peak demand within the idle retention period
  /// (`idle_return`). Scaling in below that peak could force a new boot moments later.
  Capacity recent_peak(const Capacity& needed, net::Time now);

 private:
  const wire::Tuning& tuning_;
  std::deque<std::pair<net::Time, Capacity>> recent_demand_;
  net::Time shortfall_since_{};  ///< zero: spot machines suffice or are available
  bool spot_unavailable_ = false;
};
}  // namespace limemast::cloud

#pragma once
// Settings of a controller: those that the platform passes (JSON, parsed by app/settings.hpp) and
// those that operators choose (TOML, described by app/options.hpp).
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "wire/job.hpp"

namespace limemast::wire {
/// The quota of a team, set by the platform.
struct Team {
  double cpus = 0;              ///< guaranteed
  double cpus_max = 0;          ///< limit; 0: unlimited
  double accelerators = 0;      ///< guaranteed
  double accelerators_max = 0;  ///< limit; 0: unlimited
};

/// A service-level objective, set by the platform.
struct Objective {
  std::string kind;      ///< "wait", "deadline", "finished" or "guarantee"
  std::string workload;  ///< the class of jobs that it covers; empty: it covers no class
  Seconds within{0};     ///< since the submission, or since the demand if `kind` is "guarantee"
  double share = 0;      ///< target fraction of the jobs, or of the time, from 0 to 1
};

/// Scheduling options of the operators; the defaults are the starting values of the design.
struct Tuning {
  double short_share = 0.08;     ///< fraction of the machines that accept no long tasks
  Seconds long_threshold{60};    ///< a job is long if its average task duration is above this
  std::uint32_t min_probes = 4;  ///< minimum number of probes that a short job sends
  /// Other probes may bypass a queued probe until their estimates add up to this multiple of its
  /// own.
  double bypass_cap = 5;
  Seconds map_interval{2};       ///< interval at which the leader sends its map of long tasks
  Seconds progress_interval{5};  ///< interval at which an owner records the progress of its jobs
  Seconds idle_return{20};       ///< a machine that has been idle for this long is terminated
  /// A class of jobs that misses its objectives by far while others meet theirs is scheduled
  /// before jobs that only have a higher rank.
  bool prioritize_underserved = false;
  /// Fraction of the capacity missing for deadlines that is launched as on-demand machines.
  double on_demand_fraction = 1;
};

/// Options of the operator API.
struct OperatorSettings {
  bool enabled = false;
  double max_requests_per_s = 40;    ///< of one controller; requests above this rate are refused
  std::uint32_t page_size = 200;     ///< maximum number of entries in one response
  Seconds peer_timeout{0.8};         ///< time-out of other controllers' parts of a response
  Seconds history_interval{5};       ///< between two samples of the history
  std::uint32_t history_size = 720;  ///< samples
  /// Rate at which a controller sends requests to its own API, to measure their cost; 0: never.
  double self_requests_per_s = 0;
};

/// Options of drains.
struct DrainSettings {
  /// Tasks without checkpoints may run on for this long on a drained machine.
  Seconds no_checkpoint_grace_period{300};
  /// Maximum number of tasks that have been evicted and are not yet running elsewhere.
  std::uint32_t max_moving_tasks = 16;
};

/// Options for admission control and load balancing between controllers.
struct OverloadSettings {
  /// A controller whose event loop lags by more than this admits fewer submissions, and then fewer
  /// queries; 0: it admits all requests.
  Seconds max_loop_lag{0.2};
  /// Machines move from the controller with the highest load to the one with the lowest.
  bool rebalance_machines = true;
};

/// Options for the start of a process.
struct StartSettings {
  /// After a restart of all controllers, the leader asks machines that have sent no heartbeat for
  /// their state instead of waiting for one.
  bool query_machines_after_restart = false;
  /// Time-out for binding an address that an earlier process still holds.
  Seconds bind_timeout{60};
};

/// Clocks of two machines drift apart by at most one part in kClockDriftDivisor. A lease has
/// therefore expired on its holder's clock once its duration multiplied by this factor has elapsed
/// on ours.
inline constexpr double kClockDriftFactor = 1.001;
inline constexpr int kClockDriftDivisor = 1000;

/// All settings of a controller. They do not change while the process runs.
struct Settings {
  // Set by the platform: this controller and its endpoints ("address:port").
  std::string label;                                  ///< name of this controller
  std::string zone;                                   ///< in which this controller runs
  std::string client_listen_endpoint;                 ///< for users, workers and operators
  std::string peer_listen_endpoint;                   ///< for other controllers
  std::map<std::string, std::string> peer_endpoints;  ///< of the other controllers, by label
  std::string cloud_endpoint;                         ///< of the cloud's API
  std::string store_endpoint;                         ///< of the key-value store
  // Set by the platform: the cluster.
  std::uint32_t controller_count = 3;  ///< of the deployment, this controller included
  std::vector<std::string> zones;
  std::map<std::string, Team> teams;  ///< by name
  std::vector<Objective> objectives;
  // Set by the platform: workers.
  Seconds heartbeat_interval{2};
  /// A worker kills its tasks if it has received no response from any controller for this long on
  /// its own clock; see kClockDriftFactor.
  Seconds worker_lease{12};
  Seconds cancel_timeout{37};  ///< within which all tasks of a cancelled job must have exited
  // Set by the platform: limits of external services and of the process.
  double store_requests_per_s = 0;    ///< to the key-value store, from all controllers
  double store_writes_per_s = 0;      ///< writes among these requests
  double max_value_kib = 0;           ///< size of one value in the key-value store, in KiB
  std::uint32_t max_txn_ops = 0;      ///< puts and deletes in one transaction
  double cloud_requests_per_s = 0;    ///< to the cloud's API
  Seconds machine_list_lag{0};        ///< staleness of the cloud's list of machines
  std::uint32_t max_connections = 0;  ///< sockets of this process
  Seconds max_clock_skew{0};          ///< bound of the wall clock's error
  // Set by the operators.
  Tuning tuning;
  OperatorSettings operators;
  DrainSettings drains;
  StartSettings start;
  OverloadSettings overload;
  bool json_logs = false;  ///< log lines are JSON objects

  /// Whether the team has no guarantee although another team has one. Its jobs are best effort and
  /// are preempted for jobs of teams with a guarantee. False for an unknown team.
  bool is_best_effort_team(const std::string& team) const {
    const auto it = teams.find(team);
    return it != teams.end() && !has_guarantee(it->second) &&
           std::any_of(teams.begin(), teams.end(),
                       [](const auto& entry) { return has_guarantee(entry.second); });
  }
  /// Whether the job is best effort: it uses only free capacity and is preempted for all other
  /// jobs. This holds for all jobs of a best-effort team, and for low-rank jobs of a team without a
  /// guarantee that have neither a deadline nor an objective for their completion time.
  bool is_best_effort(const JobSpec& spec) const {
    const auto it = teams.find(spec.team);
    const bool guaranteed = it != teams.end() && has_guarantee(it->second);
    return is_best_effort_team(spec.team) || (!guaranteed && spec.rank == Rank::Low && !spec.due &&
                                              !has_finish_objective(spec.workload));
  }
  /// Whether an objective sets a completion time for jobs of this class.
  bool has_finish_objective(const std::string& workload) const {
    return std::any_of(objectives.begin(), objectives.end(), [&](const Objective& objective) {
      return objective.kind == "finished" && objective.workload == workload;
    });
  }

 private:
  static bool has_guarantee(const Team& team) { return team.cpus > 0 || team.accelerators > 0; }
};
}  // namespace limemast::wire

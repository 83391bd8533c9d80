#pragma once
// Finds out why the machines there are do not run a job that waits.
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "diagnostics/pending_reason.hpp"
#include "machines/registry.hpp"
#include "wire/settings.hpp"

namespace limemast::diagnostics {
/// Compares a job that found no machine with the machines there are. It is asked only about jobs
/// that a scheduling decision has just passed over, and goes through the machines once a second at
/// the most for all jobs of one shape. Not thread-safe; all calls come from the event loop.
class CapacityDiagnosis {
 public:
  /// All arguments must outlive this.
  CapacityDiagnosis(const wire::Settings& settings, const cluster::JobDirectory& job_directory,
                    const machines::Registry& registry)
      : settings_(settings), job_directory_(job_directory), registry_(registry) {}

  struct Diagnosis {
    PendingReason reason = PendingReason::Placing;
    std::optional<net::Time> until;  ///< when the reason is expected to end, if that is known
  };
  /// `waiting`: tasks that wait. Where there is room for few of them only, the reason is what keeps
  /// the others. `zones`: how many of the job's tasks are in each zone. `failed`: it has failed on
  /// some machine lately.
  Diagnosis diagnose(const wire::JobSpec& spec, bool is_long, std::uint32_t waiting,
                     const std::map<std::string, std::uint32_t>& zones, bool failed, net::Time now);
  /// The team could not use more of its quota than it does, whatever room there is.
  bool is_at_quota_limit(const wire::JobSpec& spec, net::Time now);
  /// What each team's running tasks use, at most a second old.
  const std::map<std::string, wire::Resources>& team_usage(net::Time now);

 private:
  /// All that decides which machines may run a job's tasks: jobs of one shape share a survey.
  struct JobShape {
    bool spot = false;
    double cpus = 0;
    double ram_gb = 0;
    double accelerators = 0;
    std::optional<std::string> zone;
    std::optional<std::vector<std::string>> types;
    wire::Rank rank{};
    bool best_effort = false;
    bool is_long = false;
    auto operator<=>(const JobShape&) const = default;
  };
  /// What the machines of a zone that are of the job's types offer to jobs of one shape.
  struct ZoneSurvey {
    double tasks_with_room = 0;  ///< tasks for which there is room now
    /// The same, of best-effort jobs, which must leave it to teams with a guarantee.
    double tasks_in_guaranteed_room = 0;
    bool room_beside_long_tasks = false;      ///< which short tasks must not use
    bool room_reserved_for_services = false;  ///< the same
    bool room_in_short_partition = false;     ///< which long tasks must not use
    bool room_on_drained = false;
    bool has_machines = false;                ///< some are there, full or not
    bool room_below_others = false;           ///< there would be some without tasks of higher rank
    std::optional<net::Time> provisioned_at;  ///< when the next such machine is expected
  };
  struct Survey {
    net::Time at{};
    std::map<std::string, ZoneSurvey> zones;
  };
  /// The surveys of the zones where the job's rules allow another task, combined.
  struct Offer {
    double tasks_with_room = 0;
    bool guaranteed_room = false;
    bool room_in_short_partition = false;
    bool room_beside_long_tasks = false;
    bool room_on_drained = false;
    bool room_in_forbidden_zone = false;  ///< by the job's rules about zones
    bool room_below_others = false;
    bool has_machines = false;
    std::optional<net::Time> provisioned_at;
  };

  JobShape shape_of(const wire::JobSpec& spec, bool is_long) const;
  /// The survey for jobs of this shape, at most a second old.
  const Survey& survey(const wire::JobSpec& spec, bool is_long, net::Time now);
  bool is_eligible(const wire::JobSpec& spec, const std::string& type, const std::string& zone,
                   bool spot) const;
  void add_machine(const wire::JobSpec& spec, const JobShape& shape, const std::string& machine,
                   const machines::MachineStatus& machine_status, Survey& survey) const;
  void add_machine_with_room(const wire::JobSpec& spec, const JobShape& shape,
                             const std::string& machine,
                             const machines::MachineStatus& machine_status, ZoneSurvey& zone) const;
  /// The machine would have room for a task if none of higher rank ran on it.
  bool has_room_below_others(const wire::JobSpec& spec,
                             const machines::MachineStatus& machine_status) const;
  static Offer combine(const Survey& survey, const wire::JobSpec& spec,
                       const std::map<std::string, std::uint32_t>& zones);

  const wire::Settings& settings_;
  const cluster::JobDirectory& job_directory_;
  const machines::Registry& registry_;
  std::map<JobShape, Survey> surveys_;
  std::map<std::string, wire::Resources> team_usage_;
  net::Time team_usage_at_{};
};
}  // namespace limemast::diagnostics

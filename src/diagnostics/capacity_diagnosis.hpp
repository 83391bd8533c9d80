#pragma once
// Determines why the existing machines do not run a pending job.
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "diagnostics/pending_reason.hpp"
#include "machines/registry.hpp"
#include "wire/settings.hpp"

namespace limemast::diagnostics {
/// Compares a job that was not placed with the existing machines. It is called only for jobs that a
/// scheduling decision has just skipped. All jobs of one shape share a survey of the machines,
/// which is repeated at most once a second. Not thread-safe; all calls come from the event loop.
class CapacityDiagnosis {
 public:
  /// All arguments must outlive the diagnosis.
  CapacityDiagnosis(const wire::Settings& settings, const cluster::JobDirectory& job_directory,
                    const machines::Registry& registry)
      : settings_(settings), job_directory_(job_directory), registry_(registry) {}

  struct Diagnosis {
    PendingReason reason = PendingReason::Placing;
    std::optional<net::Time> until;  ///< when the reason is expected to end; nullopt: unknown
  };
  /// Returns why the job's tasks are pending. If only a small part of them fits, returns the reason
  /// that applies to the others. `pending`: the number of pending tasks. `zones`: how many of the
  /// job's tasks are in each zone. `failed_recently`: a task of the job recently failed on a
  /// machine.
  Diagnosis diagnose(const wire::JobSpec& spec, bool is_long, std::uint32_t pending,
                     const std::map<std::string, std::uint32_t>& zones, bool failed_recently,
                     net::Time now);
  /// True if the team's quota does not allow another grant of tasks, whatever capacity is free.
  bool is_at_quota_limit(const wire::JobSpec& spec, net::Time now);
  /// The resources used by the running tasks of each team, at most a second old.
  const std::map<std::string, wire::Resources>& team_usage(net::Time now);

 private:
  /// The properties that determine which machines may run a job's tasks. Jobs with equal properties
  /// share a survey.
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
  /// The free capacity of a zone's eligible machines for jobs of one shape.
  struct ZoneSurvey {
    double fitting_tasks = 0;  ///< tasks that fit into free capacity now
    /// The same for best-effort jobs, which must leave this capacity to teams with a guarantee.
    double fitting_tasks_reserved_for_guarantees = 0;
    bool room_beside_long_tasks = false;      ///< short tasks must not use it
    bool room_reserved_for_services = false;  ///< short tasks must not use it
    bool room_in_short_partition = false;     ///< long tasks must not use it
    bool room_on_drained = false;             ///< no new tasks may use it
    bool has_machines = false;                ///< there are eligible machines, full or not
    bool room_taken_by_higher_rank = false;   ///< a task would fit without tasks of higher rank
    std::optional<net::Time> provisioned_at;  ///< when the next eligible machine is expected
  };
  struct Survey {
    net::Time taken_at{};
    std::map<std::string, ZoneSurvey> zones;
  };
  /// The combined surveys of the zones in which the job's zone rules allow another task.
  struct CapacitySummary {
    double fitting_tasks = 0;
    bool room_reserved_for_guarantees = false;
    bool room_in_short_partition = false;
    bool room_beside_long_tasks = false;
    bool room_on_drained = false;
    bool room_in_forbidden_zone = false;  ///< the job's zone rules allow no further task there
    bool room_taken_by_higher_rank = false;
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
  /// True if a task would fit on the machine without the tasks of higher rank that run there.
  bool fits_without_higher_rank(const wire::JobSpec& spec,
                                const machines::MachineStatus& machine_status) const;
  static CapacitySummary combine(const Survey& survey, const wire::JobSpec& spec,
                                 const std::map<std::string, std::uint32_t>& zones);

  const wire::Settings& settings_;
  const cluster::JobDirectory& job_directory_;
  const machines::Registry& registry_;
  std::map<JobShape, Survey> surveys_;
  std::map<std::string, wire::Resources> team_usage_;
  net::Time team_usage_at_{};
};
}  // namespace limemast::diagnostics

#pragma once
// Scale-out: decides what capacity is launched.
#include <map>
#include <set>
#include <string>

#include "cloud/capacity_planner.hpp"
#include "cloud/machine_survey.hpp"
#include "cloud/provisioner.hpp"
#include "diagnostics/capacity_diagnosis.hpp"
#include "jobs/team_limits.hpp"

namespace limemast::cloud {
/// Launches machines for missing total capacity, and for jobs that fit on no machine although the
/// total capacity suffices.
class ScaleOut {
 public:
  ScaleOut(net::Runtime& runtime, const wire::Settings& settings,
           const cluster::Membership& membership, const cluster::JobDirectory& job_directory,
           const machines::Registry& registry, const jobs::JobOwner& job_owner,
           const MachineInventory& inventory, diagnostics::CapacityDiagnosis& capacity_diagnosis,
           Provisioner& provisioner);
  /// Launches machines for the capacity by which `demand` exceeds `supply`. Returns false if spot
  /// machines are missing and none are available at present.
  bool launch_shortfall(const Demand& demand, const Capacity& supply);
  /// Launches machines for jobs that the existing machines cannot run.
  void launch_for_unschedulable();

 private:
  void log_capacity(const Capacity& wanted, const Capacity& supply) const;
  void launch_for_long_jobs(const MachineSurvey& survey);
  /// Launches machines for short jobs that no existing machine can run. The jobs' owners place the
  /// tasks, but only the leader can launch machines.
  void launch_for_short_jobs(const MachineSurvey& survey);
  void launch_for_short_job(const cluster::ActiveJob& job, const MachineSurvey& survey);
  bool waits_for_machines(const jobs::Job& job) const;
  /// Whether the team's limit does not allow another task of the job, so that a machine would be of
  /// no use to it.
  bool is_at_team_limit(const wire::JobSpec& spec) const;
  /// How long the job has been seen to wait; starts to count at the first call.
  net::Duration waited(const std::string& uid);
  /// The zones in which the job's zone constraints allow another task. `tasks_by_zone`: the tasks
  /// of the job that are assigned or run.
  std::set<std::string> allowed_zones(
      const wire::JobSpec& spec, const std::map<std::string, std::uint32_t>& tasks_by_zone) const;

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  const cluster::Membership& membership_;
  const cluster::JobDirectory& job_directory_;
  const machines::Registry& registry_;
  const jobs::JobOwner& job_owner_;
  const MachineInventory& inventory_;
  diagnostics::CapacityDiagnosis& capacity_diagnosis_;
  Provisioner& provisioner_;
  const jobs::TeamLimits team_limits_;
  std::map<std::string, net::Time> waiting_since_;  ///< jobs with pending tasks, by uid
};
}  // namespace limemast::cloud

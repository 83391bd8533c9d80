#pragma once
// Resources used on machines that count towards the teams' quotas although no member has their
// tasks assigned.
#include <functional>

#include "machines/registry.hpp"

namespace limemast::jobs {
/// Resources of orphaned tasks: their job ended while its owner was lost, or the record of their
/// job cannot be read. A quota also limits tasks on machines that no owner knows of. An orphaned
/// task therefore counts until a heartbeat of its machine, the machine's next incarnation or the
/// machine's removal proves it gone (test: QuotaLimitDuringFailover.CountsTasksOfUnknownJobs).
struct OrphanedUsage {
  std::map<std::string, wire::Resources> by_team;
  /// Usage of tasks whose team is unknown: the most that they can use on their machines. Counts for
  /// every team.
  wire::Resources unknown_team;
  /// The usage that counts for this team.
  wire::Resources of(const std::string& team) const;
};
/// Computes the orphaned usage on all machines. `assigned_here`: whether a job of this controller
/// has the task assigned to that machine.
OrphanedUsage orphaned_usage(
    const machines::Registry& registry, const cluster::JobDirectory& job_directory,
    const cluster::Membership& membership,
    const std::function<bool(const std::string& machine, const wire::TaskStatus& task)>&
        assigned_here);
}  // namespace limemast::jobs

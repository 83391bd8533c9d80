#pragma once
// Resources on machines that count for teams' quotas although no living owner has them assigned.
#include <functional>

#include "machines/registry.hpp"

namespace limemast::jobs {
/// Resources of orphaned tasks: their job has ended while its owner was lost, or its record cannot
/// be read. A quota limits what may be on machines, not what an owner knows of, so an orphaned task
/// counts until it is proved gone by a heartbeat of its machine, by the machine's next incarnation
/// or by the machine's removal (test: QuotaLimitDuringFailover.CountsTasksOfUnknownJobs).
struct OrphanedUsage {
  std::map<std::string, wire::Resources> by_team;
  /// Of tasks whose team is unknown: the most that their machines can hold. Counts for every team.
  wire::Resources unknown_team;
  /// What counts for this team.
  wire::Resources of(const std::string& team) const;
};
/// The orphaned usage on all machines. `assigned_here`: this controller's own jobs have the task
/// assigned to that machine.
OrphanedUsage orphaned_usage(
    const machines::Registry& registry, const cluster::JobDirectory& job_directory,
    const cluster::Membership& membership,
    const std::function<bool(const std::string& machine, const wire::TaskStatus& task)>&
        assigned_here);
}  // namespace limemast::jobs

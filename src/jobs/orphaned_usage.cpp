#include "jobs/orphaned_usage.hpp"

namespace limemast::jobs {
namespace {
using wire::Resources;
constexpr double kUnlimited = 1e15;  ///< assumed capacity of a machine of unknown type

/// The resources of one task that count towards a quota. RAM does not count.
Resources quota_resources(const wire::JobSpec& spec) { return {spec.cpus, 0, spec.accelerators}; }

/// Whether a member has each of the job's tasks assigned or knows that it is gone: the job never
/// changed owners, or it has not ended and was taken over.
bool has_active_owner(const cluster::ActiveJob* job, const cluster::Membership& membership) {
  if (!job || !job->spec_known) return false;
  return !job->ended || (!job->is_long && membership.is_member(job->accepted_by));
}

/// The most that tasks with unknown needs can use on the machine.
Resources max_unknown_usage(const machines::MachineStatus& machine_status,
                            const cluster::JobDirectory& job_directory) {
  if (!machine_status.type) return {kUnlimited, 0, kUnlimited};
  auto left = Resources::of(*machine_status.type);
  for (const auto& task : machine_status.heartbeat.tasks) {
    const auto* job = job_directory.find(task.uid);
    if (!task.exited() && job && job->resources_known) left -= Resources::of(job->spec);
  }
  return {std::max(0.0, left.cpus), 0, std::max(0.0, left.accelerators)};
}
}  // namespace

Resources OrphanedUsage::of(const std::string& team) const {
  auto usage = unknown_team;
  if (const auto it = by_team.find(team); it != by_team.end()) usage += it->second;
  return usage;
}

OrphanedUsage orphaned_usage(
    const machines::Registry& registry, const cluster::JobDirectory& job_directory,
    const cluster::Membership& membership,
    const std::function<bool(const std::string& machine, const wire::TaskStatus& task)>&
        assigned_here) {
  OrphanedUsage usage;
  // Orphaned tasks are rare. If there are none, the machines need not be searched.
  const auto may_be_orphaned = [&](const std::string& uid) {
    return !has_active_owner(job_directory.find(uid), membership);
  };
  if (!registry.any_on_machines(may_be_orphaned)) return usage;
  for (const auto& [name, machine_status] : registry.machine_statuses()) {
    bool any_unknown = false;
    for (const auto& task : machine_status.heartbeat.tasks) {
      if (task.exited()) continue;
      const auto* job = job_directory.find(task.uid);
      if (has_active_owner(job, membership) || assigned_here(name, task)) continue;
      if (job && job->resources_known)
        usage.by_team[job->spec.team] += quota_resources(job->spec);
      else
        any_unknown = true;
    }
    if (any_unknown) usage.unknown_team += max_unknown_usage(machine_status, job_directory);
  }
  return usage;
}
}  // namespace limemast::jobs

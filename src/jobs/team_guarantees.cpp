#include "jobs/team_guarantees.hpp"

namespace limemast::jobs {
using wire::Resources;

bool TeamGuarantees::covers(const wire::JobSpec& spec) {
  const auto& team = settings_.teams.at(spec.team);
  if (team.cpus <= 0 && team.accelerators <= 0) return false;
  const auto [it, inserted] = used_.try_emplace(spec.team);
  if (inserted) it->second = sum_running(spec.team);
  auto used = it->second;
  used += Resources::of(spec);
  return used.cpus <= team.cpus + Resources::kTolerance &&
         used.accelerators <= team.accelerators + Resources::kTolerance;
}

Resources TeamGuarantees::sum_running(const std::string& team) const {
  Resources out;
  for (const auto& [uid, job] : job_directory_.all()) {
    if (job.ended || job.spec.team != team) continue;
    const double tasks = registry_.running(uid);
    out += {tasks * job.spec.cpus, 0, tasks * job.spec.accelerators};
  }
  return out;
}
}  // namespace limemast::jobs

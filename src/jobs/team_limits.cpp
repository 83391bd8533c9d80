#include "jobs/team_limits.hpp"

namespace limemast::jobs {
TeamLimits::TeamLimits(const wire::Settings& settings) {
  const auto or_unlimited = [](double limit) { return limit > 0 ? limit : kUnlimitedAmount; };
  for (const auto& [name, team] : settings.teams) {
    if (team.cpus_max <= 0 && team.accelerators_max <= 0) continue;
    limits_[name] = {or_unlimited(team.cpus_max), 0, or_unlimited(team.accelerators_max)};
  }
}

const wire::Resources* TeamLimits::find(const std::string& team) const {
  const auto it = limits_.find(team);
  return it == limits_.end() ? nullptr : &it->second;
}
}  // namespace limemast::jobs

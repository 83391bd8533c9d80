#include "jobs/submission_validation.hpp"

#include <algorithm>

#include "jobs/user_protocol.hpp"

namespace limemast::jobs {
namespace {
bool exceeds(double amount, double limit) {
  return limit > 0 && amount > limit + wire::Resources::kTolerance;
}
}  // namespace

std::optional<std::string> infeasibility_reason(const wire::JobSpec& spec,
                                                const wire::Settings& settings,
                                                const machines::Registry& registry) {
  namespace reason = user_protocol::unprocessable_reason;
  const auto team = settings.teams.find(spec.team);
  if (team == settings.teams.end()) return reason::kUnknownTeam;
  bool fits_some_type = false;
  bool fits_in_zone = false;
  for (const auto& [name, type] : registry.types()) {
    if (!spec.allows_type(name) || !type.fits(spec)) continue;
    fits_some_type = true;
    const auto& zones = type.zones;
    fits_in_zone = fits_in_zone || !spec.zone ||
                   std::find(zones.begin(), zones.end(), *spec.zone) != zones.end();
  }
  if (!fits_some_type) return reason::kFitsNoType;
  if (!fits_in_zone) return reason::kNotInZone;
  // All tasks of a service or gang run at once. Tasks of other jobs may run one at a time.
  const double tasks_at_once = spec.service || spec.gang ? spec.tasks : 1;
  const auto& limits = team->second;
  if (exceeds(spec.cpus * tasks_at_once, limits.cpus_max) ||
      exceeds(spec.accelerators * tasks_at_once, limits.accelerators_max))
    return reason::kExceedsLimit;
  return std::nullopt;
}
}  // namespace limemast::jobs

#pragma once
// Checks whether a submitted job could ever run.
#include <optional>
#include <string>

#include "machines/registry.hpp"
#include "wire/settings.hpp"

namespace limemast::jobs {
/// Why the job can never run: no machine type fits its tasks, or its team's limit is too low.
/// nullopt if the job can run. The registry must already know the machine types.
std::optional<std::string> infeasibility_reason(const wire::JobSpec& spec,
                                                const wire::Settings& settings,
                                                const machines::Registry& registry);
}  // namespace limemast::jobs

#pragma once
// The resource limits of the teams, from the settings.
#include <map>
#include <string>

#include "wire/resources.hpp"
#include "wire/settings.hpp"

namespace limemast::jobs {
/// Represents an amount without a limit: more than any deployment has, and small enough that sums
/// and differences with real amounts stay finite.
constexpr double kUnlimitedAmount = 1e15;

/// The resources that each team may use at once. Teams without a limit are not listed, and their
/// use is not counted.
class TeamLimits {
 public:
  explicit TeamLimits(const wire::Settings& settings);

  /// The team's limit in CPUs and accelerators, with `kUnlimitedAmount` for one of them that is not
  /// limited; nullptr if neither is limited. RAM is never limited and is 0.
  const wire::Resources* find(const std::string& team) const;
  bool is_limited(const std::string& team) const { return limits_.contains(team); }
  bool any_limited() const { return !limits_.empty(); }

 private:
  std::map<std::string, wire::Resources> limits_;
};
}  // namespace limemast::jobs

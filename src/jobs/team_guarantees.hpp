#pragma once
// Use of the resources that are guaranteed to teams.
#include <map>
#include <string>

#include "cluster/records.hpp"
#include "machines/registry.hpp"
#include "wire/resources.hpp"
#include "wire/settings.hpp"

namespace limemast::jobs {
/// Decides whether a job's next task is within its team's guarantee. The use of each team is summed
/// up once and cached until `reset`.
class TeamGuarantees {
 public:
  /// All arguments must outlive this object.
  TeamGuarantees(const wire::Settings& settings, const cluster::JobDirectory& job_directory,
                 const machines::Registry& registry)
      : settings_(settings), job_directory_(job_directory), registry_(registry) {}

  /// Whether the team stays within its guarantee with one more task of this kind. False for teams
  /// without a guarantee. The team must be in the settings.
  bool covers(const wire::JobSpec& spec);
  /// Clears the cached use of the teams. To be called before each run of the scheduler.
  void reset() { used_.clear(); }

 private:
  wire::Resources sum_running(const std::string& team) const;

  const wire::Settings& settings_;
  const cluster::JobDirectory& job_directory_;
  const machines::Registry& registry_;
  std::map<std::string, wire::Resources> used_;
};
}  // namespace limemast::jobs

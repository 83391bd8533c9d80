#pragma once
// The cases of the review. Each starts a deployment, plays its disruption if `trouble` is set, and
// reports broken rules to the record.
#include <string>

namespace standins {
struct CaseArguments {
  bool trouble = true;
  std::string command;
  std::string directory;
};
/// Returns false if there is no case of this name.
bool play(const std::string& name, const CaseArguments& arguments);
void full_zone_blocks_services(const CaseArguments& arguments);
void deposed_leader_learns_token(const CaseArguments& arguments);
void cordon_outlasts_quiet_time(const CaseArguments& arguments);
void stop_overtakes_start(const CaseArguments& arguments);
void silence_is_forgotten(const CaseArguments& arguments);
void limited_team_blocks_guests(const CaseArguments& arguments);
void guests_shun_ordinary_machines(const CaseArguments& arguments);
}  // namespace standins

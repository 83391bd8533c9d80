#include "diagnostics/capacity_diagnosis.hpp"

#include <algorithm>
#include <cmath>

namespace limemast::diagnostics {
namespace {
using namespace std::chrono_literals;
using wire::Resources;

/// The maximum age of surveys and of the teams' usage.
constexpr auto kMaxCacheAge = 1s;
/// The maximum number of cached surveys. When it is exceeded, all are dropped.
constexpr std::size_t kMaxSurveys = 256;
/// If less than this fraction of the pending tasks fits, the reason is what blocks the other tasks.
constexpr double kMinFittingFraction = 0.25;
/// Quota is granted for this many tasks at once. A team whose limit does not allow one more grant
/// is at its limit.
constexpr double kTasksPerGrant = 8;
/// The result for tasks that require no resources.
constexpr double kUnlimitedTasks = 1e9;

double tasks_that_fit(const Resources& room, const Resources& need) {
  double tasks = kUnlimitedTasks;
  const auto limit = [&](double available, double needed) {
    if (needed > 0) tasks = std::min(tasks, (available + Resources::kTolerance) / needed);
  };
  limit(room.cpus, need.cpus);
  limit(room.ram_gb, need.ram_gb);
  limit(room.accelerators, need.accelerators);
  return std::floor(tasks);
}

/// True if the job's zone rules allow another task in `zone`. `zones`: how many of its tasks are in
/// each zone.
bool zone_allows(const wire::JobSpec& spec, const std::string& zone,
                 const std::map<std::string, std::uint32_t>& zones) {
  const auto found = zones.find(zone);
  const auto tasks_here = found == zones.end() ? 0 : found->second;
  if (spec.spread && tasks_here + 1 > spec.max_tasks_per_zone()) return false;
  if (!spec.one_zone || tasks_here > 0) return true;
  return std::all_of(zones.begin(), zones.end(),
                     [](const auto& entry) { return entry.second == 0; });
}

void keep_earlier(std::optional<net::Time>& earliest, const std::optional<net::Time>& other) {
  if (other && (!earliest || *other < *earliest)) earliest = other;
}
}  // namespace

CapacityDiagnosis::JobShape CapacityDiagnosis::shape_of(const wire::JobSpec& spec,
                                                        bool is_long) const {
  JobShape shape;
  shape.spot = spec.spot;
  shape.cpus = spec.cpus;
  shape.ram_gb = spec.ram_gb;
  shape.accelerators = spec.accelerators;
  shape.zone = spec.zone;
  shape.types = spec.types;
  shape.rank = spec.rank;
  shape.best_effort = settings_.is_best_effort(spec);
  shape.is_long = is_long;
  return shape;
}

bool CapacityDiagnosis::is_eligible(const wire::JobSpec& spec, const std::string& type,
                                    const std::string& zone, bool spot) const {
  const auto* machine_type = registry_.type(type);
  return machine_type && machine_type->fits(spec) && spec.allows_type(type) &&
         (!spec.zone || *spec.zone == zone) && (spec.spot || !spot);
}

const CapacityDiagnosis::Survey& CapacityDiagnosis::survey(const wire::JobSpec& spec, bool is_long,
                                                           net::Time now) {
  const auto shape = shape_of(spec, is_long);
  if (surveys_.size() > kMaxSurveys && !surveys_.contains(shape)) surveys_.clear();
  auto& survey = surveys_[shape];
  if (survey.taken_at != net::Time{} && now - survey.taken_at < kMaxCacheAge) return survey;
  survey.taken_at = now;
  survey.zones.clear();
  for (const auto& [name, machine_status] : registry_.machine_statuses())
    add_machine(spec, shape, name, machine_status, survey);
  for (const auto& machines : registry_.provisioning())
    if (is_eligible(spec, machines.type, machines.zone, machines.spot))
      keep_earlier(survey.zones[machines.zone].provisioned_at, machines.first);
  return survey;
}

void CapacityDiagnosis::add_machine(const wire::JobSpec& spec, const JobShape& shape,
                                    const std::string& machine,
                                    const machines::MachineStatus& machine_status,
                                    Survey& survey) const {
  const auto& heartbeat = machine_status.heartbeat;
  if (!machine_status.registered || machine_status.cordoned || heartbeat.preemption_notice ||
      !is_eligible(spec, heartbeat.type, heartbeat.zone, heartbeat.spot))
    return;
  auto& zone = survey.zones[heartbeat.zone];
  const bool has_room = registry_.free_resources(machine_status).fits(Resources::of(spec));
  if (machine_status.drained) {
    zone.room_on_drained = zone.room_on_drained || has_room;
    return;
  }
  zone.has_machines = true;
  if (has_room)
    add_machine_with_room(spec, shape, machine, machine_status, zone);
  else if (!zone.room_taken_by_higher_rank)
    zone.room_taken_by_higher_rank = fits_without_higher_rank(spec, machine_status);
}

void CapacityDiagnosis::add_machine_with_room(const wire::JobSpec& spec, const JobShape& shape,
                                              const std::string& machine,
                                              const machines::MachineStatus& machine_status,
                                              ZoneSurvey& zone) const {
  const auto& map = registry_.long_task_map();
  if (shape.is_long && map.short_partition.contains(machine)) {
    zone.room_in_short_partition = true;
    return;
  }
  if (!shape.is_long && registry_.has_long_tasks(machine_status)) {
    zone.room_beside_long_tasks = true;
    return;
  }
  if (!shape.is_long && map.reserved_for_services.contains(machine)) {
    zone.room_reserved_for_services = true;
    return;
  }
  const auto free = registry_.free_resources(machine_status);
  auto& tasks = shape.best_effort ? zone.fitting_tasks_reserved_for_guarantees : zone.fitting_tasks;
  tasks += tasks_that_fit(free, Resources::of(spec));
}

bool CapacityDiagnosis::fits_without_higher_rank(
    const wire::JobSpec& spec, const machines::MachineStatus& machine_status) const {
  auto room = registry_.free_resources(machine_status);
  for (const auto& task : machine_status.heartbeat.tasks) {
    const auto* other = task.exited() ? nullptr : job_directory_.find(task.uid);
    if (other && other->spec.rank > spec.rank) room += Resources::of(other->spec);
  }
  return room.fits(Resources::of(spec));
}

const std::map<std::string, Resources>& CapacityDiagnosis::team_usage(net::Time now) {
  if (team_usage_at_ != net::Time{} && now - team_usage_at_ < kMaxCacheAge) return team_usage_;
  team_usage_at_ = now;
  team_usage_.clear();
  for (const auto& [uid, job] : job_directory_.all())
    if (const double tasks = registry_.running_tasks(uid); tasks > 0 && job.spec_known)
      team_usage_[job.spec.team] +=
          {tasks * job.spec.cpus, tasks * job.spec.ram_gb, tasks * job.spec.accelerators};
  return team_usage_;
}

bool CapacityDiagnosis::is_at_quota_limit(const wire::JobSpec& spec, net::Time now) {
  const auto team = settings_.teams.find(spec.team);
  if (team == settings_.teams.end()) return false;
  const auto& usage = team_usage(now);
  const auto found = usage.find(spec.team);
  auto with_next_grant = found == usage.end() ? Resources{} : found->second;
  with_next_grant += {spec.cpus * kTasksPerGrant, 0, spec.accelerators * kTasksPerGrant};
  const auto& limits = team->second;
  return (limits.cpus_max > 0 && with_next_grant.cpus > limits.cpus_max) ||
         (limits.accelerators_max > 0 && with_next_grant.accelerators > limits.accelerators_max);
}

CapacityDiagnosis::CapacitySummary CapacityDiagnosis::combine(
    const Survey& survey, const wire::JobSpec& spec,
    const std::map<std::string, std::uint32_t>& zones) {
  CapacitySummary summary;
  for (const auto& [name, zone] : survey.zones) {
    if (!zone_allows(spec, name, zones)) {
      summary.room_in_forbidden_zone = summary.room_in_forbidden_zone || zone.fitting_tasks > 0 ||
                                       zone.fitting_tasks_reserved_for_guarantees > 0 ||
                                       zone.room_in_short_partition;
      continue;
    }
    summary.fitting_tasks += zone.fitting_tasks;
    summary.room_reserved_for_guarantees =
        summary.room_reserved_for_guarantees || zone.fitting_tasks_reserved_for_guarantees > 0;
    summary.room_in_short_partition =
        summary.room_in_short_partition || zone.room_in_short_partition;
    summary.room_beside_long_tasks = summary.room_beside_long_tasks || zone.room_beside_long_tasks;
    summary.room_on_drained = summary.room_on_drained || zone.room_on_drained;
    summary.room_taken_by_higher_rank = summary.room_taken_by_higher_rank ||
                                        zone.room_taken_by_higher_rank ||
                                        zone.room_reserved_for_services;
    summary.has_machines = summary.has_machines || zone.has_machines;
    keep_earlier(summary.provisioned_at, zone.provisioned_at);
  }
  return summary;
}

/// If several reasons apply, returns the one that is expected to end first. Reasons that an
/// operator can remove come before the others.
CapacityDiagnosis::Diagnosis CapacityDiagnosis::diagnose(
    const wire::JobSpec& spec, bool is_long, std::uint32_t pending,
    const std::map<std::string, std::uint32_t>& zones, bool failed_recently, net::Time now) {
  const auto summary = combine(survey(spec, is_long, now), spec, zones);
  if (summary.fitting_tasks > 0 && summary.fitting_tasks >= pending * kMinFittingFraction)
    return {failed_recently ? PendingReason::BackingOff : PendingReason::Placing, std::nullopt};
  if (summary.room_on_drained) return {PendingReason::Draining, std::nullopt};
  if (summary.provisioned_at) return {PendingReason::Booting, summary.provisioned_at};
  if (summary.room_reserved_for_guarantees) return {PendingReason::OthersGuarantee, std::nullopt};
  if (summary.room_in_forbidden_zone) return {PendingReason::ZoneRule, std::nullopt};
  if (summary.room_in_short_partition) return {PendingReason::ShortPartition, std::nullopt};
  if (summary.room_beside_long_tasks) return {PendingReason::BesideLongTasks, std::nullopt};
  if (summary.room_taken_by_higher_rank) return {PendingReason::HigherRank, std::nullopt};
  return {summary.has_machines ? PendingReason::Resources : PendingReason::NoMachine, std::nullopt};
}
}  // namespace limemast::diagnostics

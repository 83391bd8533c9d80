#include "diagnostics/capacity_diagnosis.hpp"

#include <algorithm>
#include <cmath>

namespace limemast::diagnostics {
namespace {
using namespace std::chrono_literals;
using wire::Resources;

constexpr auto kMaxAge = 1s;
/// Shapes of jobs whose surveys are kept; beyond, all are dropped and made anew.
constexpr std::size_t kMaxSurveys = 256;
/// Where there is room for a smaller part of the waiting tasks, something else keeps the rest.
constexpr double kMinShareWithRoom = 0.25;
/// Quota is granted for some tasks at once: within that of the limit no more is to be had.
constexpr double kTasksPerGrant = 8;
/// Stands for room without a limit, for tasks that need nothing.
constexpr double kAnyNumberOfTasks = 1e9;

double tasks_that_fit(const Resources& room, const Resources& need) {
  double tasks = kAnyNumberOfTasks;
  const auto limit = [&](double available, double needed) {
    if (needed > 0) tasks = std::min(tasks, (available + Resources::kTolerance) / needed);
  };
  limit(room.cpus, need.cpus);
  limit(room.ram_gb, need.ram_gb);
  limit(room.accelerators, need.accelerators);
  return std::floor(tasks);
}

/// The job's rules allow another task in the zone. `zones`: where its tasks are.
bool zone_allows(const wire::JobSpec& spec, const std::string& zone,
                 const std::map<std::string, std::uint32_t>& zones) {
  const auto found = zones.find(zone);
  const auto tasks_here = found == zones.end() ? 0 : found->second;
  if (spec.spread && tasks_here + 1 > spec.zone_cap()) return false;
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
  shape.best_effort = settings_.yields(spec);
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
  if (survey.at != net::Time{} && now - survey.at < kMaxAge) return survey;
  survey.at = now;
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
  else if (!zone.room_below_others)
    zone.room_below_others = has_room_below_others(spec, machine_status);
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
  auto& tasks = shape.best_effort ? zone.tasks_in_guaranteed_room : zone.tasks_with_room;
  tasks += tasks_that_fit(free, Resources::of(spec));
}

bool CapacityDiagnosis::has_room_below_others(const wire::JobSpec& spec,
                                              const machines::MachineStatus& machine_status) const {
  auto room = registry_.free_resources(machine_status);
  for (const auto& task : machine_status.heartbeat.tasks) {
    const auto* other = task.exited() ? nullptr : job_directory_.find(task.uid);
    if (other && other->spec.rank > spec.rank) room += Resources::of(other->spec);
  }
  return room.fits(Resources::of(spec));
}

const std::map<std::string, Resources>& CapacityDiagnosis::used(net::Time now) {
  if (used_at_ != net::Time{} && now - used_at_ < kMaxAge) return used_;
  used_at_ = now;
  used_.clear();
  for (const auto& [uid, job] : job_directory_.all())
    if (const double tasks = registry_.running_tasks(uid); tasks > 0 && job.spec_known)
      used_[job.spec.team] +=
          {tasks * job.spec.cpus, tasks * job.spec.ram_gb, tasks * job.spec.accelerators};
  return used_;
}

bool CapacityDiagnosis::at_limit(const wire::JobSpec& spec, net::Time now) {
  const auto team = settings_.teams.find(spec.team);
  if (team == settings_.teams.end()) return false;
  const auto& used_by_team = used(now);
  const auto found = used_by_team.find(spec.team);
  auto with_next_grant = found == used_by_team.end() ? Resources{} : found->second;
  with_next_grant += {spec.cpus * kTasksPerGrant, 0, spec.accelerators * kTasksPerGrant};
  const auto& limits = team->second;
  return (limits.cpus_max > 0 && with_next_grant.cpus > limits.cpus_max) ||
         (limits.accelerators_max > 0 && with_next_grant.accelerators > limits.accelerators_max);
}

CapacityDiagnosis::Offer CapacityDiagnosis::combine(
    const Survey& survey, const wire::JobSpec& spec,
    const std::map<std::string, std::uint32_t>& zones) {
  Offer offer;
  for (const auto& [name, zone] : survey.zones) {
    if (!zone_allows(spec, name, zones)) {
      offer.room_in_forbidden_zone = offer.room_in_forbidden_zone || zone.tasks_with_room > 0 ||
                                     zone.tasks_in_guaranteed_room > 0 ||
                                     zone.room_in_short_partition;
      continue;
    }
    offer.tasks_with_room += zone.tasks_with_room;
    offer.guaranteed_room = offer.guaranteed_room || zone.tasks_in_guaranteed_room > 0;
    offer.room_in_short_partition = offer.room_in_short_partition || zone.room_in_short_partition;
    offer.room_beside_long_tasks = offer.room_beside_long_tasks || zone.room_beside_long_tasks;
    offer.room_on_drained = offer.room_on_drained || zone.room_on_drained;
    offer.room_below_others =
        offer.room_below_others || zone.room_below_others || zone.room_reserved_for_services;
    offer.has_machines = offer.has_machines || zone.has_machines;
    keep_earlier(offer.provisioned_at, zone.provisioned_at);
  }
  return offer;
}

/// The reason that is expected to end first is named; of those that an operator can lift, before
/// those that nobody can.
CapacityDiagnosis::Diagnosis CapacityDiagnosis::judge(
    const wire::JobSpec& spec, bool is_long, std::uint32_t waiting,
    const std::map<std::string, std::uint32_t>& zones, bool failed, net::Time now) {
  const auto offer = combine(survey(spec, is_long, now), spec, zones);
  if (offer.tasks_with_room > 0 && offer.tasks_with_room >= waiting * kMinShareWithRoom)
    return {failed ? PendingReason::BackingOff : PendingReason::Placing, std::nullopt};
  if (offer.room_on_drained) return {PendingReason::Drain, std::nullopt};
  if (offer.provisioned_at) return {PendingReason::Booting, offer.provisioned_at};
  if (offer.guaranteed_room) return {PendingReason::OthersGuarantee, std::nullopt};
  if (offer.room_in_forbidden_zone) return {PendingReason::ZoneRule, std::nullopt};
  if (offer.room_in_short_partition) return {PendingReason::ShortPartition, std::nullopt};
  if (offer.room_beside_long_tasks) return {PendingReason::BesideLongTasks, std::nullopt};
  if (offer.room_below_others) return {PendingReason::HigherRank, std::nullopt};
  return {offer.has_machines ? PendingReason::Resources : PendingReason::NoMachine, std::nullopt};
}
}  // namespace limemast::diagnostics

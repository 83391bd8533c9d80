#include "machines/candidates.hpp"

namespace limemast::machines {
const Candidates::List& Candidates::matching(const wire::JobSpec& spec, net::Time now) {
  return cached(spec, now).list;
}

const std::vector<ids::DenseId>& Candidates::with_free_capacity(const wire::JobSpec& spec,
                                                                net::Time now) {
  auto& entry = cached(spec, now);
  if (entry.capacity_searched_at != net::Time{} &&
      now - entry.capacity_searched_at < kMaxCapacityAge)
    return entry.with_free_capacity;
  entry.capacity_searched_at = now;
  entry.with_free_capacity.clear();
  const auto need = Resources::of(spec);
  for (const auto machine : entry.list.machines)
    if (const auto* machine_status = registry_.at(machine);
        machine_status && machine_status->resources_known && machine_status->free.fits(need))
      entry.with_free_capacity.push_back(machine);
  return entry.with_free_capacity;
}

Candidates::CacheEntry& Candidates::cached(const wire::JobSpec& spec, net::Time now) {
  Constraints constraints{spec.spot,         spec.cpus, spec.ram_gb,
                          spec.accelerators, spec.zone, spec.types};
  if (cache_.size() >= kMaxEntries && !cache_.contains(constraints)) cache_.clear();
  auto& entry = cache_[std::move(constraints)];
  if (entry.capacity_version == registry_.capacity_version() ||
      (entry.capacity_version != 0 && now - entry.searched_at < kMaxListAge))
    return entry;
  entry.capacity_version = registry_.capacity_version();
  entry.searched_at = now;
  ++entry.list.version;
  entry.list.machines.clear();
  // The allowed types are computed once, since there are few types and many machines.
  std::vector<const std::string*> types;
  for (const auto& [name, type] : registry_.types())
    if (spec.allows_type(name) && type.fits(spec)) types.push_back(&name);
  for (const auto& [name, machine_status] : registry_.machine_statuses()) {
    const auto& heartbeat = machine_status.heartbeat;
    if ((heartbeat.spot && !spec.spot) || (spec.zone && *spec.zone != heartbeat.zone) ||
        !accepts_tasks(machine_status.id))
      continue;
    if (std::any_of(types.begin(), types.end(),
                    [&](const auto* type) { return *type == heartbeat.type; }))
      entry.list.machines.push_back(machine_status.id);
  }
  return entry;
}
}  // namespace limemast::machines

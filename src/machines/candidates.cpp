#include "machines/candidates.hpp"

namespace limemast::machines {
const Candidates::List& Candidates::matching(const wire::JobSpec& s, net::Time now) {
  return kept(s, now).list;
}

const std::vector<ids::DenseId>& Candidates::with_free_capacity(const wire::JobSpec& s,
                                                                net::Time now) {
  auto& kind = kept(s, now);
  if (kind.room_at != net::Time{} && now - kind.room_at < kRoomKept) return kind.with_free_capacity;
  kind.room_at = now;
  kind.with_free_capacity.clear();
  const auto need = Resources::of(s);
  for (const auto n : kind.list.machines)
    if (const auto* machine_status = registry_.at(n);
        machine_status && machine_status->evaluated && machine_status->free.fits(need))
      kind.with_free_capacity.push_back(n);
  return kind.with_free_capacity;
}

Candidates::Kept& Candidates::kept(const wire::JobSpec& s, net::Time now) {
  Kind kind{s.spot, s.cpus, s.ram_gb, s.accelerators, s.zone, s.types};
  if (kinds_.size() >= kMaxKinds && !kinds_.contains(kind)) kinds_.clear();
  auto& kept = kinds_[std::move(kind)];
  if (kept.capacity_version == registry_.capacity_version() ||
      (kept.capacity_version != 0 && now - kept.at < kKept))
    return kept;
  kept.capacity_version = registry_.capacity_version();
  kept.at = now;
  ++kept.list.version;
  kept.list.machines.clear();
  // Types are few, machines many: which types are allowed is found out once.
  std::vector<const std::string*> types;
  for (const auto& [name, type] : registry_.types())
    if (s.allows_type(name) && type.fits(s)) types.push_back(&name);
  for (const auto& [name, machine_status] : registry_.machine_statuses()) {
    const auto& r = machine_status.heartbeat;
    if ((r.spot && !s.spot) || (s.zone && *s.zone != r.zone) || !accepts_tasks(machine_status.id))
      continue;
    if (std::any_of(types.begin(), types.end(), [&](const auto* t) { return *t == r.type; }))
      kept.list.machines.push_back(machine_status.id);
  }
  return kept;
}
}  // namespace limemast::machines

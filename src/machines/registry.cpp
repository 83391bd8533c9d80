#include "machines/registry.hpp"

#include <utility>

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;
/// A longer gap between two calls of `detect_process_suspension` counts as a suspension; callers
/// check at least once a second.
constexpr auto kMaxSuspensionCheckInterval = 2500ms;
}  // namespace

MachineStatus& Registry::add_status(const wire::Heartbeat& heartbeat, net::Time now) {
  auto& status = machine_statuses_[heartbeat.machine];
  status.id = id(heartbeat.machine);
  status.type = type(heartbeat.type);
  status.first_heartbeat = now;
  status.registered = registered(heartbeat.machine);
  status.cordoned = cordoned(heartbeat.machine);
  status.drained = drained(heartbeat.machine, heartbeat.zone);
  if (status.id >= by_id_.size()) by_id_.resize(status.id + 1);
  by_id_[status.id] = &status;
  ++capacity_version_;
  return status;
}

bool Registry::update(const wire::Heartbeat& heartbeat, const cluster::ControllerId& controller,
                      net::Time now) {
  if (removed(heartbeat.machine)) return false;
  const auto known = machine_statuses_.find(heartbeat.machine);
  const bool is_new = known == machine_statuses_.end();
  if (!is_new && !heartbeat.newer_than(known->second.heartbeat)) return false;
  auto& status = is_new ? add_status(heartbeat, now) : known->second;
  const bool notice_withdrawn = status.heartbeat.preemption_notice && !heartbeat.preemption_notice;
  // The previous controller may be suspected, and then the machine did not accept tasks until now.
  const bool moved = !is_new && status.attached_controller != controller;
  if (notice_withdrawn || moved) ++capacity_version_;
  const bool same_tasks = !is_new && status.heartbeat.tasks == heartbeat.tasks;
  if (!same_tasks) update_task_counts(status.heartbeat, heartbeat);
  status.heartbeat = heartbeat;
  status.attached_controller = controller;
  status.last_heartbeat = now;
  if (!same_tasks || !status.resources_known) compute_resources(status);
  return true;
}

void Registry::compute_resources(MachineStatus& machine_status) const {
  machine_status.free = {};
  machine_status.has_long_tasks = false;
  machine_status.resources_known = machine_status.type != nullptr;
  if (!machine_status.type) return;
  auto free = Resources::of(*machine_status.type);
  for (const auto& task : machine_status.heartbeat.tasks) {
    if (task.exited()) continue;
    const auto* job = jobs_.find(task.uid);
    if (!job || !job->spec_known) {
      machine_status.resources_known = false;
      continue;
    }
    free -= Resources::of(job->spec);
    machine_status.has_long_tasks = machine_status.has_long_tasks || job->is_long;
  }
  // While the resource request of a task is unknown, nothing counts as free.
  if (machine_status.resources_known) machine_status.free = free;
}

void Registry::record_contact(const std::string& machine, net::Time now) {
  if (auto it = machine_statuses_.find(machine); it != machine_statuses_.end())
    it->second.last_heartbeat = now;
}

void Registry::detect_process_suspension(net::Time now) {
  if (last_suspension_check_ != net::Time{} &&
      now - last_suspension_check_ > kMaxSuspensionCheckInterval)
    peers_connected_since_ = now;
  last_suspension_check_ = now;
}

std::vector<std::string> Registry::apply_registration_record(const std::string& record,
                                                             std::map<std::string, bool> machines,
                                                             ids::EpochNumber epoch) {
  auto& current = records_[record];
  const auto before = std::exchange(current, std::move(machines));
  const auto& after = current;
  for (const auto& [name, spot] : after)
    if (!before.contains(name)) register_machine(name, spot, epoch);
  std::vector<std::string> unregistered;
  for (const auto& [name, spot] : before) {
    if (after.contains(name)) continue;
    auto it = registrations_.find(name);
    if (it == registrations_.end() || --it->second.records > 0) continue;
    registrations_.erase(it);
    unregistered.push_back(name);
  }
  if (after.empty()) records_.erase(record);
  return unregistered;
}

void Registry::register_machine(const std::string& machine, bool spot, ids::EpochNumber epoch) {
  auto [it, is_new] = registrations_.try_emplace(machine);
  auto& registration = it->second;
  if (is_new) registration.epoch = epoch;
  ++registration.records;
  registration.spot = spot;
  const auto status = machine_statuses_.find(machine);
  if (status == machine_statuses_.end()) return;
  status->second.registered = true;
  ++capacity_version_;
}

void Registry::mark_record_unreadable(const std::string& record, ids::EpochNumber epoch) {
  if (!records_.contains(record)) apply_registration_record(record, {{record, false}}, epoch);
}

std::map<std::string, std::map<std::string, bool>> Registry::records_of(
    const std::string& machine) const {
  std::map<std::string, std::map<std::string, bool>> naming;
  for (const auto& [record, machines] : records_)
    if (machines.contains(machine)) naming.emplace(record, machines);
  return naming;
}

void Registry::set_cordoned(std::set<std::string> cordoned) {
  if (cordoned == cordoned_) return;
  ++capacity_version_;
  cordoned_ = std::move(cordoned);
  for (auto& [name, machine_status] : machine_statuses_)
    machine_status.cordoned = cordoned_.contains(name);
}

void Registry::set_drains(std::set<std::string> machines, std::set<std::string> zones) {
  drained_machines_ = std::move(machines);
  drained_zones_ = std::move(zones);
  ++capacity_version_;
  for (auto& [name, machine_status] : machine_statuses_)
    machine_status.drained = drained(name, machine_status.heartbeat.zone);
}

void Registry::cordon(const std::string& machine) {
  cordoned_.insert(machine);
  if (auto it = machine_statuses_.find(machine); it != machine_statuses_.end())
    it->second.cordoned = true;
}

const MachineStatus* Registry::find(const std::string& machine) const {
  auto it = machine_statuses_.find(machine);
  return it == machine_statuses_.end() ? nullptr : &it->second;
}

void Registry::update_task_counts(const wire::Heartbeat& before, const wire::Heartbeat& after) {
  // Most tasks are unchanged: only those between the first and the last difference are counted.
  auto old_first = before.tasks.begin();
  auto old_last = before.tasks.end();
  auto new_first = after.tasks.begin();
  auto new_last = after.tasks.end();
  while (old_first != old_last && new_first != new_last && *old_first == *new_first) {
    ++old_first;
    ++new_first;
  }
  while (old_first != old_last && new_first != new_last &&
         *std::prev(old_last) == *std::prev(new_last)) {
    --old_last;
    --new_last;
  }
  // Additions come first, so that the entry of a job with tasks in both heartbeats is not erased.
  for (; new_first != new_last; ++new_first)
    if (!new_first->exited()) add_to_task_counts(after.machine, *new_first);
  for (; old_first != old_last; ++old_first)
    if (!old_first->exited()) remove_from_task_counts(*old_first);
}

void Registry::add_to_task_counts(const std::string& machine, const wire::TaskStatus& task) {
  const bool is_running = task.phase == wire::TaskPhase::Running;
  auto& count = task_counts_[task.uid];
  ++count.live;
  if (!is_running) return;
  ++count.running;
  if (const auto* job = jobs_.find(task.uid)) images_[machine].insert(job->spec.image);
}

void Registry::remove_from_task_counts(const wire::TaskStatus& task) {
  auto counted = task_counts_.find(task.uid);
  auto& count = counted.value();
  if (task.phase == wire::TaskPhase::Running) --count.running;
  if (--count.live == 0) task_counts_.erase(counted);
}

std::uint32_t Registry::running_tasks(const std::string& uid) const {
  auto it = task_counts_.find(uid);
  return it == task_counts_.end() ? 0 : it->second.running;
}

void Registry::remove(const std::string& machine) {
  if (const auto* machine_status = find(machine)) {
    update_task_counts(machine_status->heartbeat, {});
    by_id_[machine_status->id] = nullptr;
    long_task_map_.closed_to_short_jobs.erase(machine_status->id);
    long_task_map_.in_short_partition.erase(machine_status->id);
  }
  ids_.release(machine);
  machine_statuses_.erase(machine);
  registrations_.erase(machine);
  cordoned_.erase(machine);
  images_.erase(machine);
  removed_.insert(machine);
}

void Registry::set_types(std::vector<wire::MachineType> types) {
  types_.clear();
  for (auto& t : types) types_.emplace(t.name, std::move(t));
  for (auto& [name, machine_status] : machine_statuses_) {
    machine_status.type = type(machine_status.heartbeat.type);
    compute_resources(machine_status);
  }
  ++capacity_version_;
}

ids::DenseIdSet Registry::ids_of(const std::set<std::string>& machines) const {
  ids::DenseIdSet known;
  for (const auto& name : machines)
    if (const auto* status = find(name)) known.insert(status->id);
  return known;
}

bool Registry::apply_long_task_map(LongTaskMap map) {
  if (!map.newer_than(long_task_map_)) return false;
  map.closed_to_short_jobs = ids_of(map.with_long_tasks);
  ids_of(map.reserved_for_services).for_each([&](ids::DenseId id) {
    map.closed_to_short_jobs.insert(id);
  });
  map.in_short_partition = ids_of(map.short_partition);
  long_task_map_ = std::move(map);
  return true;
}

const wire::MachineType* Registry::type(const std::string& name) const {
  auto it = types_.find(name);
  return it == types_.end() ? nullptr : &it->second;
}

Resources Registry::free_resources(const MachineStatus& machine_status) const {
  if (machine_status.resources_known) return machine_status.free;
  auto computed = machine_status;
  compute_resources(computed);
  return computed.free;
}

bool Registry::has_long_tasks(const MachineStatus& machine_status) const {
  if (machine_status.resources_known) return machine_status.has_long_tasks;
  auto computed = machine_status;
  compute_resources(computed);
  return computed.has_long_tasks;
}

bool Registry::has_image(const std::string& machine, const std::string& image) const {
  auto it = images_.find(machine);
  return it != images_.end() && it->second.contains(image);
}
}  // namespace limemast::machines

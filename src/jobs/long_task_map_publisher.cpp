#include "jobs/long_task_map_publisher.hpp"

#include <algorithm>
#include <compare>
#include <utility>

#include "scheduling/placement.hpp"

namespace limemast::jobs {
namespace {
using ProvisioningEntry = messages::LongTaskMapUpdate::Provisioning;

/// Times are sent relative to now, because the clocks of the controllers differ.
std::vector<ProvisioningEntry> to_entries(
    const std::vector<machines::ProvisioningMachines>& provisioning, net::Time now) {
  std::vector<ProvisioningEntry> out;
  out.reserve(provisioning.size());
  for (const auto& group : provisioning)
    out.push_back({group.type, group.zone, group.spot, group.count,
                   std::chrono::duration_cast<std::chrono::milliseconds>(group.first - now)});
  return out;
}

std::vector<machines::ProvisioningMachines> from_entries(
    const std::vector<ProvisioningEntry>& entries, net::Time now) {
  std::vector<machines::ProvisioningMachines> out;
  out.reserve(entries.size());
  for (const auto& entry : entries)
    out.push_back({entry.type, entry.zone, entry.spot, entry.count, now + entry.first_expected_in});
  return out;
}

/// A machine that may be reserved. Machines that are reserved already are sorted first, then those
/// with the fewest tasks.
struct ReservableMachine {
  bool newly_reserved = false;
  std::size_t tasks = 0;
  std::string name;
  double cpus = 0;
  auto operator<=>(const ReservableMachine&) const = default;
};

/// Capacity of the on-demand machines of one zone, in CPUs.
struct ZoneCapacity {
  double with_services = 0;  ///< of machines with services or other long tasks
  double free = 0;           ///< on those machines and on the machines reserved so far
  double largest_machine = 0;
  std::vector<ReservableMachine> reservable;

  /// Whether the spare fraction plus half of the largest machine is free.
  bool has_enough_spare() const {
    return free >= with_services * kServiceSpareFraction + largest_machine / 2;
  }
};
}  // namespace

LongTaskMapPublisher::LongTaskMapPublisher(net::Runtime& runtime, const wire::Settings& settings,
                                           cluster::Membership& membership,
                                           cluster::MessageBus& message_bus,
                                           machines::Registry& registry, JobOwner& job_owner,
                                           const diagnostics::PendingReasonTable& pending_reasons)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      message_bus_(message_bus),
      registry_(registry),
      job_owner_(job_owner),
      pending_reasons_(pending_reasons) {
  message_bus_.on<messages::LongTaskMapUpdate>(
      [this](const ControllerId&, const messages::LongTaskMapUpdate& message) {
        on_update(message);
      });
}

void LongTaskMapPublisher::on_update(const messages::LongTaskMapUpdate& message) {
  machines::LongTaskMap map;
  map.epoch = message.version.epoch;
  map.serial = message.version.serial;
  map.with_long_tasks = message.groups.with_long_tasks;
  map.short_partition = message.groups.short_partition;
  map.reserved_for_services = message.groups.reserved_for_services;
  if (!registry_.apply_long_task_map(std::move(map))) return;
  registry_.set_cordoned(message.cordoned);
  registry_.set_underserved_classes(message.underserved_classes);
  if (message.provisioning)
    registry_.set_provisioning(from_entries(*message.provisioning, runtime_.now()));
}

void LongTaskMapPublisher::publish() {
  auto map = build();
  const auto message = to_message(map);
  registry_.apply_long_task_map(std::move(map));
  message_bus_.broadcast(message);
}

machines::LongTaskMap LongTaskMapPublisher::build() {
  machines::LongTaskMap map;
  map.epoch = membership_.epoch().number;
  map.serial = ++serial_;
  const auto& last_partition = registry_.long_task_map().short_partition;
  std::vector<scheduling::PartCandidate> candidates;
  for (const auto& [name, machine_status] : registry_.machine_statuses()) {
    if (!machine_status.registered) continue;
    const bool has_long =
        job_owner_.has_long_tasks(name) || registry_.has_long_tasks(machine_status);
    if (has_long) map.with_long_tasks.insert(name);
    if (!machine_status.cordoned)
      candidates.push_back(
          {name, has_long, last_partition.contains(name), machine_status.heartbeat.spot});
  }
  const auto chosen =
      scheduling::choose_short_partition(std::move(candidates), settings_.tuning.short_share);
  map.short_partition = {chosen.begin(), chosen.end()};
  map.reserved_for_services = reserve_for_services(map);
  return map;
}

messages::LongTaskMapUpdate LongTaskMapPublisher::to_message(
    const machines::LongTaskMap& map) const {
  messages::LongTaskMapUpdate message;
  message.version = {map.epoch, map.serial};
  message.groups = {map.with_long_tasks, map.short_partition, map.reserved_for_services};
  message.cordoned = registry_.all_cordoned();
  message.underserved_classes = registry_.underserved_classes();
  if (pending_reasons_.on())
    message.provisioning = to_entries(registry_.provisioning(), runtime_.now());
  return message;
}

/// The autoscaler launches more on-demand machines than services need now, for future replicas. If
/// short tasks used that capacity, nearly every new replica would have to stop some of them, so the
/// intended spare capacity is kept free in each zone.
std::set<std::string> LongTaskMapPublisher::reserve_for_services(
    const machines::LongTaskMap& map) const {
  const auto& reserved_before = registry_.long_task_map().reserved_for_services;
  std::map<std::string, ZoneCapacity> zones;
  bool any_spot = false;
  for (const auto& [name, machine_status] : registry_.machine_statuses()) {
    const auto& heartbeat = machine_status.heartbeat;
    const auto* type = registry_.type(heartbeat.type);
    any_spot = any_spot || heartbeat.spot;
    if (!type || heartbeat.spot || !machine_status.accepts_tasks() ||
        map.short_partition.contains(name))
      continue;
    auto& zone = zones[heartbeat.zone];
    zone.largest_machine = std::max(zone.largest_machine, type->cpus);
    if (map.with_long_tasks.contains(name)) {
      zone.with_services += type->cpus;
      zone.free += registry_.free_resources(machine_status).cpus;
    } else {
      zone.reservable.push_back(
          {!reserved_before.contains(name), heartbeat.tasks.size(), name, type->cpus});
    }
  }
  std::set<std::string> out;
  if (!any_spot) return out;  // without spot machines, short tasks need these
  for (auto& [name, zone] : zones) {
    if (zone.with_services <= 0) continue;
    std::sort(zone.reservable.begin(), zone.reservable.end());
    for (const auto& machine : zone.reservable) {
      if (zone.has_enough_spare()) break;
      zone.free += machine.cpus;
      out.insert(machine.name);
    }
  }
  return out;
}
}  // namespace limemast::jobs

#include "cloud/machine_inventory.hpp"

#include <algorithm>
#include <utility>

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
/// Terminations are kept for this many times the lag of the cloud's listing, plus the margin.
constexpr int kTerminatedRetentionListLags = 10;
constexpr auto kTerminatedRetentionMargin = 60s;
/// A listing may lag by up to this many times its usual lag, plus the margin.
constexpr int kMaxListLagFactor = 2;
constexpr auto kListLagMargin = 1s;
}  // namespace

MachineInventory::MachineInventory(const wire::Settings& settings, machines::Registry& registry,
                                   const jobs::JobOwner& job_owner)
    : settings_(settings), registry_(registry), job_owner_(job_owner) {}

std::string MachineInventory::zone_of(const std::string& machine) const {
  const auto it = machines_.find(machine);
  return it == machines_.end() ? std::string() : it->second.zone;
}

bool MachineInventory::is_busy(const std::string& machine) const {
  if (job_owner_.has_tasks_on(machine)) return true;
  const auto* status = registry_.find(machine);
  return status && std::any_of(status->heartbeat.tasks.begin(), status->heartbeat.tasks.end(),
                               [](const auto& task) { return !task.exited(); });
}

bool MachineInventory::is_overdue(const std::string& name, const Machine& machine,
                                  net::Time now) const {
  const auto* type = registry_.type(machine.type);
  return type && !registry_.find(name) && !registry_.registered(name) &&
         net::to_seconds(now - machine.launched_at) >
             boot_times_.max_expected_boot_time(machine.type, machine.zone, type->boot, now);
}

std::vector<machines::ProvisioningMachines> MachineInventory::provisioning(net::Time now) const {
  std::map<MachineKind, machines::ProvisioningMachines> by_kind;
  for (const auto& [name, machine] : machines_) {
    const auto* type = registry_.type(machine.type);
    if (!type || registry_.find(name) || registry_.registered(name) ||
        is_marked_for_termination(name) || machine.phase == wire::MachinePhase::Failed ||
        is_overdue(name, machine, now))
      continue;
    auto& kind = by_kind[{machine.type, machine.zone, machine.spot}];
    const auto expected = std::max(machine.launched_at + net::to_duration(type->boot), now);
    kind.type = machine.type;
    kind.zone = machine.zone;
    kind.spot = machine.spot;
    kind.first = kind.count == 0 ? expected : std::min(kind.first, expected);
    ++kind.count;
  }
  std::vector<machines::ProvisioningMachines> out;
  out.reserve(by_kind.size());
  for (auto& [key, kind] : by_kind) out.push_back(std::move(kind));
  return out;
}

void MachineInventory::on_became_leader(net::Time now) {
  for (const auto& [name, registered] : registry_.registrations())
    if (!machines::Registry::is_record_placeholder(name)) machines_[name].launched_at = now;
}

void MachineInventory::apply_listing(const std::vector<wire::ListedMachine>& listing,
                                     net::Time now) {
  has_listing_ = true;
  std::set<std::string> names;
  for (const auto& listed : listing) {
    names.insert(listed.name);
    if (!is_terminated(listed.name)) apply_listed(listed, now);
  }
  // The cloud lists a machine until it is gone. A machine that is no longer listed is terminated
  // nevertheless: only the cloud's confirmation proves that it is gone. A listing may be older than
  // the one before and then lacks machines that were launched in between.
  const auto listed_since =
      now - kMaxListLagFactor * net::to_duration(settings_.machine_list_lag) - kListLagMargin;
  for (const auto& [name, machine] : machines_)
    if (machine.listed && machine.launched_at < listed_since && !names.contains(name))
      mark_for_termination(name);
  const auto oldest = now -
                      kTerminatedRetentionListLags * net::to_duration(settings_.machine_list_lag) -
                      kTerminatedRetentionMargin;
  std::erase_if(terminated_, [&](const auto& entry) { return entry.second < oldest; });
}

void MachineInventory::apply_listed(const wire::ListedMachine& listed, net::Time now) {
  const auto [it, is_new] = machines_.try_emplace(listed.name);
  auto& machine = it->second;
  if (is_new) machine.launched_at = now - net::to_duration(listed.rented_for);
  machine.type = listed.type;
  machine.zone = listed.zone;
  machine.spot = listed.spot;
  machine.listed = true;
  // Listings may arrive out of order, so a machine that has booted must not return to booting.
  if (machine.phase == wire::MachinePhase::Booting || listed.phase == wire::MachinePhase::Failed)
    machine.phase = listed.phase;
  if (machine.phase == wire::MachinePhase::Failed) mark_for_termination(listed.name);
}

void MachineInventory::apply_heartbeat(const machines::MachineStatus& status, net::Time now) {
  const auto& heartbeat = status.heartbeat;
  const auto [it, is_new] = machines_.try_emplace(heartbeat.machine);
  auto& machine = it->second;
  if (is_new) machine.launched_at = status.first_heartbeat;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  machine.phase = wire::MachinePhase::Running;
  if (std::exchange(machine.heartbeat_seen, true) || !machine.launched_by_this_leader) return;
  if (const auto* type = registry_.type(machine.type))
    boot_times_.record(machine.type, machine.zone,
                       net::to_seconds(status.first_heartbeat - machine.launched_at), type->boot,
                       now);
}

void MachineInventory::apply_registrations(net::Time now) {
  for (const auto& [name, registered] : registry_.registrations()) {
    if (is_terminated(name) || machines::Registry::is_record_placeholder(name)) continue;
    if (const auto [it, is_new] = machines_.try_emplace(name); is_new) it->second.launched_at = now;
  }
}

void MachineInventory::apply_launch(const LaunchRequest& launch,
                                    const std::vector<std::string>& machines, net::Time now) {
  for (const auto& name : machines) {
    auto& machine = machines_[name];
    machine.type = launch.type;
    machine.zone = launch.zone;
    machine.spot = launch.spot;
    machine.launched_at = now;
    machine.launched_by_this_leader = true;
  }
}

void MachineInventory::apply_termination(const std::string& machine, net::Time now) {
  marked_for_termination_.erase(machine);
  machines_.erase(machine);
  terminated_[machine] = now;
}

void MachineInventory::set_idle(const std::string& machine, bool idle, net::Time now) {
  auto& idle_since = machines_.at(machine).idle_since;
  if (!idle)
    idle_since = {};
  else if (idle_since == net::Time{})
    idle_since = now;
}

void MachineInventory::cordon(const std::string& machine, net::Time now) {
  registry_.cordon(machine);
  machines_.at(machine).cordoned_at = now;
}
}  // namespace limemast::cloud

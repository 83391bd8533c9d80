#include "cloud/machine_health_monitor.hpp"

#include <algorithm>
#include <map>

#include <spdlog/spdlog.h>

#include "cloud/heartbeat_limits.hpp"

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
/// A machine that takes longer than this times its boot time, and the margin, never comes.
constexpr double kBootLimitFactor = 4;
constexpr auto kBootLimitMargin = 30s;
constexpr auto kBootLimitOfUnknownType = 300s;
/// For machines of which this leader knows no heartbeat, beyond the usual limit.
constexpr auto kUnseenMargin = 5s;
}  // namespace

MachineHealthMonitor::MachineHealthMonitor(net::Runtime& runtime, const wire::Settings& settings,
                                           const cluster::Membership& membership,
                                           const cluster::JobDirectory& job_directory,
                                           machines::Registry& registry,
                                           MachineInventory& inventory)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      job_directory_(job_directory),
      registry_(registry),
      inventory_(inventory) {}

void MachineHealthMonitor::update(net::Time leading_since) {
  cut_off_zones_ = find_cut_off_zones();
  for (const auto& [name, status] : registry_.machine_statuses()) check_heartbeat(status);
  inventory_.apply_registrations(runtime_.now());
  for (const auto& [name, machine] : inventory_.machines())
    check_unseen(name, machine, leading_since);
  faulty_machines_.retain([&](const auto& machine) { return registry_.find(machine) != nullptr; },
                          [&](const auto& uid) {
                            const auto* job = job_directory_.find(uid);
                            return job && !job->ended;
                          });
}

std::set<std::string> MachineHealthMonitor::find_cut_off_zones() const {
  struct Zone {
    std::size_t silent = 0;
    std::size_t all = 0;
  };
  std::map<std::string, Zone> zones;
  for (const auto& [name, status] : registry_.machine_statuses()) {
    auto& zone = zones[status.heartbeat.zone];
    if (runtime_.now() - status.last_heartbeat > silent_after(settings_)) ++zone.silent;
    ++zone.all;
  }
  std::set<std::string> cut_off;
  for (const auto& [name, zone] : zones)
    if (zone.silent * 2 > zone.all) cut_off.insert(name);
  return cut_off;
}

net::Duration MachineHealthMonitor::silence_limit(const std::string& zone) const {
  // Where most of a zone is silent, it is cut off. Its machines are alive, without what they ran
  // once their leases have ended, and launching as many anew takes as long as most partitions last:
  // they get the time of a second lease to come back.
  const auto worker_lease = net::to_duration(settings_.worker_lease);
  return (cut_off_zones_.contains(zone) ? 2 * worker_lease : worker_lease) +
         net::to_duration(settings_.heartbeat_interval);
}

void MachineHealthMonitor::check_heartbeat(const machines::MachineStatus& status) {
  const auto& machine = status.heartbeat.machine;
  inventory_.apply_heartbeat(status, runtime_.now());
  // Silent for a whole lease: its tasks have ended or it is gone, which its termination proves.
  // Heartbeats that another controller receives count only while that controller can be reached.
  const auto heard_until = std::max(status.last_heartbeat, registry_.peers_connected_since());
  if (runtime_.now() - heard_until > silence_limit(status.heartbeat.zone))
    inventory_.mark_for_termination(machine);
  record_exits(status);
  cordon_if_faulty(machine);
}

void MachineHealthMonitor::record_exits(const machines::MachineStatus& status) {
  const auto& machine = status.heartbeat.machine;
  for (const auto& task : status.heartbeat.tasks) {
    if (!task.exited()) continue;
    if (task.exit_cause == wire::ExitCause::Error)
      faulty_machines_.record_failure(machine, task.uid, task.attempt);
    else if (task.exit_cause == wire::ExitCause::Done)
      faulty_machines_.record_completion(machine, task.uid);
  }
}

void MachineHealthMonitor::cordon_if_faulty(const std::string& machine) {
  if (!faulty_machines_.is_faulty(machine) || registry_.cordoned(machine)) return;
  spdlog::info("machine {} is faulty, tasks of several jobs failed there: cordoned, epoch {}",
               machine, membership_.epoch().number);
  inventory_.cordon(machine, runtime_.now());
}

void MachineHealthMonitor::check_unseen(const std::string& name, const Machine& machine,
                                        net::Time leading_since) {
  if (registry_.find(name)) return;
  const auto now = runtime_.now();
  if (registry_.registered(name)) {
    const auto silent_since =
        std::max({machine.since, leading_since, registry_.peers_connected_since()});
    if (now - silent_since > silence_limit(machine.zone) + kUnseenMargin)
      inventory_.mark_for_termination(name);
    return;
  }
  const auto* type = registry_.type(machine.type);
  const net::Duration boot_limit =
      type ? net::to_duration(type->boot * kBootLimitFactor) + kBootLimitMargin
           : net::Duration(kBootLimitOfUnknownType);
  if (now - machine.since > boot_limit) inventory_.mark_for_termination(name);
}
}  // namespace limemast::cloud

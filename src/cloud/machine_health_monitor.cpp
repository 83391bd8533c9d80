#include "cloud/machine_health_monitor.hpp"

#include <algorithm>
#include <map>

#include <spdlog/spdlog.h>

#include "cloud/heartbeat_limits.hpp"

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
/// A machine that takes longer than this factor of its nominal boot time plus the margin is assumed
/// never to come up.
constexpr double kBootLimitFactor = 4;
constexpr auto kBootLimitMargin = 30s;
constexpr auto kBootLimitOfUnknownType = 300s;
/// Added to the silence limit of machines from which this leader has never had a heartbeat.
constexpr auto kNoHeartbeatMargin = 5s;
constexpr auto kLogInterval = 5s;
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
  partitioned_zones_ = find_partitioned_zones();
  not_judged_ = 0;
  for (const auto& [name, status] : registry_.machine_statuses()) check_heartbeat(status);
  log_machines_not_judged();
  terminate_overdue_machines();
  inventory_.apply_registrations(runtime_.now());
  for (const auto& [name, machine] : inventory_.machines())
    check_without_heartbeat(name, machine, leading_since);
  faulty_machines_.retain([&](const auto& machine) { return registry_.find(machine) != nullptr; },
                          [&](const auto& uid) {
                            const auto* job = job_directory_.find(uid);
                            return job && !job->ended;
                          });
}

std::set<std::string> MachineHealthMonitor::find_partitioned_zones() const {
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
  std::set<std::string> partitioned;
  for (const auto& [name, zone] : zones)
    if (zone.silent * 2 > zone.all) partitioned.insert(name);
  return partitioned;
}

net::Duration MachineHealthMonitor::silence_limit(const std::string& zone) const {
  // If most machines of a zone are silent, the zone is assumed to be partitioned. Its machines
  // still run, but their tasks end when their leases expire. Launching replacements takes about as
  // long as a typical partition, so these machines get a second lease to reconnect.
  const auto worker_lease = net::to_duration(settings_.worker_lease);
  return (partitioned_zones_.contains(zone) ? 2 * worker_lease : worker_lease) +
         net::to_duration(settings_.heartbeat_interval);
}

void MachineHealthMonitor::check_heartbeat(const machines::MachineStatus& status) {
  const auto& machine = status.heartbeat.machine;
  inventory_.apply_heartbeat(status, runtime_.now());
  // The tasks of a machine that is silent for a whole lease have ended or the machine is gone; its
  // confirmed termination proves it. Silence counts only while every controller that could forward
  // heartbeats is connected.
  const auto silence = runtime_.now() - status.last_heartbeat;
  const auto limit = silence_limit(status.heartbeat.zone);
  const auto counted = std::min(silence, runtime_.now() - registry_.peers_connected_since());
  if (silence > limit && counted <= limit) ++not_judged_;
  if (counted > limit && inventory_.mark_for_termination(machine))
    spdlog::info(
        "machine {} has been silent for {:.1f} s (limit {:.1f} s): terminating it, epoch {}",
        machine, net::to_seconds(silence).count(), net::to_seconds(limit).count(),
        membership_.epoch().number);
  record_exits(status);
  cordon_if_faulty(machine);
}

void MachineHealthMonitor::terminate_overdue_machines() {
  for (const auto& machine : registry_.overdue_machines())
    if (!inventory_.is_terminated(machine) && inventory_.mark_for_termination(machine))
      spdlog::info(
          "machine {} may hold a task of a job that has ended long ago: terminating it, epoch {}",
          machine, membership_.epoch().number);
}

void MachineHealthMonitor::log_machines_not_judged() {
  const auto now = runtime_.now();
  if (not_judged_ == 0 || now - last_logged_ <= kLogInterval) return;
  last_logged_ = now;
  spdlog::info(
      "{} machines are silent beyond their limit but not judged: messages of all controllers "
      "arrive "
      "for {:.1f} s only, epoch {}",
      not_judged_, net::to_seconds(now - registry_.peers_connected_since()).count(),
      membership_.epoch().number);
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
  spdlog::info("machine {} is faulty: tasks of several jobs failed on it; cordoning it, epoch {}",
               machine, membership_.epoch().number);
  inventory_.cordon(machine, runtime_.now());
}

void MachineHealthMonitor::check_without_heartbeat(const std::string& name, const Machine& machine,
                                                   net::Time leading_since) {
  if (registry_.find(name)) return;
  const auto now = runtime_.now();
  if (registry_.registered(name)) {
    const auto silent_since =
        std::max({machine.launched_at, leading_since, registry_.peers_connected_since()});
    if (now - silent_since > silence_limit(machine.zone) + kNoHeartbeatMargin)
      inventory_.mark_for_termination(name);
    return;
  }
  const auto* type = registry_.type(machine.type);
  const net::Duration boot_limit =
      type ? net::to_duration(type->boot * kBootLimitFactor) + kBootLimitMargin
           : net::Duration(kBootLimitOfUnknownType);
  if (now - machine.launched_at > boot_limit) inventory_.mark_for_termination(name);
}
}  // namespace limemast::cloud

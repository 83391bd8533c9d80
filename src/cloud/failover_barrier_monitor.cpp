#include "cloud/failover_barrier_monitor.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

#include "cloud/heartbeat_limits.hpp"

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
constexpr auto kLogInterval = 5s;
}  // namespace

FailoverBarrierMonitor::FailoverBarrierMonitor(net::Runtime& runtime,
                                               const wire::Settings& settings,
                                               const cluster::Membership& membership,
                                               const machines::Registry& registry,
                                               const jobs::JobOwner& job_owner,
                                               MachineInventory& inventory)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      registry_(registry),
      job_owner_(job_owner),
      inventory_(inventory),
      failover_barrier_(net::to_duration(settings.heartbeat_interval),
                        net::to_duration(settings.worker_lease)) {}

void FailoverBarrierMonitor::update() {
  const auto now = runtime_.now();
  const auto epoch = job_owner_.failover_barrier_epoch();
  // Heartbeats are forwarded by the controllers that receive them, so a machine counts as silent
  // only after this controller has been connected to its peers for one heartbeat interval.
  if (epoch == ids::kNoEpoch ||
      now - registry_.peers_connected_since() < net::to_duration(settings_.heartbeat_interval)) {
    failover_barrier_.reset();
    return;
  }
  const auto unconfirmed = unconfirmed_machines(epoch);
  log_progress(unconfirmed, epoch);
  for (const auto& machine :
       failover_barrier_.machines_to_terminate(epoch, unconfirmed, registered_by_zone(), now))
    if (inventory_.mark_for_termination(machine))
      spdlog::info(
          "machine {} is silent or one-way unreachable and blocks the failover: terminating it, "
          "epoch {}",
          machine, membership_.epoch().number);
}

std::vector<failover::UnconfirmedMachine> FailoverBarrierMonitor::unconfirmed_machines(
    ids::EpochNumber epoch) const {
  std::vector<failover::UnconfirmedMachine> out;
  for (const auto& [name, registered] : registry_.registrations()) {
    if (job_owner_.machine_confirmed(name, epoch) || inventory_.is_terminated(name) ||
        machines::Registry::is_record_placeholder(name))
      continue;
    const auto* status = registry_.find(name);
    const bool silent =
        !status || runtime_.now() - status->last_heartbeat > silent_after_while_blocking(settings_);
    out.push_back({name, inventory_.zone_of(name), silent});
  }
  return out;
}

std::map<std::string, std::size_t> FailoverBarrierMonitor::registered_by_zone() const {
  std::map<std::string, std::size_t> out;
  for (const auto& [name, registered] : registry_.registrations()) ++out[inventory_.zone_of(name)];
  return out;
}

void FailoverBarrierMonitor::log_progress(
    const std::vector<failover::UnconfirmedMachine>& unconfirmed, ids::EpochNumber epoch) {
  if (runtime_.now() - last_logged_ <= kLogInterval) return;
  last_logged_ = runtime_.now();
  const auto silent = std::count_if(unconfirmed.begin(), unconfirmed.end(),
                                    [](const auto& machine) { return machine.silent; });
  spdlog::info("failover barrier: {} of {} machines not confirmed yet, {} of them silent, epoch {}",
               unconfirmed.size(), registry_.registrations().size(), silent, epoch);
}
}  // namespace limemast::cloud

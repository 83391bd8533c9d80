#include "failover/failover_barrier.hpp"

#include "wire/settings.hpp"

namespace limemast::failover {
namespace {
using namespace std::chrono_literals;
/// Machines have this long to confirm a new epoch: 1.25 heartbeat intervals plus a margin. Within
/// it a running machine sends a heartbeat, is refused, contacts another controller one second later
/// and is asked to confirm the epoch.
constexpr double kMinWaitHeartbeats = 1.25;
constexpr auto kMinWaitMargin = 2500ms;
/// No machine is terminated until this many heartbeat intervals have passed without a new
/// confirmation.
constexpr double kProgressTimeoutHeartbeats = 0.75;
/// If more than this share of a zone's machines is silent, the zone or its controller is considered
/// partitioned and its machines are assumed to be running.
constexpr double kPartitionedZoneShare = 0.5;
/// If more than this share of all machines is unconfirmed, this controller itself is considered
/// isolated.
constexpr double kMaxUnconfirmedShare = 0.4;

using MachinesByZone = std::map<std::string, std::size_t>;

std::size_t total(const MachinesByZone& machines) {
  std::size_t sum = 0;
  for (const auto& [zone, count] : machines) sum += count;
  return sum;
}

/// A machine deregistered under the previous leader has no known zone, so it never counts as
/// partitioned.
bool zone_is_partitioned(const std::string& zone, const MachinesByZone& silent,
                         const MachinesByZone& registered) {
  if (zone.empty()) return false;
  const auto count_in = [&zone](const MachinesByZone& machines) {
    const auto it = machines.find(zone);
    return static_cast<double>(it == machines.end() ? 0 : it->second);
  };
  return count_in(silent) > kPartitionedZoneShare * count_in(registered);
}
}  // namespace

void FailoverBarrier::record_progress(ids::EpochNumber epoch, std::size_t unconfirmed,
                                      net::Time now) {
  if (epoch != epoch_) {
    epoch_ = epoch;
    started_at_ = last_progress_ = now;
    unconfirmed_ = unconfirmed;
  }
  if (unconfirmed < unconfirmed_) last_progress_ = now;
  unconfirmed_ = unconfirmed;
}

bool FailoverBarrier::waiting_for_confirmations(net::Time now) const {
  const auto interval = net::to_seconds(heartbeat_interval_);
  return now - started_at_ < net::to_duration(interval * kMinWaitHeartbeats) + kMinWaitMargin ||
         now - last_progress_ < net::to_duration(interval * kProgressTimeoutHeartbeats);
}

std::vector<std::string> FailoverBarrier::machines_to_terminate(
    ids::EpochNumber epoch, const std::vector<UnconfirmedMachine>& unconfirmed,
    const std::map<std::string, std::size_t>& registered, net::Time now) {
  record_progress(epoch, unconfirmed.size(), now);
  if (waiting_for_confirmations(now)) return {};
  if (static_cast<double>(unconfirmed.size()) >
      kMaxUnconfirmedShare * static_cast<double>(total(registered)))
    return {};

  const bool lease_expired = now - started_at_ > net::to_duration(net::to_seconds(worker_lease_) *
                                                                  wire::kClockDriftFactor);
  const auto counts_as_silent = [&](const UnconfirmedMachine& machine) {
    return machine.silent || lease_expired;
  };
  MachinesByZone silent;
  for (const auto& machine : unconfirmed)
    if (counts_as_silent(machine)) ++silent[machine.zone];
  std::vector<std::string> out;
  for (const auto& machine : unconfirmed)
    if (counts_as_silent(machine) && !zone_is_partitioned(machine.zone, silent, registered))
      out.push_back(machine.machine);
  return out;
}
}  // namespace limemast::failover

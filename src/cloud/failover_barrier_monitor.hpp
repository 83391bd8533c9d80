#pragma once
// Terminates machines that would block the failover barrier for too long.
#include <map>
#include <string>
#include <vector>

#include "cloud/machine_inventory.hpp"
#include "failover/failover_barrier.hpp"

namespace limemast::cloud {
/// A failover waits until every machine is confirmed. If only a few machines are silent, the leader
/// terminates them: the confirmed termination proves that their tasks have ended without waiting
/// for their leases to expire.
class FailoverBarrierMonitor {
 public:
  FailoverBarrierMonitor(net::Runtime& runtime, const wire::Settings& settings,
                         const cluster::Membership& membership, const machines::Registry& registry,
                         const jobs::JobOwner& job_owner, MachineInventory& inventory);
  /// Runs the periodic check. Only the leader calls this.
  void update();

 private:
  std::vector<failover::UnconfirmedMachine> unconfirmed_machines(ids::EpochNumber epoch) const;
  std::map<std::string, std::size_t> registered_by_zone() const;
  void log_progress(const std::vector<failover::UnconfirmedMachine>& unconfirmed,
                    ids::EpochNumber epoch);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  const cluster::Membership& membership_;
  const machines::Registry& registry_;
  const jobs::JobOwner& job_owner_;
  MachineInventory& inventory_;
  failover::FailoverBarrier failover_barrier_;
  net::Time last_logged_{};
};
}  // namespace limemast::cloud

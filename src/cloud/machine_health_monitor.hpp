#pragma once
// Detects from heartbeats which machines have booted, are silent, failed to boot, or are faulty.
#include <set>
#include <string>

#include "cloud/machine_inventory.hpp"

namespace limemast::cloud {
/// Marks silent machines and machines that failed to boot for termination, and cordons faulty ones.
class MachineHealthMonitor {
 public:
  MachineHealthMonitor(net::Runtime& runtime, const wire::Settings& settings,
                       const cluster::Membership& membership,
                       const cluster::JobDirectory& job_directory, machines::Registry& registry,
                       MachineInventory& inventory);
  /// Runs the periodic check. Only the leader calls this. `leading_since`: when it became the
  /// leader.
  void update(net::Time leading_since);

 private:
  /// How long a machine of the zone may be silent before it is terminated.
  net::Duration silence_limit(const std::string& zone) const;
  std::set<std::string> find_partitioned_zones() const;
  void check_heartbeat(const machines::MachineStatus& status);
  void log_machines_not_judged();
  /// Marks the machines whose tasks would outlast the cancel timeout, even if their silence is not
  /// judged or their zone is partitioned.
  void terminate_overdue_machines();
  void record_exits(const machines::MachineStatus& status);
  void cordon_if_faulty(const std::string& machine);
  /// Checks a machine from which this leader has had no heartbeat: it is silent or failed to boot.
  void check_without_heartbeat(const std::string& name, const Machine& machine,
                               net::Time leading_since);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  const cluster::Membership& membership_;
  const cluster::JobDirectory& job_directory_;
  machines::Registry& registry_;
  MachineInventory& inventory_;
  FaultyMachineDetector faulty_machines_;
  std::set<std::string> partitioned_zones_;  ///< as of the current update
  std::size_t not_judged_ = 0;  ///< machines whose silence exceeds its limit but does not count yet
  net::Time last_logged_{};     ///< when their number was last logged
};
}  // namespace limemast::cloud

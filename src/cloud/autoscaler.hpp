#pragma once
// The autoscaler: the leader launches the machines that the jobs need and terminates the others.
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cloud/capacity_planner.hpp"
#include "cloud/capacity_reader.hpp"
#include "cloud/catalog_fetcher.hpp"
#include "cloud/cloud_client.hpp"
#include "cloud/failover_barrier_monitor.hpp"
#include "cloud/machine_deregistration.hpp"
#include "cloud/machine_health_monitor.hpp"
#include "cloud/machine_inventory.hpp"
#include "cloud/machine_listing.hpp"
#include "cloud/machine_terminator.hpp"
#include "cloud/provisioner.hpp"
#include "cloud/scale_in.hpp"
#include "cloud/scale_out.hpp"

namespace limemast::cloud {
/// Owns the components of this module and runs them in a fixed order twice a second. All of them
/// run on one thread and must outlive the asynchronous calls that they have started.
class Autoscaler {
 public:
  Autoscaler(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
             const store::WatchCache& watch_cache, cluster::Membership& membership,
             cluster::JobDirectory& job_directory, machines::Registry& registry,
             jobs::JobOwner& job_owner, const drains::Drains& drains,
             diagnostics::CapacityDiagnosis& capacity_diagnosis);
  /// Receives (name, address) of registered machines that the cloud lists as running but that have
  /// sent no heartbeat to any controller.
  using MachinesWithoutHeartbeatHandler =
      std::function<void(std::vector<std::pair<std::string, std::string>>)>;
  /// Starts the periodic step. The handler is called only in the first seconds of leadership, to
  /// shorten the recovery from a restart of all controllers.
  void start(MachinesWithoutHeartbeatHandler on_machines_without_heartbeat);
  /// Must be called after each change of the membership epoch.
  void on_epoch_changed();
  /// Runs the periodic step and schedules the next one.
  void tick();
  /// Loads the machine types from the catalog's record in the store. Returns false if the record
  /// cannot be parsed.
  bool load_types(const wire::json& record) { return catalog_.load(record); }

 private:
  void run_leader_step();
  void report_machines_without_heartbeat(const std::vector<wire::ListedMachine>& listed);
  /// Whether the inventory includes all machines that previous leaders launched.
  bool knows_all_launches() const;
  void adjust_capacity();
  void send_requests();

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  cluster::Membership& membership_;
  machines::Registry& registry_;
  CloudClient cloud_;
  CatalogFetcher catalog_;
  MachineInventory inventory_;
  MachineListing listing_;
  MachineHealthMonitor health_monitor_;
  FailoverBarrierMonitor barrier_monitor_;
  Provisioner provisioner_;
  CapacityReader capacity_reader_;
  CapacityPlanner planner_;
  ScaleOut scale_out_;
  ScaleIn scale_in_;
  MachineTerminator terminator_;
  MachineDeregistration deregistration_;
  MachinesWithoutHeartbeatHandler on_machines_without_heartbeat_;
  net::Time leading_since_{};
  bool has_been_leader_ = false;  ///< since this process started
};
}  // namespace limemast::cloud

#pragma once
// Builds the capacity planner's input from the jobs and machines that this controller knows.
#include <optional>

#include "cloud/capacity_planner.hpp"
#include "cloud/provisioner.hpp"

namespace limemast::cloud {
/// Read-only view of the current demand and supply.
class CapacityReader {
 public:
  CapacityReader(net::Runtime& runtime, const wire::Settings& settings,
                 const cluster::JobDirectory& job_directory, const machines::Registry& registry,
                 const jobs::JobOwner& job_owner, const MachineInventory& inventory,
                 const Provisioner& provisioner);
  /// The result points into the jobs' records and is valid only until the next event is handled.
  DemandInput demand() const;
  /// Machines that accept work or are expected to, including launches in flight.
  Capacity supply() const;

 private:
  JobDemand demand_of_job(const cluster::ActiveJob& job) const;
  bool is_time_critical(const wire::JobSpec& spec) const;
  bool counts_as_supply(const std::string& name, const Machine& machine) const;

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  const cluster::JobDirectory& job_directory_;
  const machines::Registry& registry_;
  const jobs::JobOwner& job_owner_;
  const MachineInventory& inventory_;
  const Provisioner& provisioner_;
};
}  // namespace limemast::cloud

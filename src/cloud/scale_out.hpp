#pragma once
// Scale-out: decides what capacity is launched.
#include <map>
#include <set>
#include <string>

#include "cloud/capacity_planner.hpp"
#include "cloud/provisioner.hpp"

namespace limemast::cloud {
/// Launches machines for missing total capacity, and for jobs that fit on no machine although the
/// total capacity suffices.
class ScaleOut {
 public:
  ScaleOut(net::Runtime& runtime, const wire::Settings& settings,
           const cluster::Membership& membership, const cluster::JobDirectory& job_directory,
           const machines::Registry& registry, const jobs::JobOwner& job_owner,
           const MachineInventory& inventory, Provisioner& provisioner);
  /// Launches machines for the capacity by which `demand` exceeds `supply`. Returns false if spot
  /// machines are missing and none are available at present.
  bool launch_shortfall(const Demand& demand, const Capacity& supply);
  /// Launches machines for jobs that the existing machines cannot run.
  void launch_for_unschedulable();

 private:
  void log_capacity(const Capacity& wanted, const Capacity& supply) const;
  void launch_for_long_jobs();
  /// Launches a machine for each short job that fits on no existing machine. The jobs' owners place
  /// the tasks, but only the leader can launch machines.
  void launch_for_short_jobs();
  bool waits_for_machines(const jobs::Job& job) const;
  /// The zones in which the job's zone constraints allow another task.
  std::set<std::string> allowed_zones(const jobs::Job& job) const;
  bool is_provisioning(const wire::JobSpec& spec, const std::set<std::string>& zones) const;
  bool has_machine_for(const wire::JobSpec& spec) const;

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  const cluster::Membership& membership_;
  const cluster::JobDirectory& job_directory_;
  const machines::Registry& registry_;
  const jobs::JobOwner& job_owner_;
  const MachineInventory& inventory_;
  Provisioner& provisioner_;
  std::map<std::string, net::Time> waiting_since_;  ///< long jobs with pending tasks, by uid
};
}  // namespace limemast::cloud

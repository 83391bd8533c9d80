#pragma once
// Inventory of all machines: the cloud's listing, reconciled with launches, registrations and
// heartbeats.
#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cloud/cloud_codec.hpp"
#include "cloud/machine_health.hpp"
#include "jobs/job_owner.hpp"

namespace limemast::cloud {
/// The properties that make machines interchangeable.
struct MachineKind {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

/// A machine that is known from the cloud, from heartbeats, or from its record in the store.
struct Machine {
  std::string type;
  std::string zone;
  bool spot = false;
  wire::MachinePhase phase = wire::MachinePhase::Booting;
  net::Time launched_at{};               ///< time first seen if the launch time is not known
  net::Time idle_since{};                ///< zero: not idle
  net::Time cordoned_at{};               ///< when this leader cordoned it; zero: it has not
  bool listed = false;                   ///< a listing of the cloud has contained it
  bool launched_by_this_leader = false;  ///< `launched_at` is then the exact launch time
  bool heartbeat_seen = false;           ///< a heartbeat of the machine is known
};

/// The leader's view of all machines and of those marked for termination. Does no I/O; the caller
/// passes in what it has read.
/// Invariant: a machine whose termination the cloud has confirmed is not added again by a stale
/// listing.
class MachineInventory {
 public:
  using Machines = std::map<std::string, Machine>;
  MachineInventory(const wire::Settings& settings, machines::Registry& registry,
                   const jobs::JobOwner& job_owner);

  const Machines& machines() const { return machines_; }
  /// Returns an empty string if the machine is not known.
  std::string zone_of(const std::string& machine) const;
  /// Whether a task is or may be on the machine.
  bool is_busy(const std::string& machine) const;
  /// Whether the machine has exceeded its expected boot time, so that it no longer counts as
  /// expected capacity.
  bool is_overdue(const std::string& name, const Machine& machine, net::Time now) const;
  /// Whether a complete listing has been read.
  bool has_listing() const { return has_listing_; }
  /// Machines that are expected to finish booting, grouped by type, zone and market.
  std::vector<machines::ProvisioningMachines> provisioning(net::Time now) const;

  /// Adds all registered machines as first seen now. Called when this controller becomes the
  /// leader.
  void on_became_leader(net::Time now);
  /// Applies a complete listing. Listings may arrive out of order.
  void apply_listing(const std::vector<wire::ListedMachine>& listing, net::Time now);
  void apply_heartbeat(const machines::MachineStatus& status, net::Time now);
  /// Adds machines that are known only from their record in the store.
  void apply_registrations(net::Time now);
  void apply_launch(const LaunchRequest& launch, const std::vector<std::string>& machines,
                    net::Time now);
  /// Removes a machine whose termination the cloud has confirmed.
  void apply_termination(const std::string& machine, net::Time now);

  /// Sets whether the machine is idle; `idle_since` keeps the time at which it became idle.
  void set_idle(const std::string& machine, bool idle, net::Time now);
  /// Cordons the machine, so that no new tasks are assigned to it. The machine must be known.
  void cordon(const std::string& machine, net::Time now);
  /// Returns false if the machine was already marked.
  bool mark_for_termination(const std::string& machine) {
    return marked_for_termination_.insert(machine).second;
  }
  bool is_marked_for_termination(const std::string& machine) const {
    return marked_for_termination_.contains(machine);
  }
  const std::set<std::string>& marked_for_termination() const { return marked_for_termination_; }
  /// Whether the cloud has confirmed the machine's termination within the retention period.
  bool is_terminated(const std::string& machine) const { return terminated_.contains(machine); }

 private:
  void apply_listed(const wire::ListedMachine& listed, net::Time now);

  const wire::Settings& settings_;
  machines::Registry& registry_;
  const jobs::JobOwner& job_owner_;
  Machines machines_;
  /// When the cloud confirmed each termination; kept while stale listings may arrive.
  std::map<std::string, net::Time> terminated_;
  std::set<std::string> marked_for_termination_;
  BootTimeTracker boot_times_;
  bool has_listing_ = false;
};
}  // namespace limemast::cloud

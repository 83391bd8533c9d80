#pragma once
// Removes terminated machines from the records of registered machines.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cloud/machine_inventory.hpp"

namespace limemast::cloud {
/// Removing a machine from its record tells every controller that the machine and its tasks are
/// gone. Invariant: a machine is removed only after the cloud has confirmed its termination. A
/// placeholder of an unreadable record is removed only after the leases of the machines that the
/// record may have named have expired.
class MachineDeregistration {
 public:
  MachineDeregistration(net::Runtime& runtime, const wire::Settings& settings,
                        store::Client& client, const store::WatchCache& watch_cache,
                        const cluster::Membership& membership, const machines::Registry& registry,
                        const jobs::JobOwner& job_owner, const MachineInventory& inventory);
  /// Queues a registered machine whose termination the cloud has confirmed.
  void add(const std::string& machine) { pending_.insert(machine); }
  /// Writes pending removals, one transaction at a time. `leading_since`: when this controller
  /// became the leader.
  void run(net::Time leading_since);

 private:
  /// The machines that one record names; the value says whether the machine is a spot machine.
  using Record = std::map<std::string, bool>;
  struct Batch {
    std::vector<std::string> machines;
    store::Priority priority = store::Priority::Background;
  };
  struct Transaction {
    std::vector<store::Compare> compares;
    std::vector<store::Operation> writes;
  };
  void update_pending(net::Time leading_since);
  /// Whether no machine named by the unreadable record can still run tasks from that time.
  bool is_placeholder_obsolete(const std::string& name, net::Time leading_since) const;
  /// Whether tasks or a failover wait for the removal of the machine.
  bool is_urgent(const std::string& machine) const;
  bool is_failover_blocked() const;
  Batch next_batch() const;
  /// The new contents of the records that name machines of the batch: all machines that remain.
  std::map<std::string, Record> remaining_records(const std::vector<std::string>& machines) const;
  Transaction transaction(const std::map<std::string, Record>& records) const;

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  store::Client& client_;
  const store::WatchCache& watch_cache_;
  const cluster::Membership& membership_;
  const machines::Registry& registry_;
  const jobs::JobOwner& job_owner_;
  const MachineInventory& inventory_;
  std::set<std::string> pending_;
  bool in_flight_ = false;
};
}  // namespace limemast::cloud

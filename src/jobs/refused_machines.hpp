#pragma once
// Machines that recently had no room for a task that was assigned to them.
#include <map>
#include <string>

#include "machines/registry.hpp"

namespace limemast::jobs {
/// The controller that a machine is attached to knows its free resources better than a job owner,
/// because it may hold resources back for tasks of other owners. After it refuses a start, no
/// further tasks are placed on the machine for a while.
class RefusedMachines {
 public:
  explicit RefusedMachines(const machines::Registry& registry) : registry_(registry) {}
  /// Records that a start on this machine was refused at `now`.
  void record(const std::string& machine, net::Time now);
  /// Whether the machine refused a start so recently that no task should be placed there.
  bool recently_refused(const std::string& machine, net::Time now) const;
  void forget_expired(net::Time now);
  void remove(const std::string& machine) { refusals_.erase(machine); }

 private:
  struct Refusal {
    net::Time at{};
    std::uint64_t sequence = 0;  ///< of the newest heartbeat known at that time
  };
  const machines::Registry& registry_;
  std::map<std::string, Refusal> refusals_;
};
}  // namespace limemast::jobs

#pragma once
// Machines that lately had no room for a task that was assigned to them.
#include <map>
#include <string>

#include "machines/registry.hpp"

namespace limemast::jobs {
/// The controller that a machine is attached to knows better than an owner whether it has room: it
/// may hold resources back for other owners' tasks. After it refused a start, placing further tasks
/// there is of no use for a while.
class RefusedMachines {
 public:
  explicit RefusedMachines(const machines::Registry& registry) : registry_(registry) {}
  /// A start on this machine was refused now.
  void record(const std::string& machine, net::Time now);
  /// No task should be placed there now.
  bool recently_refused(const std::string& machine, net::Time now) const;
  void forget_expired(net::Time now);
  void remove(const std::string& machine) { refusals_.erase(machine); }

 private:
  struct Refusal {
    net::Time at{};
    std::uint64_t sequence = 0;  ///< of the machine's newest heartbeat that was known here
  };
  const machines::Registry& registry_;
  std::map<std::string, Refusal> refusals_;
};
}  // namespace limemast::jobs

#pragma once
// Shared by the sources of the simulated cluster, not for use in tests.
#include <string>

#include "simulation/simulated_world.hpp"

namespace limemast::simulation {
/// A machine type that the simulated cloud offers.
struct SimulatedMachineType {
  const char* name;
  double cpus, ram;
};
inline constexpr SimulatedMachineType kMachineTypes[] = {{"small", 8, 16}, {"large", 16, 64}};
inline const SimulatedMachineType& machine_type(const std::string& name) {
  return name == kMachineTypes[0].name ? kMachineTypes[0] : kMachineTypes[1];
}
/// The age, in seconds, up to which the cloud's machine list may be stale according to the
/// settings.
inline constexpr double kListLagS = 3;
/// How long a worker waits for the answer to a heartbeat.
inline constexpr auto kHeartbeatTimeout = 4s;
/// A worker ends a task that has waited this long for the rest of its gang.
inline constexpr auto kGangTimeout = 20s;
/// How long the cloud still lists a failed machine as running.
inline constexpr auto kFailureListDelay = 30s;
/// Receivers of a controller's response, in SimulatedCluster::Outgoing::to.
inline const std::string kUser = "user";
inline const std::string kWorker = "worker";
inline const std::string kOperator = "operator";
}  // namespace limemast::simulation

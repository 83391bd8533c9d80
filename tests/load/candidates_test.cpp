// The lists of candidate machines agree with the registry that they are kept from.
#include "machines/candidates.hpp"

#include <map>
#include <memory>
#include <set>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulation/scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;

/// A job that may run on spot machines of any type and zone.
wire::JobSpec unrestricted_job(SimulatedCluster& cluster) {
  auto spec = cluster.random_job();
  spec.zone.reset();
  spec.types.reset();
  spec.spot = true;
  spec.cpus = spec.ram_gb = 2;
  return spec;
}

std::set<std::string> eligible_machines(const machines::Registry& registry,
                                        const wire::JobSpec& spec) {
  std::set<std::string> out;
  for (const auto& [name, machine_status] : registry.machine_statuses()) {
    const auto* type = registry.type(machine_status.heartbeat.type);
    if (machine_status.accepts_tasks() && !registry.suspected(machine_status.attached_controller) &&
        type && type->fits(spec))
      out.insert(name);
  }
  return out;
}

std::set<std::string> listed_machines(machines::Candidates& candidates,
                                      const machines::Registry& registry, const wire::JobSpec& spec,
                                      net::Time now) {
  std::set<std::string> out;
  for (const auto id : candidates.matching(spec, now).machines)
    if (candidates.accepts_tasks(id)) out.insert(registry.name_of(id));
  return out;
}

TEST(Candidates, AreTheEligibleMachinesOfTheRegistryThroughRandomFaults) {
  spdlog::set_level(spdlog::level::off);
  SimulatedWorld world(21);
  SimulatedCluster cluster(world, settings_for_tests(), {.machines_per_pool = 6});
  std::map<const app::ControllerInstance*, std::unique_ptr<machines::Candidates>> candidates_of;
  std::size_t compared = 0;
  for (int step = 0; step < 60; ++step) {
    if (step % 3 == 0) cluster.inject_random_fault();
    cluster.run(3s);
    const auto* controller = cluster.node(static_cast<std::size_t>(step % 3));
    if (!controller) continue;
    const auto& registry = controller->registry();
    auto& candidates = candidates_of[controller];
    if (!candidates) candidates = std::make_unique<machines::Candidates>(registry);
    const auto spec = unrestricted_job(cluster);
    const auto eligible = eligible_machines(registry, spec);
    EXPECT_EQ(listed_machines(*candidates, registry, spec, world.now()), eligible)
        << "step " << step;
    compared += eligible.size();
  }
  EXPECT_GT(compared, 100U);
}
}  // namespace
}  // namespace limemast

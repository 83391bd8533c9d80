#pragma once
#include "simulation/simulated_cluster.hpp"

namespace limemast::simulation {
/// A job without placement constraints: a service of production rank on on-demand machines only, or
/// an array of standard rank that may also use spot machines.
inline wire::JobSpec plain(SimulatedCluster& cluster, bool service, std::uint32_t tasks,
                           const std::string& team, double estimate_s = 0, double cpus = 2) {
  auto s = cluster.random_job();
  s.team = team;
  s.service = service;
  s.rank = service ? wire::Rank::Production : wire::Rank::Standard;
  s.spot = !service;
  s.spread = s.one_zone = false;
  s.zone.reset();
  s.types.reset();
  s.tasks = tasks;
  s.cpus = cpus;
  s.estimate = wire::Seconds(estimate_s);
  return s;
}
inline std::string submit(SimulatedCluster& cluster, const wire::JobSpec& spec) {
  cluster.submit(spec);
  return spec.uid;
}

/// Settings for a fleet of a thousand machines or more.
inline wire::Settings fleet_settings() {
  auto s = settings_for_tests();
  s.teams = {{"red", {4000, 60000, 0, 0}}, {"blue", {}}};
  s.heartbeat_interval = wire::Seconds(5);
  s.worker_lease = wire::Seconds(27);
  s.cancel_timeout = wire::Seconds(47);
  s.store_requests_per_s = 150;
  s.store_writes_per_s = 35;
  s.cloud_requests_per_s = 60;
  s.tuning.idle_return = wire::Seconds(600);
  return s;
}

/// The number of running tasks of these jobs.
inline std::uint32_t running(const SimulatedCluster& cluster,
                             const std::vector<std::string>& uids) {
  const auto all = cluster.running();
  std::uint32_t n = 0;
  for (const auto& uid : uids)
    if (auto it = all.find(uid); it != all.end()) n += it->second;
  return n;
}
/// The invariants violated so far, for the message of a failed test; "" if none.
inline std::string violations(const InvariantChecker& invariants) {
  std::string out;
  for (const auto& [rule, what] : invariants.violations())
    out.append(rule).append(": ").append(what).append("; ");
  return out;
}
}  // namespace limemast::simulation

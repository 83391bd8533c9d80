// Measures a large simulated deployment:
//   large_deployment_bench restart MACHINES DELAY_S SEED
// restarts all controllers after a delay and prints machines, delay, seed, the simulated seconds
// until all controllers are ready, all machines have reported and all jobs have resumed, and the
// number of invariant violations. ASK_UNHEARD=1 in the environment enables that setting.
//   large_deployment_bench size MACHINES
// prints the sizes of the data in the store and in the leader.
//   large_deployment_bench commands MACHINES SEED
// brings up about MACHINES machines by arrays of short tasks, runs them for two minutes and then
// crashes the leader. Prints, per second of these
// minutes, the commands to workers by metric, the heartbeats and the requests to workers; the
// processor time of the whole simulation per heartbeat; and the time from the loss of the leader to
// the first task that starts on a machine under the next one.
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <sstream>
#include <string>

#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include "simulation/scenarios.hpp"
#include "wire/cbor.hpp"

namespace {
using namespace limemast;
using namespace limemast::simulation;

constexpr std::size_t kMachinePools = 12;  ///< of each type, zone and spot or on-demand
constexpr std::size_t kControllers = 3;
// The load of `commands`.
constexpr std::uint32_t kArrayTasks = 60;
constexpr double kShortTaskS = 20;
constexpr std::size_t kMachinesPerArray = 60;
constexpr auto kArrayInterval = 5s, kWarmUp = 100s, kMeasuredTime = 120s;
constexpr auto kLeaderRestart = 60s;

/// Fills the deployment with services and long arrays. Returns whether 95 % of the machines are up.
bool fill(SimulatedCluster& cluster, std::size_t machines) {
  cluster.stop_arrivals();
  cluster.run(5s);
  for (std::size_t i = 0; i < machines / 61; ++i) {
    const bool service = i % 5 < 3;
    submit(cluster, plain(cluster, service, service ? 75 : 180, i % 2 ? "red" : "blue",
                          service ? 0 : 400, 8));
  }
  for (int i = 0; i < 60 && cluster.up_machines() * 100 < machines * 95; ++i) cluster.run(5s);
  cluster.run(20s);
  return cluster.up_machines() * 100 >= machines * 95;
}

int measure_restart(std::size_t machines, double delay, std::uint64_t seed) {
  SimulatedWorld world(seed);
  auto settings = fleet_settings();
  settings.start.query_machines_after_restart = std::getenv("ASK_UNHEARD") != nullptr;
  SimulatedCluster cluster(world, settings,
                           {.machines_per_pool = machines / kMachinePools + 1, .scripted = true});
  if (!fill(cluster, machines)) return std::puts("fewer than 95 % of the machines are up"), 1;
  const auto machines_before = cluster.up_machines();
  for (std::size_t i = 0; i < 3; ++i) cluster.crash(i, seconds(delay));
  cluster.run(seconds(delay) + 1ms);
  const auto restarted_at = world.now();
  double ready_s = -1, reported_s = -1, resumed_s = -1;
  while (resumed_s < 0 && world.now() - restarted_at < 120s) {
    cluster.run(20ms);
    const double elapsed_s = net::to_seconds(world.now() - restarted_at).count();
    bool all_ready = true, jobs_resumed = true;
    for (std::size_t i = 0; i < 3; ++i) {
      const auto* controller = cluster.node(i);
      all_ready = all_ready && controller && controller->ready();
      jobs_resumed = jobs_resumed && controller && controller->ready() &&
                     controller->job_owner().failover_barrier_epoch() == ids::kNoEpoch;
      if (controller)
        for (const auto& [uid, job] : controller->job_owner().jobs())
          jobs_resumed = jobs_resumed && job->completions.loaded;
    }
    if (all_ready && ready_s < 0) ready_s = elapsed_s;
    const auto* leader = cluster.node(cluster.leader());
    if (all_ready && reported_s < 0 &&
        leader->registry().machine_statuses().size() >= machines_before)
      reported_s = elapsed_s;
    if (reported_s >= 0 && jobs_resumed) resumed_s = elapsed_s;
  }
  std::printf("%zu %.2f %llu %.2f %.2f %.2f %zu\n", machines, delay,
              static_cast<unsigned long long>(seed), ready_s, reported_s, resumed_s,
              cluster.invariants().violations().size());
  return cluster.invariants().violations().empty() ? 0 : 1;
}

int measure_size(std::size_t machines) {
  SimulatedWorld world(1);
  const auto settings = fleet_settings();
  SimulatedCluster cluster(world, settings,
                           {.machines_per_pool = machines / kMachinePools + 1, .scripted = true});
  if (!fill(cluster, machines)) return std::puts("fewer than 95 % of the machines are up"), 1;
  std::size_t records = 0, largest_bytes = 0, listed_machines = 0;
  cluster.state().for_each_key([&](const std::string& key, const wire::json& value) {
    if (!key.starts_with("w/machine/")) return;
    ++records;
    listed_machines += value.size();
    largest_bytes = std::max(largest_bytes, value.dump().size());
  });
  const auto* epoch = cluster.state().value("w/generation");
  const auto* leader = cluster.node(cluster.leader());
  const auto& map = leader->registry().long_task_map();
  const wire::json long_task_map{{"with_long", map.with_long_tasks},
                                 {"short_part", map.short_partition},
                                 {"kept_free", map.reserved_for_services},
                                 {"closed", leader->registry().cordoned_machines()}};
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  std::printf(
      "%zu machines up; %zu machine records list %zu of them, the largest has %zu of at most %.0f "
      "bytes; epoch record %zu bytes; long-task map %zu bytes; leader: %zu machine statuses, "
      "%zu registrations, %zu jobs; whole simulation %ld MB\n",
      cluster.up_machines(), records, listed_machines, largest_bytes, settings.max_value_kib * 1024,
      epoch ? epoch->dump().size() : 0, wire::to_cbor(long_task_map).size(),
      leader->registry().machine_statuses().size(), leader->registry().registrations().size(),
      leader->job_owner().jobs().size(), usage.ru_maxrss / 1024);
  return 0;
}

/// The sum over all controllers of the metrics whose name and labels start with `prefix` and
/// contain `label`.
double sum_metrics(SimulatedCluster& cluster, const std::string& prefix, const std::string& label) {
  auto sum = std::make_shared<double>(0);
  const auto add_matching = [sum, prefix, label](const net::HttpResponse& response) {
    std::istringstream lines(response.body);
    for (std::string line; std::getline(lines, line);)
      if (line.starts_with(prefix) && line.find(label) != std::string::npos)
        *sum += std::stod(line.substr(line.rfind(' ')));
  };
  for (std::size_t i = 0; i < kControllers; ++i)
    cluster.ask(i, {"GET", "/operator/v1/metrics", {}}, add_matching);
  cluster.run(100ms);
  return *sum;
}

/// Submits arrays of short tasks, enough for all machines, every kArrayInterval.
void run_short_arrays(SimulatedCluster& cluster, std::size_t machines, Duration time) {
  for (auto elapsed = Duration::zero(); elapsed < time; elapsed += kArrayInterval) {
    for (std::size_t i = 0; i < machines / kMachinesPerArray; ++i)
      submit(cluster, plain(cluster, false, kArrayTasks, i % 2 ? "red" : "blue", kShortTaskS));
    cluster.run(kArrayInterval);
  }
}

/// Simulated seconds from the crash of the leader until more tasks have started than before.
double failover_time_s(SimulatedCluster& cluster, SimulatedWorld& world) {
  const auto crashed = cluster.leader();
  cluster.crash(crashed, kLeaderRestart);
  const auto crashed_at = world.now();
  const auto has_new_leader = [&] {
    const auto* node = cluster.node(cluster.leader());
    return cluster.leader() != crashed && node && node->membership().is_leader();
  };
  while (!has_new_leader() && world.now() - crashed_at < kLeaderRestart) cluster.run(10ms);
  const auto starts = cluster.invariants().starts();
  while (cluster.invariants().starts() == starts && world.now() - crashed_at < kLeaderRestart)
    cluster.run(10ms);
  return net::to_seconds(world.now() - crashed_at).count();
}

int measure_commands(std::size_t machines, std::uint64_t seed) {
  SimulatedWorld world(seed);
  auto settings = fleet_settings();
  settings.operators.enabled = true;
  std::size_t heartbeats = 0;
  SimulatedCluster::Options options{.controllers = kControllers,
                                    .machines_per_pool = machines / kMachinePools + 1,
                                    .early_heartbeat_replaces_next = true,
                                    .scripted = true};
  options.observer = [&](const SimulatedCluster::Outgoing& item) {
    if (item.response && item.to == "worker") ++heartbeats;
  };
  SimulatedCluster cluster(world, settings, options);
  cluster.stop_arrivals();
  cluster.run(5s);
  run_short_arrays(cluster, machines, kWarmUp);
  const std::vector<std::pair<std::string, std::string>> metrics = {
      {"limemast_commands_total", "start"},
      {"limemast_commands_total", "forget"},
      {"limemast_commands_total", "rejected"},
      {"limemast_fencing_token_raises_total", "\"forget\""},
      {"limemast_fencing_token_raises_total", ""},
      {"limemast_calls_total", "answer=\"2xx\",service=\"worker\""},
      {"limemast_calls_total", "answer=\"4xx\",service=\"worker\""},
      {"limemast_calls_total", "answer=\"none\",service=\"worker\""}};
  std::vector<double> before;
  for (const auto& [name, label] : metrics) before.push_back(sum_metrics(cluster, name, label));
  const auto heartbeats_before = heartbeats;
  const auto starts_before = cluster.invariants().starts();
  const auto cpu_before = std::clock();
  const auto begun = world.now();
  run_short_arrays(cluster, machines, kMeasuredTime);
  const double time_s = net::to_seconds(world.now() - begun).count();
  const double cpu_s = static_cast<double>(std::clock() - cpu_before) / CLOCKS_PER_SEC;
  const auto measured_heartbeats = static_cast<double>(heartbeats - heartbeats_before);
  std::printf("%zu machines, seed %llu, per second: %.2f tasks started, %.2f heartbeats",
              cluster.up_machines(), static_cast<unsigned long long>(seed),
              static_cast<double>(cluster.invariants().starts() - starts_before) / time_s,
              measured_heartbeats / time_s);
  for (std::size_t i = 0; i < metrics.size(); ++i)
    std::printf(", %s %s %.3f", metrics[i].first.c_str(), metrics[i].second.c_str(),
                (sum_metrics(cluster, metrics[i].first, metrics[i].second) - before[i]) / time_s);
  std::printf(
      "; %.1f us of processor time per heartbeat; first task %.2f s after the loss of the "
      "leader; violations %zu\n",
      cpu_s / measured_heartbeats * 1e6, failover_time_s(cluster, world),
      cluster.invariants().violations().size());
  return cluster.invariants().violations().empty() ? 0 : 1;
}
}  // namespace

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  const std::string mode = argc > 1 ? argv[1] : "";
  if (mode == "restart" && argc == 5)
    return measure_restart(std::stoul(argv[2]), std::stod(argv[3]), std::stoul(argv[4]));
  if (mode == "size" && argc == 3) return measure_size(std::stoul(argv[2]));
  if (mode == "commands" && argc == 4)
    return measure_commands(std::stoul(argv[2]), std::stoul(argv[3]));
  std::fputs(
      "large_deployment_bench: restart MACHINES DELAY_S SEED | size MACHINES | commands MACHINES "
      "SEED\n",
      stderr);
  return 2;
}

#pragma once
#include <string>
#include <vector>

#include "simulation/simulated_cluster.hpp"

/// A simulated day is a reproducible random mixture of user requests, operator requests and faults.
/// The traffic of the controllers is compared between two builds (bench/fingerprint) and with
/// recorded schemas (the tests in this directory).
namespace limemast::compat {
struct FaultDayOptions {
  net::Duration length = std::chrono::seconds(120);
  bool faults = true;
};

class FaultDay {
 public:
  /// `world` must have been created from the same seed and must outlive the day.
  FaultDay(simulation::SimulatedWorld& world, std::uint64_t seed,
           simulation::SimulatedCluster::Observer observer, FaultDayOptions options = {});
  /// Simulates the whole day.
  void run();
  /// Sends each kind of request once after the day, a few seconds apart.
  void send_all_requests();
  simulation::SimulatedCluster& cluster() { return cluster_; }
  const wire::Settings& settings() const { return settings_; }
  /// Specs of the jobs that the day submitted, without those of the cluster's random arrivals.
  const std::vector<wire::JobSpec>& submitted() const { return submitted_; }

 private:
  void run_random_action();
  void overload_controllers();
  void restart_all_controllers();
  void submit_jobs();
  wire::JobSpec draw_job();
  void cancel_any_job();
  void query_any_job();
  void send_malformed_request(std::size_t kind);
  void query_operator_api(std::size_t kind);
  void change_drain();
  void inject_fault();
  void inject_store_fault();
  void inject_controller_fault();
  void inject_machine_fault();
  /// Sends a request to a random controller and ignores the response.
  void send_request(const std::string& method, const std::string& path,
                    const std::string& body = {});
  std::string any_job();
  std::string any_machine();
  std::size_t any_controller();
  net::Duration random_duration(double min_s, double max_s);
  bool chance(double probability) { return world_.chance(probability); }

  std::uint64_t seed_;
  simulation::SimulatedWorld& world_;
  wire::Settings settings_;
  FaultDayOptions options_;
  simulation::SimulatedCluster cluster_;
  std::vector<wire::JobSpec> submitted_;
  std::vector<std::string> drained_;
};

/// Returns the settings of a day. The seed selects the quota of a team, the operator API's page
/// size and request rate, and whether the options that are off by default are on.
wire::Settings fault_day_settings(std::uint64_t seed);
}  // namespace limemast::compat

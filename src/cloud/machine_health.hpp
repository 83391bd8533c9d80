#pragma once
// Statistics about machines: expected boot times and the detection of faulty machines. Does no I/O.
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "net/runtime.hpp"

namespace limemast::cloud {
/// Tracks recent boot times by type and zone. They determine how long a launched machine counts as
/// expected capacity.
class BootTimeTracker {
 public:
  /// Records the time from the launch of a machine to its first heartbeat. `nominal`: the boot time
  /// in the catalog.
  void record(const std::string& type, const std::string& zone, wire::Seconds boot_time,
              wire::Seconds nominal, net::Time now);
  /// The time after the launch at which a machine without a heartbeat stops counting as expected
  /// capacity. The machine may still come up later.
  wire::Seconds max_expected_boot_time(const std::string& type, const std::string& zone,
                                       wire::Seconds nominal, net::Time now) const;

 private:
  struct Boot {
    net::Time at{};
    double nominal_factor = 0;
  };
  std::map<std::pair<std::string, std::string>, std::deque<Boot>> recent_boots_;
};

/// Detects machines on which tasks of several jobs fail. A job with a defect of its own fails on
/// every machine. Its failures therefore count against a machine only while the job has failed on
/// few machines or has completed a task on some machine.
class FaultyMachineDetector {
 public:
  /// Records that a task attempt of the job ended with an error on the machine. Repeated reports of
  /// one attempt count once.
  void record_failure(const std::string& machine, const std::string& uid, std::uint64_t attempt);
  /// Records that a task of the job completed on the machine; clears the machine's failures.
  void record_completion(const std::string& machine, const std::string& uid);
  bool is_faulty(const std::string& machine) const;
  /// Removes the machines and jobs for which the predicates return false.
  void retain(const std::function<bool(const std::string& machine)>& machine_exists,
              const std::function<bool(const std::string& uid)>& job_is_active);

 private:
  struct Job {
    std::set<std::string> failed_machines;
    bool has_completed_task = false;
  };
  using FailedAttempts = std::set<std::uint64_t>;
  std::map<std::string, std::map<std::string, FailedAttempts>> failures_;  ///< by machine and job
  /// Invariant: contains every job in `failures_`.
  std::map<std::string, Job> jobs_;
};
}  // namespace limemast::cloud

#include "cloud/machine_health.hpp"

#include <algorithm>

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
constexpr auto kBootHistoryWindow = 120s;
constexpr std::size_t kMaxBootsPerKind = 50;  ///< recorded boots of one type in one zone
/// Factors of the nominal boot time that bound the expected boot time. The default applies without
/// recent boots.
constexpr double kDefaultBootFactor = 2;
constexpr double kMinBootFactor = 1.7;  ///< above the 1.5 times that ordinary boots take
constexpr double kMaxBootFactor = 3.5;
constexpr double kRecentBootMarginFactor = 1.2;
constexpr wire::Seconds kFirstHeartbeatDelay{3};  ///< from the end of the boot
/// A machine is faulty if at least this many attempts of at least this many jobs failed on it.
constexpr std::size_t kMinFailedAttempts = 3;
constexpr std::size_t kMinFailedJobs = 2;
/// Failures of a job that failed on more machines and completed no task are blamed on the job.
constexpr std::size_t kMaxFailedMachinesPerJob = 2;
}  // namespace

void BootTimeTracker::record(const std::string& type, const std::string& zone,
                             wire::Seconds boot_time, wire::Seconds nominal, net::Time now) {
  if (nominal.count() <= 0) return;
  auto& boots = recent_boots_[{type, zone}];
  boots.push_back({now, boot_time / nominal});
  while (boots.size() > kMaxBootsPerKind || now - boots.front().at > kBootHistoryWindow)
    boots.pop_front();
}

wire::Seconds BootTimeTracker::max_expected_boot_time(const std::string& type,
                                                      const std::string& zone,
                                                      wire::Seconds nominal, net::Time now) const {
  double longest_factor = 0;
  if (const auto it = recent_boots_.find({type, zone}); it != recent_boots_.end())
    for (const auto& boot : it->second)
      if (now - boot.at <= kBootHistoryWindow)
        longest_factor = std::max(longest_factor, boot.nominal_factor);
  const double limit_factor =
      longest_factor > 0
          ? std::clamp(longest_factor * kRecentBootMarginFactor, kMinBootFactor, kMaxBootFactor)
          : kDefaultBootFactor;
  return nominal * limit_factor + kFirstHeartbeatDelay;
}

void FaultyMachineDetector::record_failure(const std::string& machine, const std::string& uid,
                                           std::uint64_t attempt) {
  failures_[machine][uid].insert(attempt);
  jobs_[uid].failed_machines.insert(machine);
}

void FaultyMachineDetector::record_completion(const std::string& machine, const std::string& uid) {
  failures_.erase(machine);
  jobs_[uid].has_completed_task = true;
}

bool FaultyMachineDetector::is_faulty(const std::string& machine) const {
  const auto it = failures_.find(machine);
  if (it == failures_.end()) return false;
  std::size_t failed_jobs = 0;
  std::size_t failed_attempts = 0;
  for (const auto& [uid, attempts] : it->second) {
    const auto& job = jobs_.at(uid);
    if (!job.has_completed_task && job.failed_machines.size() > kMaxFailedMachinesPerJob) continue;
    ++failed_jobs;
    failed_attempts += attempts.size();
  }
  return failed_jobs >= kMinFailedJobs && failed_attempts >= kMinFailedAttempts;
}

void FaultyMachineDetector::retain(const std::function<bool(const std::string&)>& machine_exists,
                                   const std::function<bool(const std::string&)>& job_is_active) {
  std::erase_if(jobs_, [&](const auto& job) { return !job_is_active(job.first); });
  for (auto& [machine, jobs] : failures_)
    std::erase_if(jobs, [&](const auto& job) { return !jobs_.contains(job.first); });
  std::erase_if(failures_, [&](const auto& machine) {
    return machine.second.empty() || !machine_exists(machine.first);
  });
}
}  // namespace limemast::cloud

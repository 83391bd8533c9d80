#include "jobs/retry_backoff.hpp"

#include <algorithm>
#include <utility>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
constexpr auto kAvoidMachineFor = 30s;
/// The backoff is this, doubled for each machine with a failure, kMaxBackoffExponent times at most.
constexpr auto kBackoffUnit = 250ms;
constexpr unsigned kMaxBackoffExponent = 7;
constexpr unsigned kFailsEverywhereMachines = 3;
/// A trial counts as a success once it has run for kTrialRunFactor times the longest failed run,
/// plus kTrialMargin.
constexpr int kTrialRunFactor = 2;
constexpr auto kTrialMargin = 3s;
}  // namespace

bool record_failure(Job& job, const std::string& machine, net::Duration run_time, net::Time now) {
  auto& retry = job.retry;
  retry.last_failure_by_machine[machine] = now;
  retry.longest_failed_run = std::max(retry.longest_failed_run, run_time);
  const auto machines = static_cast<unsigned>(retry.last_failure_by_machine.size());
  if (machines > 1)
    retry.retry_after = now + kBackoffUnit * (1U << std::min(machines, kMaxBackoffExponent));
  const bool failing = machines >= kFailsEverywhereMachines && job.completed_tasks == 0;
  return failing && !std::exchange(retry.fails_everywhere, true);
}

void forget_expired_failures(Job& job, net::Time now) {
  std::erase_if(job.retry.last_failure_by_machine,
                [&](const auto& failure) { return now - failure.second > kAvoidMachineFor; });
}

bool failed_recently_on(const Job& job, const std::string& machine, net::Time now) {
  const auto it = job.retry.last_failure_by_machine.find(machine);
  return it != job.retry.last_failure_by_machine.end() && now - it->second < kAvoidMachineFor;
}

bool may_start_another(const Job& job, net::Time now) {
  if (!job.retry.fails_everywhere || job.completed_tasks > 0 || job.record.spec.gang) return true;
  return std::all_of(job.assignments.begin(), job.assignments.end(), [&](const auto& entry) {
    const auto& assignment = entry.second;
    return assignment.running && now - assignment.running_since >
                                     kTrialRunFactor * job.retry.longest_failed_run + kTrialMargin;
  });
}
}  // namespace limemast::jobs

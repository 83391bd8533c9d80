#pragma once
// Decides when and where tasks of a job that failed may be assigned again. Pure logic on
// RetryState.
#include "jobs/job.hpp"

namespace limemast::jobs {
/// Records that a task of the job failed on this machine after `run_time`. A job that failed on
/// several machines is backed off, because its remaining estimate stays small and it would win
/// every pull. A job that failed on only one machine is not, so that one faulty machine cannot
/// block it. Returns true when the job begins to count as failing everywhere.
bool record_failure(Job& job, const std::string& machine, net::Duration run_time, net::Time now);
/// Removes failures that are too old to keep the job off their machine.
void forget_expired_failures(Job& job, net::Time now);
/// Whether the job failed on this machine so recently that it is not assigned there.
bool failed_recently_on(const Job& job, const std::string& machine, net::Time now);
/// Whether another task of the job may be started. A job that failed on several machines and
/// completed no task tries one task at a time, until one has run for clearly longer than those that
/// failed. Otherwise each backoff would end in hundreds of starts, and machines would be launched
/// for them.
bool may_start_another(const Job& job, net::Time now);
}  // namespace limemast::jobs

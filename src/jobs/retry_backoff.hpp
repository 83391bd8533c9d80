#pragma once
// When the tasks of a job that failed may be assigned again, and where. Pure logic on RetryState.
#include "jobs/job.hpp"

namespace limemast::jobs {
/// A task of the job failed on this machine after it ran for `ran`. The job is backed off if it
/// failed on several machines: it keeps its small remaining estimate and would win every pull. One
/// faulty machine must not stop the jobs of which it failed many tasks.
/// Returns true when the job begins to count as failing everywhere.
bool record_failure(Job& job, const std::string& machine, net::Duration ran, net::Time now);
/// Forgets failures that are too old to keep the job off their machine.
void forget_expired_failures(Job& job, net::Time now);
/// The job failed on this machine so lately that it is not assigned there.
bool failed_recently_on(const Job& job, const std::string& machine, net::Time now);
/// A job that has failed on several machines and completed nothing tries one task at a time, until
/// one has run for well longer than those that failed. Otherwise each pause would end in hundreds
/// of starts, and machines would be launched for them.
bool may_start_another(const Job& job, net::Time now);
}  // namespace limemast::jobs

#pragma once
// Stops long tasks of lower standing to make room for a task that waits.
#include <map>
#include <string>
#include <vector>

#include "jobs/job_owner.hpp"
#include "jobs/machine_slot.hpp"
#include "jobs/team_guarantees.hpp"

namespace limemast::jobs {
/// Chooses the machine and the victims. Runs on the leader, within one run of the scheduler.
class Preemption {
 public:
  /// All arguments must outlive this.
  Preemption(const wire::Settings& settings, const cluster::JobDirectory& job_directory,
             const machines::Registry& registry, JobOwner& job_owner, TeamGuarantees& guarantees)
      : settings_(settings),
        job_directory_(job_directory),
        registry_(registry),
        job_owner_(job_owner),
        guarantees_(guarantees) {}

  /// Assigns tasks of the job to machines where others are stopped for them, as many as may be. A
  /// job for which no victims are found is not tried again for a while.
  void place_all(const Job& job, MachineSlots& slots, net::Time now);
  /// The job found no victims a moment ago.
  bool is_backing_off(const std::string& uid) const { return retry_after_.contains(uid); }
  /// To be called in each run: lets jobs try again whose backoff is over.
  void remove_expired_backoffs(net::Time now);

 private:
  bool place_one(const Job& job, MachineSlots& slots);
  /// The fewest tasks, those of the lowest rank first, whose end makes room for one of `spec`.
  /// Empty if there are no such tasks, or if none need end.
  std::vector<wire::TaskStatus> choose_victims(const MachineSlot& slot, const wire::JobSpec& spec);
  bool may_preempt(const wire::JobSpec& victim, const wire::JobSpec& job);

  const wire::Settings& settings_;
  const cluster::JobDirectory& job_directory_;
  const machines::Registry& registry_;
  JobOwner& job_owner_;
  TeamGuarantees& guarantees_;
  std::map<std::string, net::Time> retry_after_;  ///< by job
};
}  // namespace limemast::jobs

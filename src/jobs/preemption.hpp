#pragma once
// Preempts long tasks to make room for a pending task that takes precedence.
#include <map>
#include <string>
#include <vector>

#include "jobs/job_owner.hpp"
#include "jobs/machine_slot.hpp"
#include "jobs/team_guarantees.hpp"

namespace limemast::jobs {
/// Chooses the machine on which to preempt, and the tasks to stop there. The leader uses it within
/// one run of the scheduler.
class Preemption {
 public:
  /// All arguments must outlive this object.
  Preemption(const wire::Settings& settings, const cluster::JobDirectory& job_directory,
             const machines::Registry& registry, JobOwner& job_owner, TeamGuarantees& guarantees)
      : settings_(settings),
        job_directory_(job_directory),
        registry_(registry),
        job_owner_(job_owner),
        guarantees_(guarantees) {}

  /// Assigns as many pending tasks of the job as possible to machines where other tasks are
  /// preempted for them. If no victims are found, the job is not tried again for a while.
  void place_all(const Job& job, MachineSlots& slots, net::Time now);
  /// Whether no victims were found for the job a short time ago.
  bool is_backing_off(const std::string& uid) const { return retry_after_.contains(uid); }
  /// Lets jobs whose backoff has expired try again. To be called in each run.
  void remove_expired_backoffs(net::Time now);

 private:
  bool place_one(const Job& job, MachineSlots& slots);
  /// The tasks, lowest rank first, that must be stopped to make room for a task of `spec`. Empty if
  /// stopping all preemptible tasks would not make enough room, or if none need be stopped.
  std::vector<wire::TaskStatus> choose_victims(const MachineSlot& slot, const wire::JobSpec& spec);
  bool may_preempt(const wire::JobSpec& victim, const wire::JobSpec& job);

  const wire::Settings& settings_;
  const cluster::JobDirectory& job_directory_;
  const machines::Registry& registry_;
  JobOwner& job_owner_;
  TeamGuarantees& guarantees_;
  std::map<std::string, net::Time> retry_after_;  ///< by uid of the job
};
}  // namespace limemast::jobs

#pragma once
// The jobs that this controller owns, and the machines that their tasks are assigned to.
#include <memory>

#include "jobs/job.hpp"
#include "jobs/quota.hpp"

namespace limemast::jobs {
/// A task of an owned job.
struct TaskRef {
  std::string uid;
  std::uint32_t index = 0;
  bool operator==(const TaskRef&) const = default;
};

/// Holds the owned jobs and updates everything that follows from their assignments: the tasks of
/// each machine, the tasks of each zone, and the use of the teams' quotas. Makes no decisions.
class OwnedJobs {
 public:
  using JobMap = std::unordered_map<std::string, std::unique_ptr<Job>>;
  OwnedJobs(const machines::Registry& registry, Quota& quota)
      : registry_(registry), quota_(quota) {}

  const JobMap& all() const { return jobs_; }
  bool contains(const std::string& uid) const { return jobs_.contains(uid); }
  /// nullptr if the job is not owned here.
  Job* find(const std::string& uid) {
    const auto it = jobs_.find(uid);
    return it == jobs_.end() ? nullptr : it->second.get();
  }
  /// nullptr if the job is not owned here.
  const Job* find(const std::string& uid) const {
    const auto it = jobs_.find(uid);
    return it == jobs_.end() ? nullptr : it->second.get();
  }
  /// The job must not be owned yet.
  Job& add(std::unique_ptr<Job> job);
  /// The job must have no assignments.
  void erase(const std::string& uid) { jobs_.erase(uid); }

  /// The task must not be assigned.
  void assign(Job& job, std::uint32_t index, TaskAssignment assignment);
  /// Ends the assignment and returns it; nullopt if there is none.
  std::optional<TaskAssignment> unassign(Job& job, std::uint32_t index);
  /// Whether this attempt of the task is assigned to the machine.
  bool is_assigned(const std::string& machine, const wire::TaskStatus& task) const;

  /// Tasks that are assigned to the machine, in no particular order. Returns a copy, because
  /// callers end assignments while they iterate.
  std::vector<TaskRef> tasks_on(const std::string& machine) const;
  bool has_tasks_on(const std::string& machine) const;
  bool has_long_tasks(const std::string& machine) const;
  /// Resources of the tasks that are assigned to the machine and not shown by its heartbeat yet.
  wire::Resources starting_resources(const std::string& machine) const;

  /// To be called for each newer heartbeat of the machine, which may show more free resources and
  /// further tasks.
  void on_heartbeat(const std::string& machine);
  /// Counts events that may allow the leader to place further tasks.
  std::uint64_t capacity_changes() const { return capacity_changes_; }
  /// Counts the long jobs added.
  std::uint64_t long_job_arrivals() const { return long_job_arrivals_; }

 private:
  struct MachineTasks {
    std::vector<TaskRef> tasks;  ///< without duplicates, in no particular order
    std::uint32_t long_tasks = 0;
    mutable std::optional<wire::Resources> starting;  ///< cached; nullopt: to be computed
  };
  const machines::Registry& registry_;
  Quota& quota_;
  JobMap jobs_;
  std::unordered_map<std::string, MachineTasks> tasks_by_machine_;
  std::uint64_t capacity_changes_ = 0;
  std::uint64_t long_job_arrivals_ = 0;
};
}  // namespace limemast::jobs

#pragma once
// A job that this controller owns, with the state of each of its tasks.
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "ids/dense_id_set.hpp"
#include "jobs/task_bitmap.hpp"
#include "machines/delivery_resolution.hpp"

namespace limemast::jobs {
using cluster::ActiveJob;
using cluster::ControllerId;
using machines::MachineStatus;

enum class Phase { Pending, Running, Done, Cancelled };
/// The name of the phase for users and in stored records.
const char* name_of(Phase phase);
/// The final phase in a job's final record; nullopt if the record cannot be read.
std::optional<Phase> final_phase(const wire::json& record);
/// The final phase of this name; nullopt if there is none.
std::optional<Phase> final_phase(const std::string& name);

/// The status of a job as users see it.
struct Status {
  Phase phase = Phase::Pending;
  std::uint32_t done = 0;     ///< completed tasks
  std::uint32_t running = 0;  ///< running tasks
  /// The final record is being written, and only the state service knows whether it is stored
  /// already.
  bool final_record_pending = false;
};

/// The machine that a task is assigned to. An assignment ends only when it is proved that the
/// attempt is neither on that machine nor on its way to it.
struct TaskAssignment : machines::Assignment {
  std::string machine;
  std::string zone;
  ControllerId delivering_controller;  ///< the controller that was asked to start it
  bool running = false;                ///< according to the newest heartbeat
  bool preemption_stop_sent = false;   ///< it was stopped ahead of the machine's preemption
  net::Time running_since{};
};

/// The completed tasks of a job. JobCompletion writes `done`, CompletionRecorder the other fields.
struct CompletionProgress {
  std::vector<bool> done;  ///< by task index
  TaskBitmap recorded;     ///< completed tasks that the state service has stored
  bool loaded = true;      ///< false until the records of former owners are read
  bool unsaved = false;    ///< some completed task is not recorded yet
};

/// The tasks to assign next. Written by TaskDispatcher and HeartbeatReconciler.
struct TaskQueue {
  std::deque<std::uint32_t> released;      ///< tasks whose assignment ended before they completed
  std::uint32_t first_never_assigned = 0;  ///< this task and all later ones were never assigned
  std::uint64_t gang_attempt = 0;          ///< shared by all assigned tasks of a gang
};

/// The probes of a short job. Written by Prober; other classes remove a machine when its probe is
/// gone.
struct ProbeState {
  ids::DenseIdSet machines;  ///< machines that hold a probe of the job
  bool first_sent = false;   ///< the first probes, drawn from all machines, were sent
  /// The version of the candidate list of which no machine is left to draw; 0: draw again.
  std::uint64_t exhausted_candidates_version = 0;
  net::Time redraw_after{};          ///< no redraw before, since queues rejected the probes
  net::Time further_probes_after{};  ///< no probes at further machines before
  net::Time last_activity{};         ///< when all its probes were last sent, or one was pulled
};

/// The counts of the job's pending tasks that were last sent to all controllers. Written by
/// PendingTasksBroadcast.
struct PendingTasksAnnouncement {
  struct Counts {
    std::uint32_t pending = 0;
    std::uint32_t unfinished = 0;
    bool operator==(const Counts&) const = default;
  };
  std::optional<Counts> last;  ///< nullopt: announce at the next tick
  net::Time last_at{};
  bool refused_everywhere = false;  ///< a pull was answered with `NoTask::on_any_machine`
};

/// Failures of the job's tasks. Written by the functions of retry_backoff.hpp.
struct RetryState {
  std::map<std::string, net::Time> last_failure_by_machine;
  net::Time retry_after{};             ///< no assignment before
  net::Duration longest_failed_run{};  ///< the longest run of a task that failed
  bool fails_everywhere = false;       ///< it failed on several machines and has completed no task
};

/// A job that this controller owns. Other packages read `record`, `assignments`, `zones` and
/// `completed_tasks`.
struct Job {
  ActiveJob record;

  // Written by OwnedJobs.
  std::unordered_map<std::uint32_t, TaskAssignment> assignments;  ///< by task index
  std::map<std::string, std::uint32_t> zones;  ///< number of assigned tasks by zone

  /// By task index: further machines whose heartbeats show the attempt that is assigned to another
  /// machine. The task may run on any of them, so it is not assigned again before all of them are
  /// ruled out. Written by HeartbeatReconciler.
  std::map<std::uint32_t, std::set<std::string>> conflicting_observations;

  std::uint32_t completed_tasks = 0;  ///< written by JobCompletion
  CompletionProgress completions;
  TaskQueue queue;
  ProbeState probing;
  PendingTasksAnnouncement announcement;
  RetryState retry;

  /// The failover barrier: no task is assigned before every machine has confirmed this epoch.
  /// kNoEpoch for a job that this controller has owned since it was accepted.
  ids::EpochNumber barrier_epoch{};

  // Written by TaskDispatcher.
  net::Time last_progress{};       ///< when it was added here, or a task of it was last assigned
  net::Time last_quota_refusal{};  ///< when its team's quota last refused a task

  // Written by JobCompletion.
  std::optional<Phase> final_phase;  ///< set once decided, before the final record is stored
  bool completed = false;            ///< the final record is stored
  std::vector<std::function<void(std::optional<Phase>)>> cancellation_callbacks;

  /// Tasks that are neither complete nor assigned.
  std::uint32_t pending() const {
    return record.spec.tasks - completed_tasks - static_cast<std::uint32_t>(assignments.size());
  }
  /// Number of tasks that need machines. A job that fails everywhere tries one task at a time.
  std::uint32_t unfinished() const {
    return retry.fails_everywhere && completed_tasks == 0 ? 1 : record.spec.tasks - completed_tasks;
  }
  /// Whether no final phase is decided yet.
  bool active() const { return !final_phase && !completed; }
  /// Whether its team's quota refused the job within the time after which a refused pull is
  /// repeated, so that the refusal still applies.
  bool quota_refused_recently(net::Time now) const {
    constexpr std::chrono::seconds kPullRetryInterval{2};
    return now - last_quota_refusal < kPullRetryInterval;
  }
};

/// The job's status according to its owner.
Status status_of(const Job& job);
}  // namespace limemast::jobs

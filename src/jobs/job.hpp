#pragma once
// A job that this controller owns, and what is known of each of its tasks.
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
/// The phase as users and stored records spell it.
const char* name_of(Phase phase);
/// How a job ended, by its final record; nullopt if that cannot be read.
std::optional<Phase> final_phase(const wire::json& record);
/// The final phase of this name; nullopt if it names none.
std::optional<Phase> final_phase(const std::string& name);

/// The status of a job as users see it.
struct Status {
  Phase phase = Phase::Pending;
  std::uint32_t done = 0;     ///< completed tasks
  std::uint32_t running = 0;  ///< tasks that run now
  /// The final record is being written: only the state service knows whether it is stored already.
  bool final_record_pending = false;
};

/// The machine that a task is assigned to. An assignment ends only by proof that the attempt is
/// neither on that machine nor on its way there.
struct TaskAssignment : machines::Assignment {
  std::string machine;
  std::string zone;
  ControllerId delivering_controller;  ///< the controller that was asked to start it
  bool running = false;                ///< by the newest heartbeat
  bool preemption_stop_sent = false;   ///< stopped ahead of the machine's preemption
  net::Time running_since{};
};

/// Which tasks are complete. Written by JobCompletion (`done`) and CompletionRecorder (the rest).
struct CompletionProgress {
  std::vector<bool> done;  ///< by task index
  TaskBitmap recorded;     ///< completed tasks that the state service has stored
  bool loaded = true;      ///< false: what former owners recorded has yet to be read
  bool unsaved = false;    ///< something is done that is not recorded
};

/// Where the next task to assign comes from. Written by TaskDispatcher and HeartbeatReconciler.
struct TaskQueue {
  std::deque<std::uint32_t> released;      ///< tasks whose assignment ended before they completed
  std::uint32_t first_never_assigned = 0;  ///< tasks from here on were never assigned
  std::uint64_t gang_attempt = 0;          ///< the attempt that all assigned tasks of a gang share
};

/// The probes of a short job. Written by Prober; machines are removed by whoever learns that their
/// probe is gone.
struct ProbeState {
  ids::DenseIdSet machines;  ///< hold a probe in the queue of their attached controller
  bool first_sent = false;   ///< the first probes, drawn from all machines, are out
  /// The version of its kind's candidates of which none is left to draw; 0: draw again.
  std::uint64_t exhausted_candidates_version = 0;
  net::Time redraw_after{};          ///< queues had no place for its probes: no redraw before
  net::Time further_probes_after{};  ///< no search for further machines with room before
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
  bool refused_everywhere = false;  ///< a pull was answered "not on any machine now"
};

/// Failures of the job's tasks. Written by the functions of retry_backoff.hpp.
struct RetryState {
  std::map<std::string, net::Time>
      last_failure_by_machine;         ///< machine -> time of the last failure there
  net::Time retry_after{};             ///< no assignment before
  net::Duration longest_failed_run{};  ///< the longest run of a task before it failed
  bool fails_everywhere = false;       ///< failed on several machines and has completed nothing
};

/// A job that this controller owns. `record`, `assignments`, `zones` and `completed_tasks` are read
/// by other packages.
struct Job {
  ActiveJob record;

  // Written by OwnedJobs.
  std::unordered_map<std::uint32_t, TaskAssignment> assignments;  ///< by task index
  std::map<std::string, std::uint32_t> zones;  ///< zone -> tasks that are assigned there

  /// Further machines whose heartbeats show the attempt that a task is assigned under elsewhere.
  /// Any of them may be the true one: the task is not assigned again before all are disproved.
  /// Written by HeartbeatReconciler.
  std::map<std::uint32_t, std::set<std::string>> conflicting_observations;

  std::uint32_t completed_tasks = 0;  ///< written by JobCompletion
  CompletionProgress completions;
  TaskQueue queue;
  ProbeState probing;
  PendingTasksAnnouncement announcement;
  RetryState retry;

  /// The failover barrier: nothing is assigned before every machine has confirmed this epoch.
  /// kNoEpoch for a job that this controller has owned from the start.
  ids::EpochNumber barrier_epoch{};

  // Written by TaskDispatcher.
  net::Time last_progress{};       ///< when it was taken up, or a task of it was last assigned
  net::Time last_quota_refusal{};  ///< when its team's quota last allowed none of its tasks

  // Written by JobCompletion.
  std::optional<Phase> final_phase;  ///< decided; its record may still be being written
  bool completed = false;            ///< the final record is stored
  std::vector<std::function<void(std::optional<Phase>)>> cancellation_callbacks;

  /// Tasks that are neither complete nor assigned.
  std::uint32_t pending() const {
    return record.spec.tasks - completed_tasks - static_cast<std::uint32_t>(assignments.size());
  }
  /// How many tasks machines are needed for. A job that fails everywhere tries one at a time.
  std::uint32_t unfinished() const {
    return retry.fails_everywhere && completed_tasks == 0 ? 1 : record.spec.tasks - completed_tasks;
  }
  /// No final phase is decided.
  bool active() const { return !final_phase && !completed; }
  /// Its team's quota refused it so lately that nothing can have changed since: a refused pull
  /// comes again within this time.
  bool quota_refused_recently(net::Time now) const {
    constexpr std::chrono::seconds kPullRetryInterval{2};
    return now - last_quota_refusal < kPullRetryInterval;
  }
};

/// The status of a job by what its owner knows.
Status status_of(const Job& job);
}  // namespace limemast::jobs

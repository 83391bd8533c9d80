#pragma once
// How well classes of jobs and teams are served.
#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "net/runtime.hpp"

namespace limemast::diagnostics {
/// What was requested of a class or a team, and what was served of it. Tasks of arrays count from
/// the time by which they should be done, or were, if that is earlier: what has only just been
/// requested is not unserved yet. Replicas count by the second, from the time by which they should
/// have started.
struct WorkCounts {
  double requested = 0;                  ///< tasks requested
  double started = 0;                    ///< of these, started
  double done = 0;                       ///< of these, completed
  double done_in_time = 0;               ///< of these, completed by the time when they should be
  double replica_seconds_requested = 0;  ///< replica seconds requested
  double replica_seconds_running = 0;    ///< of these, running

  WorkCounts& operator+=(const WorkCounts& other);
  WorkCounts& operator-=(const WorkCounts& other);
  /// The part that was served, between 0 and 1; the lower one if there are both kinds of work.
  /// nullopt while too little was requested to tell.
  std::optional<double> served_fraction() const;
};

/// How far the objectives of each class and each team are attained, over a sliding window and in
/// total. Kept by the leader, out of what the owners tell it of their jobs. Holds an entry for each
/// active job and takes a look-up per call. Not thread-safe.
class SloAttainment {
 public:
  /// What a job requests.
  struct Work {
    std::string workload;
    std::string team;
    bool service = false;
    std::uint32_t tasks = 0;
    net::WallTime due{};  ///< when its tasks should be done, or its replicas be up
  };
  /// Takes the job's present state into account. `running`: its running replicas.
  void observe(const std::string& uid, const Work& work, std::uint32_t started, std::uint32_t done,
               std::uint32_t running, net::WallTime now);
  /// The job has ended: all is done, or, if `cancelled`, its user withdrew what was not.
  void job_ended(const std::string& uid, bool cancelled, net::WallTime now);
  /// The job was observed and has not ended.
  bool tracks(const std::string& uid) const { return jobs_.contains(uid); }

  struct Sums {
    WorkCounts window;  ///< the last two minutes
    WorkCounts total;   ///< since this was created
  };
  /// By class. The windows are as of the last call of `advance_window`.
  const std::map<std::string, Sums>& classes() const { return classes_; }
  /// By team, likewise.
  const std::map<std::string, Sums>& teams() const { return teams_; }
  /// Moves the window on, to end at `now`.
  void advance_window(net::WallTime now);
  /// Classes of which less than half is served while some other class is served nearly whole. As of
  /// the last call of `advance_window`.
  std::set<std::string> underserved_classes() const;

 private:
  /// A part of the window, by its number since the epoch of the clock.
  using Slot = std::int64_t;
  struct TrackedJob {
    Work work;
    std::optional<Slot> slot;  ///< where it is counted; nullopt: not yet
    WorkCounts counted;
    net::WallTime last_observed{};
  };
  struct ClassAndTeam {
    std::string workload;
    std::string team;
    auto operator<=>(const ClassAndTeam&) const = default;
  };
  TrackedJob& track(const std::string& uid, const Work& work, net::WallTime now);
  void observe_service(TrackedJob& job, const Work& work, std::uint32_t running, net::WallTime now);
  /// Changes what is counted of the job to `share`, in its slot.
  void set_counted(TrackedJob& job, const WorkCounts& share, net::WallTime now);
  void add(const Work& work, Slot slot, const WorkCounts& change);

  std::unordered_map<std::string, TrackedJob> jobs_;
  std::map<std::string, Sums> classes_;
  std::map<std::string, Sums> teams_;
  std::map<Slot, std::map<ClassAndTeam, WorkCounts>> slots_;  ///< the window
};
}  // namespace limemast::diagnostics

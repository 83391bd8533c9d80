#pragma once
// Measures how much of the work requested by job classes and teams is served.
#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "net/runtime.hpp"

namespace limemast::diagnostics {
/// How much work a class or a team requested, and how much of it was served. Array tasks count from
/// the earlier of their due time and their completion, so that newly submitted tasks do not count
/// as unserved. Replicas count in seconds, from the time at which they should have started.
struct WorkCounts {
  double requested = 0;                  ///< tasks
  double started = 0;                    ///< tasks that were started
  double done = 0;                       ///< tasks that are complete
  double done_in_time = 0;               ///< tasks that were completed by their due time
  double replica_seconds_requested = 0;  ///< by services
  double replica_seconds_running = 0;    ///< the part in which replicas ran

  WorkCounts& operator+=(const WorkCounts& other);
  WorkCounts& operator-=(const WorkCounts& other);
  /// The fraction of the requested work that was served, 0 to 1; the lower fraction if there are
  /// both tasks and replicas. nullopt if too little was requested for a meaningful value.
  std::optional<double> served_fraction() const;
};

/// Tracks how well each class and team is served, over a sliding window and in total. The leader
/// updates it from the job states that owners report. It holds one entry per active job, and each
/// observation costs one hash look-up. Not thread-safe.
class SloAttainment {
 public:
  /// The work that a job requests.
  struct Work {
    std::string workload;
    std::string team;
    bool service = false;
    std::uint32_t tasks = 0;
    net::WallTime due{};  ///< when its tasks should be complete or its replicas running
  };
  /// Counts the job's current state. `running` is the number of running replicas of a service.
  void observe(const std::string& uid, const Work& work, std::uint32_t started, std::uint32_t done,
               std::uint32_t running, net::WallTime now);
  /// Counts the end of the job. All its tasks are complete, unless its user cancelled it.
  void job_ended(const std::string& uid, bool cancelled, net::WallTime now);
  /// True if the job was observed and has not ended.
  bool tracks(const std::string& uid) const { return jobs_.contains(uid); }

  struct Sums {
    WorkCounts window;  ///< the last two minutes
    WorkCounts total;   ///< since this object was created
  };
  /// Sums by class. The windows are as of the last call of `advance_window`.
  const std::map<std::string, Sums>& classes() const { return classes_; }
  /// Sums by team. The windows are as of the last call of `advance_window`.
  const std::map<std::string, Sums>& teams() const { return teams_; }
  /// Moves the window so that it ends at `now`.
  void advance_window(net::WallTime now);
  /// The classes of whose requested work less than half is served, if another class is well served.
  /// As of the last call of `advance_window`.
  std::set<std::string> underserved_classes() const;

 private:
  /// The number of a time slot of the window, counted from the epoch of the wall clock.
  using Slot = std::int64_t;
  struct TrackedJob {
    Work work;
    std::optional<Slot> slot;  ///< the slot that counts the job; nullopt: not counted yet
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
  /// Replaces the counts of the job, in its slot and in the totals, by `counts`.
  void set_counted(TrackedJob& job, const WorkCounts& counts, net::WallTime now);
  void add(const Work& work, Slot slot, const WorkCounts& change);

  std::unordered_map<std::string, TrackedJob> jobs_;
  std::map<std::string, Sums> classes_;
  std::map<std::string, Sums> teams_;
  std::map<Slot, std::map<ClassAndTeam, WorkCounts>> slots_;  ///< the slots of the window
};
}  // namespace limemast::diagnostics

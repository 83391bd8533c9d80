#pragma once
// The order in which the leader places pending long tasks.
#include <compare>
#include <optional>
#include <string>

#include "diagnostics/order_statistic_tree.hpp"
#include "jobs/job.hpp"
#include "jobs/team_guarantees.hpp"

namespace limemast::jobs {
/// The time by which the job should be complete: its own deadline, or else the earliest deadline
/// that the objectives of its class set. Deadlines that can no longer be met are left out; nullopt
/// if none remains.
std::optional<net::WallTime> reachable_deadline(const ActiveJob& job,
                                                const wire::Settings& settings, net::WallTime now);

/// The sort key of a pending job; the smallest key is placed first. Fields are compared in the
/// order in which they are declared.
struct SchedulingOrder {
  int urgent_rank = 0;           ///< negated rank of urgent and production jobs, 0 for others
  int last_resort = 0;           ///< see `last_resort_step`
  bool best_effort = false;      ///< best-effort jobs come last
  bool deadline_missed = false;  ///< jobs that can still meet their deadline come first
  net::WallTime deadline{};      ///< earliest first; the maximum if there is none
  int rank = 0;                  ///< negated, so that the highest comes first
  net::WallTime submitted{};     ///< earliest first
  std::string uid;               ///< unique

  auto operator<=>(const SchedulingOrder&) const = default;
  /// The same order as a key of the queue in which users see their position.
  diagnostics::QueueKey queue_key() const;
};

/// The value of `SchedulingOrder::last_resort`. While a class is underserved, jobs within their
/// team's guarantee come before those beyond it, and in both groups the jobs of underserved classes
/// come first. 0 while no class is underserved.
int last_resort_step(const wire::JobSpec& spec, const std::set<std::string>& underserved_classes,
                     TeamGuarantees& guarantees);

/// The job's sort key as of `now`.
SchedulingOrder scheduling_order(const Job& job, const wire::Settings& settings,
                                 const std::set<std::string>& underserved_classes,
                                 TeamGuarantees& guarantees, net::WallTime now);
}  // namespace limemast::jobs

#pragma once
// The order in which the leader places the long tasks that wait.
#include <compare>
#include <optional>
#include <string>

#include "diagnostics/order_statistic_tree.hpp"
#include "jobs/job.hpp"
#include "jobs/team_guarantees.hpp"

namespace limemast::jobs {
/// When the job should be complete: its own deadline, or the earliest of its class's objectives
/// that it can still meet. nullopt if there is none that it can still meet.
std::optional<net::WallTime> reachable_deadline(const ActiveJob& job,
                                                const wire::Settings& settings, net::WallTime now);

/// Where a job stands among those that wait: the smaller is placed first. The fields are compared
/// in the order in which they are declared.
struct SchedulingOrder {
  int urgent_rank = 0;           ///< negated rank of urgent and production work, 0 for all other
  int last_resort = 0;           ///< while a class is underserved: see `last_resort_step`
  bool best_effort = false;      ///< preemptible work comes after all else
  bool deadline_missed = false;  ///< what can still be in time comes before what cannot
  net::WallTime deadline{};      ///< earliest first; the maximum if there is none
  int rank = 0;                  ///< negated, so that the highest comes first
  net::WallTime submitted{};     ///< earliest first
  std::string uid;               ///< unique

  auto operator<=>(const SchedulingOrder&) const = default;
  /// The same order as the key of the queue that users are told their position in.
  diagnostics::QueueKey queue_key() const;
};

/// Steps of `SchedulingOrder::last_resort`: while a class is hardly served and others are served
/// nearly whole, it comes before what is beyond its team's guarantee, and after what is within.
/// 0 while no class is underserved.
int last_resort_step(const wire::JobSpec& spec, const std::set<std::string>& underserved_classes,
                     TeamGuarantees& guarantees);

/// The job's place in the order as of `now`.
SchedulingOrder scheduling_order(const Job& job, const wire::Settings& settings,
                                 const std::set<std::string>& underserved_classes,
                                 TeamGuarantees& guarantees, net::WallTime now);
}  // namespace limemast::jobs

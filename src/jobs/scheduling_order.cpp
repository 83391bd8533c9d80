#include "jobs/scheduling_order.hpp"

namespace limemast::jobs {
namespace {
/// Number of values of `SchedulingOrder::last_resort`.
constexpr int kLastResortSteps = 4;

std::int64_t milliseconds(net::WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}
}  // namespace

std::optional<net::WallTime> reachable_deadline(const ActiveJob& job,
                                                const wire::Settings& settings, net::WallTime now) {
  std::optional<net::WallTime> deadline;
  const auto consider = [&](wire::Seconds within) {
    const auto at = job.submitted + net::to_duration(within);
    const bool reachable = now + net::to_duration(job.spec.estimate) <= at;
    if (reachable && (!deadline || at < *deadline)) deadline = at;
  };
  if (job.spec.due) {
    consider(*job.spec.due);
    return deadline;
  }
  for (const auto& objective : settings.objectives)
    if (objective.kind == "finished" && objective.workload == job.spec.workload)
      consider(objective.within);
  return deadline;
}

int last_resort_step(const wire::JobSpec& spec, const std::set<std::string>& underserved_classes,
                     TeamGuarantees& guarantees) {
  if (underserved_classes.empty()) return 0;
  const bool underserved = underserved_classes.contains(spec.workload);
  if (guarantees.covers(spec)) return underserved ? 0 : 1;
  return underserved ? 2 : 3;
}

SchedulingOrder scheduling_order(const Job& job, const wire::Settings& settings,
                                 const std::set<std::string>& underserved_classes,
                                 TeamGuarantees& guarantees, net::WallTime now) {
  const auto& spec = job.record.spec;
  const auto deadline = reachable_deadline(job.record, settings, now);
  const bool has_deadline = spec.due || settings.has_finish_objective(spec.workload);
  const int rank = static_cast<int>(spec.rank);
  SchedulingOrder order;
  order.urgent_rank = spec.rank >= wire::Rank::Urgent ? -rank : 0;
  order.last_resort = last_resort_step(spec, underserved_classes, guarantees);
  order.best_effort = settings.is_best_effort(spec);
  // Jobs that can no longer meet their deadline come after those that can. Otherwise every job
  // would be late in a backlog.
  order.deadline_missed = has_deadline && !deadline;
  order.deadline = deadline.value_or(net::WallTime::max());
  order.rank = -rank;
  order.submitted = job.record.submitted;
  order.uid = spec.uid;
  return order;
}

diagnostics::QueueKey SchedulingOrder::queue_key() const {
  return {urgent_rank * kLastResortSteps + last_resort,
          best_effort ? 1 : 0,
          deadline_missed ? 1 : 0,
          milliseconds(deadline),
          rank,
          milliseconds(submitted)};
}
}  // namespace limemast::jobs

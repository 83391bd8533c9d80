#include "jobs/slo_monitor.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
using diagnostics::PendingReason;
constexpr auto kUpdateInterval = 3s;
constexpr auto kWarningInterval = 60s;
/// A warning is logged when less than this fraction of a class's demand is served.
constexpr double kWarningThreshold = 0.6;
/// Time after its estimate by which a task without a deadline or objective should be complete, or a
/// replica should run.
constexpr wire::Seconds kDefaultAllowance{60};
}  // namespace

SloMonitor::SloMonitor(net::Runtime& runtime, const wire::Settings& settings,
                       cluster::Membership& membership, cluster::JobDirectory& job_directory,
                       machines::Registry& registry, JobOwner& job_owner,
                       const StatusReader& status_reader,
                       diagnostics::PendingReasonTable& pending_reasons,
                       diagnostics::CapacityDiagnosis& capacity_diagnosis)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      job_directory_(job_directory),
      registry_(registry),
      job_owner_(job_owner),
      status_reader_(status_reader),
      pending_reasons_(pending_reasons),
      capacity_diagnosis_(capacity_diagnosis) {}

const Job* SloMonitor::owned_job(const std::string& uid) const {
  const auto it = job_owner_.jobs().find(uid);
  return it == job_owner_.jobs().end() ? nullptr : it->second.get();
}

diagnostics::SloAttainment::Work SloMonitor::work_of(const ActiveJob& job) const {
  const auto& spec = job.spec;
  auto within = spec.due.value_or(spec.estimate + kDefaultAllowance);
  const auto* const kind = spec.service ? "wait" : "finished";
  for (const auto& objective : settings_.objectives)
    if (!spec.due && objective.workload == spec.workload && objective.kind == kind)
      within = std::max(within, objective.within);
  return {spec.workload, spec.team, spec.service, spec.tasks,
          job.submitted + net::to_duration(within)};
}

void SloMonitor::observe_ended(const std::string& uid, const ActiveJob& job, net::WallTime now) {
  if (!slo_attainment_.tracks(uid)) return;
  // If this controller does not know the final phase, it infers from the remaining work whether the
  // job was cancelled.
  const auto phase = status_reader_.final_phase_of(uid);
  const bool left_undone = job.spec.service || job.unfinished.value_or(job.spec.tasks) > 0;
  const bool cancelled = phase ? *phase == Phase::Cancelled : left_undone;
  slo_attainment_.job_ended(uid, cancelled, now);
}

void SloMonitor::observe(const std::string& uid, const ActiveJob& job, net::WallTime now) {
  if (job.ended) return observe_ended(uid, job, now);
  if (!job.spec_known) return;
  const auto& spec = job.spec;
  const auto* own = owned_job(uid);
  const auto pending = own ? own->pending() : job.pending_tasks.value_or(spec.tasks);
  const auto unfinished = own ? own->unfinished() : job.unfinished.value_or(spec.tasks);
  // No scheduling decision can serve a job that fails everywhere, so it is left out. Its owner
  // tries one task at a time, which makes `unfinished` smaller than `pending`.
  if (!spec.service && unfinished < pending) return;
  slo_attainment_.observe(uid, work_of(job), spec.tasks - pending,
                          spec.tasks - std::max(pending, unfinished), registry_.running_tasks(uid),
                          now);
}

void SloMonitor::tick() {
  if (!membership_.is_leader()) {
    slo_attainment_ = {};
    warned_at_.clear();
    return;
  }
  const auto now = runtime_.now();
  if (now - last_update_ < kUpdateInterval) return;
  last_update_ = now;
  const auto wall = runtime_.wall();
  for (const auto& [uid, job] : job_directory_.all()) observe(uid, job, wall);
  slo_attainment_.advance_window(wall);
  registry_.set_underserved_classes(settings_.tuning.prioritize_underserved
                                        ? slo_attainment_.underserved_classes()
                                        : std::set<std::string>());
  warn_about_underserved();
}

bool SloMonitor::should_warn(const std::string& workload, net::Time now) {
  const auto [it, first] = warned_at_.try_emplace(workload, now);
  if (first) return true;
  if (now - it->second < kWarningInterval) return false;
  it->second = now;
  return true;
}

void SloMonitor::warn_about_underserved() {
  const auto now = runtime_.now();
  for (const auto& [name, sums] : slo_attainment_.classes()) {
    const auto served = sums.window.served_fraction();
    if (!served) continue;
    if (*served >= kWarningThreshold) {
      if (warned_at_.erase(name) > 0)
        spdlog::info(
            "class {} is no longer underserved: fraction {:.2f} of its recent demand is served, "
            "epoch {}",
            name, *served, membership_.epoch().number);
      continue;
    }
    if (should_warn(name, now))
      spdlog::warn(
          "class {} is underserved: fraction {:.2f} of its recent demand is served, {:.2f} since "
          "this controller became leader; main reason of its pending tasks: {}, epoch {}",
          name, *served, sums.total.served_fraction().value_or(1), main_pending_reason(name),
          membership_.epoch().number);
  }
}

PendingReason SloMonitor::pending_reason(const std::string& uid, const ActiveJob& active,
                                         const Job* own, std::uint32_t pending) {
  if (own)
    if (const auto blocking = job_owner_.blocking_reason(*own)) return *blocking;
  if (const auto* wait = pending_reasons_.find(uid)) return wait->reason;
  const auto zones = own ? own->zones : std::map<std::string, std::uint32_t>();
  return capacity_diagnosis_
      .diagnose(active.spec, active.is_long, pending, zones, false, runtime_.now())
      .reason;
}

std::string SloMonitor::main_pending_reason(const std::string& workload) {
  std::array<double, diagnostics::kPendingReasons> tasks{};
  for (const auto& [uid, job] : job_directory_.all()) {
    if (!job.needs_capacity() || job.spec.workload != workload) continue;
    const auto* own = owned_job(uid);
    const auto pending = own ? own->pending() : job.pending_tasks.value_or(job.spec.tasks);
    if (pending == 0) continue;
    tasks.at(static_cast<std::size_t>(pending_reason(uid, job, own, pending))) += pending;
  }
  const auto* const most = std::max_element(tasks.begin(), tasks.end());
  if (*most <= 0) return "none, as no task is pending";
  return diagnostics::explain(static_cast<PendingReason>(most - tasks.begin()));
}
}  // namespace limemast::jobs

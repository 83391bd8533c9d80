#include "diagnostics/slo_attainment.hpp"

#include <algorithm>

namespace limemast::diagnostics {
namespace {
using namespace std::chrono_literals;
constexpr auto kSlotLength = 10s;
constexpr std::int64_t kSlotsInWindow = 12;
/// Below these amounts of requested work no served fraction is computed.
constexpr double kMinTasks = 10;
constexpr double kMinReplicaSeconds = 30;
/// A class whose served fraction is below the first value is underserved, if the fraction of
/// another class is at least the second value.
constexpr double kUnderservedBelow = 0.5;
constexpr double kWellServedFrom = 0.8;
/// Users choose class names freely, so the number of classes is bounded. Further classes are
/// counted together under the name below.
constexpr std::size_t kMaxClasses = 200;
constexpr auto kOtherClasses = "(others)";

std::int64_t slot_at(net::WallTime time) { return time.time_since_epoch() / kSlotLength; }
}  // namespace

WorkCounts& WorkCounts::operator+=(const WorkCounts& other) {
  requested += other.requested;
  started += other.started;
  done += other.done;
  done_in_time += other.done_in_time;
  replica_seconds_requested += other.replica_seconds_requested;
  replica_seconds_running += other.replica_seconds_running;
  return *this;
}

WorkCounts& WorkCounts::operator-=(const WorkCounts& other) {
  requested -= other.requested;
  started -= other.started;
  done -= other.done;
  done_in_time -= other.done_in_time;
  replica_seconds_requested -= other.replica_seconds_requested;
  replica_seconds_running -= other.replica_seconds_running;
  return *this;
}

std::optional<double> WorkCounts::served_fraction() const {
  std::optional<double> out;
  if (requested >= kMinTasks) out = done / requested;
  if (replica_seconds_requested >= kMinReplicaSeconds)
    out = std::min(out.value_or(1), replica_seconds_running / replica_seconds_requested);
  return out;
}

void SloAttainment::add(const Work& work, Slot slot, const WorkCounts& change) {
  classes_[work.workload].total += change;
  teams_[work.team].total += change;
  slots_[slot][{work.workload, work.team}] += change;
}

void SloAttainment::set_counted(TrackedJob& job, const WorkCounts& counts, net::WallTime now) {
  // Replica seconds are counted in the current slot. Tasks stay in the slot that first counted
  // them.
  if (!job.slot || job.work.service) job.slot = slot_at(now);
  auto change = counts;
  change -= job.counted;
  add(job.work, *job.slot, change);
  job.counted = counts;
}

SloAttainment::TrackedJob& SloAttainment::track(const std::string& uid, const Work& work,
                                                net::WallTime now) {
  const auto [it, added] = jobs_.try_emplace(uid);
  auto& job = it->second;
  if (!added) return job;
  job.work = work;
  job.last_observed = now;
  if (classes_.size() >= kMaxClasses && !classes_.contains(work.workload))
    job.work.workload = kOtherClasses;
  return job;
}

void SloAttainment::observe(const std::string& uid, const Work& work, std::uint32_t started,
                            std::uint32_t done, std::uint32_t running, net::WallTime now) {
  auto& job = track(uid, work, now);
  if (work.service) return observe_service(job, work, running, now);
  if (now < work.due && done < work.tasks) return;
  WorkCounts counts;
  counts.requested = work.tasks;
  counts.started = started;
  counts.done = done;
  counts.done_in_time = now <= work.due + kSlotLength ? done : job.counted.done_in_time;
  set_counted(job, counts, now);
}

void SloAttainment::observe_service(TrackedJob& job, const Work& work, std::uint32_t running,
                                    net::WallTime now) {
  const auto counted_until = std::max(job.last_observed, job.work.due);
  job.last_observed = std::max(job.last_observed, now);
  if (now <= counted_until) return;
  const double seconds = net::to_seconds(now - counted_until).count();
  auto counts = job.counted;
  counts.replica_seconds_requested += seconds * work.tasks;
  counts.replica_seconds_running += seconds * std::min(running, work.tasks);
  set_counted(job, counts, now);
}

void SloAttainment::job_ended(const std::string& uid, bool cancelled, net::WallTime now) {
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) return;
  auto& job = it->second;
  if (!job.work.service) {
    auto counts = job.counted;
    if (!cancelled) {
      counts.requested = counts.started = counts.done = job.work.tasks;
      if (now <= job.work.due + kSlotLength) counts.done_in_time = job.work.tasks;
      set_counted(job, counts, now);
    } else if (job.slot) {
      // Tasks that the user cancelled do not count as requested.
      counts.requested = counts.done;
      counts.started = std::min(counts.started, counts.done);
      set_counted(job, counts, now);
    }
  }
  jobs_.erase(it);
}

void SloAttainment::advance_window(net::WallTime now) {
  slots_.erase(slots_.begin(), slots_.upper_bound(slot_at(now) - kSlotsInWindow));
  for (auto* sums : {&classes_, &teams_})
    for (auto& [name, sum] : *sums) sum.window = {};
  for (const auto& [slot, counts_by_class_and_team] : slots_)
    for (const auto& [key, counts] : counts_by_class_and_team) {
      classes_[key.workload].window += counts;
      teams_[key.team].window += counts;
    }
}

std::set<std::string> SloAttainment::underserved_classes() const {
  std::set<std::string> out;
  bool others_are_well_served = false;
  for (const auto& [name, sums] : classes_) {
    const auto served = sums.window.served_fraction();
    if (!served) continue;
    if (*served < kUnderservedBelow) out.insert(name);
    others_are_well_served = others_are_well_served || *served >= kWellServedFrom;
  }
  if (!others_are_well_served) out.clear();
  return out;
}
}  // namespace limemast::diagnostics

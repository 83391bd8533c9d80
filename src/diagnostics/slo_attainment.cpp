#include "diagnostics/slo_attainment.hpp"

#include <algorithm>

namespace limemast::diagnostics {
namespace {
using namespace std::chrono_literals;
constexpr auto kSlotLength = 10s;
constexpr std::int64_t kSlotsInWindow = 12;
/// With less requested than these the part that was served means nothing.
constexpr double kMinTasks = 10;
constexpr double kMinReplicaSeconds = 30;
/// A class of which less is served is underserved, if of another at least this much is.
constexpr double kUnderserved = 0.5;
constexpr double kWellServed = 0.8;
/// Users name classes as they like: further ones count together.
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

void SloAttainment::set_counted(TrackedJob& job, const WorkCounts& share, net::WallTime now) {
  // The seconds of replicas belong to the time in which they passed; a task is counted once.
  if (!job.slot || job.work.service) job.slot = slot_at(now);
  auto change = share;
  change -= job.counted;
  add(job.work, *job.slot, change);
  job.counted = share;
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
  WorkCounts share;
  share.requested = work.tasks;
  share.started = started;
  share.done = done;
  share.done_in_time = now <= work.due + kSlotLength ? done : job.counted.done_in_time;
  set_counted(job, share, now);
}

void SloAttainment::observe_service(TrackedJob& job, const Work& work, std::uint32_t running,
                                    net::WallTime now) {
  const auto counted_until = std::max(job.last_observed, job.work.due);
  job.last_observed = std::max(job.last_observed, now);
  if (now <= counted_until) return;
  const double seconds = net::to_seconds(now - counted_until).count();
  auto share = job.counted;
  share.replica_seconds_requested += seconds * work.tasks;
  share.replica_seconds_running += seconds * std::min(running, work.tasks);
  set_counted(job, share, now);
}

void SloAttainment::job_ended(const std::string& uid, bool cancelled, net::WallTime now) {
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) return;
  auto& job = it->second;
  if (!job.work.service) {
    auto share = job.counted;
    if (!cancelled) {
      share.requested = share.started = share.done = job.work.tasks;
      if (now <= job.work.due + kSlotLength) share.done_in_time = job.work.tasks;
      set_counted(job, share, now);
    } else if (job.slot) {
      // What its user withdrew does not count as requested.
      share.requested = share.done;
      share.started = std::min(share.started, share.done);
      set_counted(job, share, now);
    }
  }
  jobs_.erase(it);
}

void SloAttainment::advance_window(net::WallTime now) {
  slots_.erase(slots_.begin(), slots_.upper_bound(slot_at(now) - kSlotsInWindow));
  for (auto* sums : {&classes_, &teams_})
    for (auto& [name, sum] : *sums) sum.window = {};
  for (const auto& [slot, shares] : slots_)
    for (const auto& [key, share] : shares) {
      classes_[key.workload].window += share;
      teams_[key.team].window += share;
    }
}

std::set<std::string> SloAttainment::underserved_classes() const {
  std::set<std::string> out;
  bool others_are_well_served = false;
  for (const auto& [name, sums] : classes_) {
    const auto served = sums.window.served_fraction();
    if (!served) continue;
    if (*served < kUnderserved) out.insert(name);
    others_are_well_served = others_are_well_served || *served >= kWellServed;
  }
  if (!others_are_well_served) out.clear();
  return out;
}
}  // namespace limemast::diagnostics

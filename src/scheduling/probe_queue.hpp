#pragma once
// The probe queue of one machine, which chooses the job whose task the machine pulls next.
#include <algorithm>
#include <vector>

#include "scheduling/probe_table.hpp"

namespace limemast::scheduling {
/// One machine's probes in order of arrival. A probe belongs to a job, not to a single task, and
/// stays until the job has no pending tasks (sticky batch probing, Eagle section 4.1). The job with
/// the least remaining work goes first (section 4.3). Each probe counts the run time of tasks that
/// bypassed it. A job must not bypass a probe if that count would exceed `bypass_cap` times the
/// estimate of the probe's job.
///
/// `choose` iterates over the jobs by remaining work, an order that all queues share, and takes the
/// first job that has a probe here, fits, and may bypass all earlier probes. In most cases
/// `min_remaining_bypass_` shows that without reading the other probes. Otherwise the probes are
/// searched in order of arrival; they are contiguous in memory, 24 bytes each.
class ProbeQueue {
 public:
  ProbeQueue(ProbeTable& table, DenseId machine, double bypass_cap)
      : table_(table), machine_(machine), bypass_cap_(bypass_cap) {}
  ProbeQueue(const ProbeQueue&) = delete;
  ProbeQueue& operator=(const ProbeQueue&) = delete;
  ~ProbeQueue() { clear(); }
  /// A machine rejects new probes when it has this many.
  static constexpr std::size_t kMaxProbes = 512;

  /// Adds a probe of the job. If the job already has one here, that probe keeps its position and is
  /// no longer deferred. Returns false if the queue is full.
  bool add(DenseId job);
  void remove(DenseId job);
  void clear();
  /// Defers the job on this machine, which pulls no task of it before `until`.
  void defer(DenseId job, net::Time until);
  /// Chooses the job whose task is pulled next, among those with `fits(need)` and, if given,
  /// `wanted(job)`; nullopt if there is none.
  template <class Fits, class Wanted>
  std::optional<DenseId> choose(net::Time now, Fits fits, Wanted wanted) const {
    if (probes_.empty()) return std::nullopt;
    std::size_t checked = 0;
    const auto& order = table_.by_remaining_work();
    for (auto it = order.begin(); it != order.end() && checked < kMaxOrderedChecks;
         ++it, ++checked) {
      if (!table_.has_probe(it->job, machine_) || !is_ready(it->job, now, fits) || !wanted(it->job))
        continue;
      if (probes_[index_of(it->job)].not_before > now) continue;
      // Among jobs with equal work the earliest probe goes first, and a task longer than
      // `min_remaining_bypass_` may not be allowed to bypass an earlier probe. Both cases require
      // the search by arrival.
      auto next = std::next(it);
      if ((next != order.end() && next->work == it->work) ||
          table_.at(it->job).estimate > min_remaining_bypass_)
        break;
      return it->job;
    }
    return choose_by_arrival(now, fits, wanted);
  }
  template <class Fits>
  std::optional<DenseId> choose(net::Time now, Fits fits) const {
    return choose(now, fits, [](DenseId) { return true; });
  }
  /// Called when a task of `job` was taken. Adds its estimate to the count of each probe that it
  /// bypassed, that is, each earlier probe whose job could have run a task.
  template <class Fits>
  void count_bypassed(DenseId job, net::Time now, Fits fits) {
    if (!table_.has_probe(job, machine_)) return;
    const auto estimate = table_.at(job).estimate;
    for (auto& probe : probes_) {
      if (probe.job == job) break;
      if (probe.not_before > now || !is_ready(probe.job, now, fits)) continue;
      probe.bypassed += estimate;
      min_remaining_bypass_ = std::min(min_remaining_bypass_, remaining_bypass(probe));
    }
  }
  /// Whether the job has a probe in this queue.
  bool has_probe(DenseId job) const { return table_.has_probe(job, machine_); }
  /// Jobs of the probes in order of arrival.
  std::vector<DenseId> jobs() const;
  std::size_t size() const { return probes_.size(); }
  bool empty() const { return probes_.empty(); }

 private:
  struct Probe {
    DenseId job;
    wire::Seconds bypassed{0};  ///< estimated run time of the tasks that bypassed the probe
    net::Time not_before{};
  };
  /// After checking this many jobs in order of remaining work, searching the probes is cheaper.
  static constexpr std::size_t kMaxOrderedChecks = 48;

  /// Run time of tasks that may still bypass the probe.
  wire::Seconds remaining_bypass(const Probe& probe) const {
    return bypass_cap_ * table_.at(probe.job).estimate - probe.bypassed;
  }
  /// Whether the job is not deferred on all machines and a task of it fits.
  template <class Fits>
  bool is_ready(DenseId job, net::Time now, Fits& fits) const {
    const auto& record = table_.at(job);
    return record.not_before <= now && fits(record.need);
  }
  std::size_t index_of(DenseId job) const {
    return static_cast<std::size_t>(
        std::find_if(probes_.begin(), probes_.end(),
                     [&](const Probe& probe) { return probe.job == job; }) -
        probes_.begin());
  }
  template <class Fits, class Wanted>
  std::optional<DenseId> choose_by_arrival(net::Time now, Fits& fits, Wanted& wanted) const {
    std::optional<DenseId> best;
    // The longest task that may still bypass all earlier probes. A probe that cannot run a task
    // now, because it is deferred or its task does not fit, does not count as bypassed.
    auto max_estimate = wire::Seconds::max();
    double least_work = 0;
    for (const auto& probe : probes_) {
      if (probe.not_before > now || !is_ready(probe.job, now, fits) || !wanted(probe.job)) continue;
      const auto& record = table_.at(probe.job);
      if ((!best || record.remaining_work() < least_work) && record.estimate <= max_estimate) {
        best = probe.job;
        least_work = record.remaining_work();
      }
      max_estimate = std::min(max_estimate, remaining_bypass(probe));
    }
    return best;
  }

  ProbeTable& table_;
  DenseId machine_;
  double bypass_cap_;
  std::vector<Probe> probes_;
  /// Lower bound of `remaining_bypass` over all probes. Recomputed when the probe with the least is
  /// removed.
  wire::Seconds min_remaining_bypass_ = wire::Seconds::max();
};
}  // namespace limemast::scheduling

#pragma once
// Why the jobs of one owner wait, with sums over all of them.
#include <unordered_map>

#include "diagnostics/order_statistic_tree.hpp"
#include "diagnostics/pending_reason.hpp"
#include "net/runtime.hpp"

namespace limemast::diagnostics {
/// What one job waits for, as its owner last decided.
struct Wait {
  PendingReason reason = PendingReason::Placing;
  std::uint32_t tasks = 0;         ///< how many wait
  net::Time since{};               ///< since when for this reason
  net::Time summed_until{};        ///< its waiting is in the sums up to then
  std::optional<net::Time> until;  ///< when the reason is expected to end, if that is known
};

/// Why each job of this owner waits, as the scheduling decisions themselves record it. Recording
/// what has not changed takes a look-up, whatever the number of jobs. Keeps nothing if switched
/// off.
class PendingReasonTable {
 public:
  explicit PendingReasonTable(bool enabled) : enabled_(enabled) {}
  bool enabled() const { return enabled_; }

  /// Records that `tasks` of the job's tasks wait for this reason.
  void record(const std::string& uid, PendingReason reason, std::uint32_t tasks, net::Time now,
              std::optional<net::Time> until = std::nullopt);
  /// None of its tasks waits any more.
  void clear(const std::string& uid, net::Time now);
  /// The same, but only if it waits for this reason.
  void clear_if(const std::string& uid, PendingReason reason, net::Time now);
  /// nullptr if the job does not wait. Valid until the job is next recorded or cleared.
  const Wait* find(const std::string& uid) const;
  /// How many jobs wait.
  std::size_t size() const { return waits_.size(); }

  /// Over the jobs that wait for one reason.
  struct Sum {
    std::size_t jobs = 0;
    std::uint64_t tasks = 0;
    double task_seconds = 0;  ///< waited so far; by jobs that still wait, up to their last change
  };
  /// By value of the reason.
  using Sums = std::array<Sum, kPendingReasons>;
  const Sums& sums() const { return sums_; }

  /// The queue of long jobs, in the leader's scheduling order; empty on other members.
  OrderStatisticTree& long_job_queue() { return long_job_queue_; }
  /// The queue of short jobs, by least remaining work.
  OrderStatisticTree& short_job_queue() { return short_job_queue_; }
  const OrderStatisticTree& long_job_queue() const { return long_job_queue_; }
  const OrderStatisticTree& short_job_queue() const { return short_job_queue_; }

 private:
  Sum& sum(PendingReason reason) { return sums_[static_cast<std::size_t>(reason)]; }
  /// Adds the time waited to the sum of its reason, and takes its tasks out.
  void remove_from_sum(Wait& wait, net::Time now);

  bool enabled_;
  std::unordered_map<std::string, Wait> waits_;
  Sums sums_{};
  OrderStatisticTree long_job_queue_;
  OrderStatisticTree short_job_queue_;
};
}  // namespace limemast::diagnostics

#pragma once
// The reasons why one owner's jobs are pending, with sums over all jobs.
#include <unordered_map>

#include "diagnostics/order_statistic_tree.hpp"
#include "diagnostics/pending_reason.hpp"
#include "net/runtime.hpp"

namespace limemast::diagnostics {
/// Why one job is pending, as its owner last decided.
struct Wait {
  PendingReason reason = PendingReason::Placing;
  std::uint32_t tasks = 0;         ///< pending tasks
  net::Time since{};               ///< when this reason was first recorded
  net::Time summed_until{};        ///< up to when the time waited is included in the sums
  std::optional<net::Time> until;  ///< when the reason is expected to end; nullopt: unknown
};

/// Why each job of this owner is pending, as recorded by the scheduling decisions. Recording an
/// unchanged reason costs one hash look-up. Records nothing if disabled.
class PendingReasonTable {
 public:
  explicit PendingReasonTable(bool enabled) : enabled_(enabled) {}
  bool enabled() const { return enabled_; }

  /// Records that `tasks` of the job's tasks are pending for this reason.
  void record(const std::string& uid, PendingReason reason, std::uint32_t tasks, net::Time now,
              std::optional<net::Time> until = std::nullopt);
  /// Removes the job, because none of its tasks is pending.
  void clear(const std::string& uid, net::Time now);
  /// Removes the job only if it is pending for this reason.
  void clear_if(const std::string& uid, PendingReason reason, net::Time now);
  /// nullptr if the job is not pending. The pointer is valid until the job is next recorded or
  /// cleared.
  const Wait* find(const std::string& uid) const;
  /// The number of pending jobs.
  std::size_t size() const { return waits_.size(); }

  /// Totals over the jobs that are pending for one reason.
  struct Sum {
    std::size_t jobs = 0;
    std::uint64_t tasks = 0;
    double task_seconds = 0;  ///< time waited; for pending jobs, up to their last change
  };
  /// Indexed by the value of the reason.
  using Sums = std::array<Sum, kPendingReasons>;
  const Sums& sums() const { return sums_; }

  /// The pending long jobs, in the leader's scheduling order; empty on other members.
  OrderStatisticTree& long_job_queue() { return long_job_queue_; }
  /// The pending short jobs, in order of least remaining work.
  OrderStatisticTree& short_job_queue() { return short_job_queue_; }
  const OrderStatisticTree& long_job_queue() const { return long_job_queue_; }
  const OrderStatisticTree& short_job_queue() const { return short_job_queue_; }

 private:
  Sum& sum(PendingReason reason) { return sums_[static_cast<std::size_t>(reason)]; }
  /// Adds the time waited to the sum of the reason and subtracts the job and its tasks from it.
  void remove_from_sum(Wait& wait, net::Time now);

  bool enabled_;
  std::unordered_map<std::string, Wait> waits_;
  Sums sums_{};
  OrderStatisticTree long_job_queue_;
  OrderStatisticTree short_job_queue_;
};
}  // namespace limemast::diagnostics

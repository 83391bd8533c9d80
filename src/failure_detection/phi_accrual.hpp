#pragma once
// Phi accrual estimation of how suspicious a heartbeat sender's silence is.
#include <algorithm>
#include <deque>

#include "net/runtime.hpp"

namespace limemast::failure_detection {
/// Phi accrual estimate (Hayashibara et al., "The phi accrual failure detector", 2004): how
/// improbable a silence is, given the intervals observed between one sender's heartbeats. A slow or
/// jittery sender is allowed longer silences than a regular one. Performs no I/O.
class PhiAccrualEstimator {
 public:
  /// `expected` is the interval at which heartbeats are sent. The silence before the first one is
  /// measured from `now`.
  PhiAccrualEstimator(net::Duration expected, net::Time now);
  /// Records a heartbeat.
  void record_heartbeat(net::Time now);
  /// Discards the silence until now, because this process was suspended.
  void ignore_silence(net::Time now) { last_ = now; }
  /// Returns -log10 of the probability that a heartbeat arrives after a silence at least this long;
  /// 8 means a probability of 1e-8.
  double phi(net::Time now) const;
  net::Duration silence(net::Time now) const { return now - last_; }
  /// Standard deviation of the intervals. A sender with irregular heartbeats is also slow to refute
  /// a suspicion.
  wire::Seconds spread() const;

 private:
  double mean() const;
  double expected_;  ///< seconds
  net::Time last_;
  std::deque<double> intervals_;  ///< seconds, oldest first
  double sum_ = 0;                ///< sum of `intervals_`
  double sum_of_squares_ = 0;
};

/// Lifeguard's local health (Dadgar et al., 2018): a controller that is suspended at times, or that
/// the store does not serve, receives heartbeats late for local reasons and should be slower to
/// suspect others. The score ranges from 0 (healthy) to kMaxScore.
class LocalHealth {
 public:
  static constexpr int kMaxScore = 8;
  void improve() { score_ = std::max(0, score_ - 1); }
  void degrade(int penalty) { score_ = std::min(kMaxScore, score_ + penalty); }
  int score() const { return score_; }
  /// Factor by which suspicion thresholds are raised; 1 when healthy.
  double factor() const { return 1.0 + score_ / 2.0; }

 private:
  int score_ = 0;
};
}  // namespace limemast::failure_detection

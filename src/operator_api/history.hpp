#pragma once
#include <deque>

#include "diagnostics/pending_reason_table.hpp"

namespace limemast::operator_api {
/// One sample of the history: pending tasks of this controller's jobs by cause, and the number of
/// machines by kind.
struct Sample {
  net::WallTime at{};
  std::array<std::uint64_t, diagnostics::kPendingReasons> waiting{};
  std::uint32_t ordinary = 0;
  std::uint32_t spot = 0;
  std::uint32_t provisioning = 0;
};

/// The most recent samples, oldest first. Their number is limited by the settings; they are lost
/// when the controller restarts.
class History {
 public:
  explicit History(std::size_t capacity) : capacity_(capacity) {}
  void add(Sample sample) {
    samples_.push_back(sample);
    while (samples_.size() > capacity_) samples_.pop_front();
  }
  const std::deque<Sample>& samples() const { return samples_; }

 private:
  std::size_t capacity_;
  std::deque<Sample> samples_;
};
}  // namespace limemast::operator_api

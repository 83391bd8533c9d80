#pragma once
// A cache of the final statuses of recently ended jobs.
#include <deque>
#include <string>
#include <unordered_map>

#include "jobs/job.hpp"

namespace limemast::jobs {
/// A bounded cache with first-in, first-out eviction. A final status never changes, so entries are
/// never stale.
class FinalStatusCache {
 public:
  explicit FinalStatusCache(std::size_t capacity) : capacity_(capacity) {}
  /// Adds the job, or replaces its status without changing its position in the eviction order.
  void put(const std::string& uid, const Status& status);
  /// nullptr if the job is not cached. The pointer is valid until the next `put`.
  const Status* find(const std::string& uid) const;

 private:
  std::size_t capacity_;
  std::unordered_map<std::string, Status> statuses_;
  std::deque<std::string> oldest_first_;  ///< the keys of `statuses_`, in insertion order
};
}  // namespace limemast::jobs

#pragma once
// A sorted queue of jobs with look-up of each job's position.
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace limemast::diagnostics {
/// A sort key, compared lexicographically. The job with the smallest key is first in the queue.
using QueueKey = std::array<std::int64_t, 6>;

/// A queue of pending jobs, ordered by key and, for equal keys, by uid. Each call takes time
/// logarithmic in the length of the queue.
class OrderStatisticTree {
 public:
  OrderStatisticTree();
  ~OrderStatisticTree();
  OrderStatisticTree(const OrderStatisticTree&) = delete;
  OrderStatisticTree& operator=(const OrderStatisticTree&) = delete;
  OrderStatisticTree(OrderStatisticTree&&) = delete;
  OrderStatisticTree& operator=(OrderStatisticTree&&) = delete;

  /// Adds the job, or moves it to its new position if its key has changed.
  void put(const std::string& uid, const QueueKey& key);
  /// Does nothing if the job is not in the queue.
  void erase(const std::string& uid);
  /// The job's position, 1 for the first; nullopt if it is not in the queue.
  std::optional<std::size_t> position(const std::string& uid) const;
  std::size_t size() const;

 private:
  struct Tree;  ///< hides the GNU extension that implements it from the header
  std::unique_ptr<Tree> tree_;
};
}  // namespace limemast::diagnostics

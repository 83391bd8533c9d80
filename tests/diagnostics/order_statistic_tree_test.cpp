#include "diagnostics/order_statistic_tree.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace limemast::diagnostics {
namespace {
// Compares all positions with a sorted list after every step. Equal keys occur, so that ties must
// be broken by uid.
TEST(OrderStatisticTree, PositionsMatchSortedOrder) {
  std::mt19937_64 random(7);
  OrderStatisticTree queue;
  std::map<std::string, QueueKey> expected;
  for (int step = 0; step < 2'000; ++step) {
    const auto uid = "wk-" + std::to_string(random() % 60);
    if (random() % 4 == 0) {
      queue.erase(uid);
      expected.erase(uid);
    } else {
      const auto first = static_cast<std::int64_t>(random() % 3);
      const auto second = static_cast<std::int64_t>(random() % 5);
      const QueueKey key{first, second, 0, 0, 0, 0};
      queue.put(uid, key);
      expected[uid] = key;
    }
    ASSERT_EQ(queue.size(), expected.size());
    std::vector<std::pair<QueueKey, std::string>> sorted;
    sorted.reserve(expected.size());
    for (const auto& [job, key] : expected) sorted.emplace_back(key, job);
    std::sort(sorted.begin(), sorted.end());
    for (std::size_t i = 0; i < sorted.size(); ++i)
      ASSERT_EQ(queue.position(sorted[i].second), i + 1);
  }
}

TEST(OrderStatisticTree, UnqueuedJobHasNoPosition) {
  OrderStatisticTree queue;
  queue.put("wk-000001", QueueKey{});
  EXPECT_EQ(queue.position("wk-000002"), std::nullopt);
}
}  // namespace
}  // namespace limemast::diagnostics

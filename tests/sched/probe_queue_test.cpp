#include "sched/probe_queue.hpp"

#include <gtest/gtest.h>

namespace limemast::sched {
namespace {
using namespace std::chrono_literals;
constexpr auto kAny = [](const Probe&) { return true; };

Probe probe(const std::string& uid, double estimate, std::uint32_t remaining) {
  Probe p;
  p.uid = uid;
  p.estimate = wire::Seconds(estimate);
  p.remaining = remaining;
  p.cpus = 1;
  return p;
}

TEST(ProbeQueue, LeastRemainingWorkGoesFirst) {
  ProbeQueue queue(5);
  queue.add(probe("long", 10, 10));
  queue.add(probe("short", 10, 2));
  EXPECT_EQ(queue.choose({}, kAny)->uid, "short");
  queue.set_remaining("long", 1);
  EXPECT_EQ(queue.choose({}, kAny)->uid, "long");
}

TEST(ProbeQueue, AProbeIsPassedUpToTheCapOnly) {
  ProbeQueue queue(5);
  queue.add(probe("first", 10, 100));
  queue.add(probe("passer", 20, 4));
  int passes = 0;
  while (queue.choose({}, kAny)->uid == "passer") {
    queue.took("passer", {}, kAny);
    ASSERT_LT(++passes, 100);
  }
  // 5 times its estimate of 10 s admits two passes of 20 s, and no third.
  EXPECT_EQ(passes, 2);
}

TEST(ProbeQueue, OnlyWhatFitsAndIsReadyRuns) {
  ProbeQueue queue(5);
  auto large = probe("large", 1, 1);
  large.cpus = 8;
  queue.add(large);
  queue.add(probe("small", 50, 50));
  auto fits = [](const Probe& p) { return p.cpus <= 2; };
  EXPECT_EQ(queue.choose({}, fits)->uid, "small");
  queue.postpone("small", net::Time(5s));
  EXPECT_EQ(queue.choose(net::Time(4s), fits), nullptr);
  EXPECT_EQ(queue.choose(net::Time(5s), fits)->uid, "small");
}

TEST(ProbeQueue, OneProbeAJobAndABound) {
  ProbeQueue queue(5);
  EXPECT_TRUE(queue.add(probe("a", 1, 1)));
  EXPECT_TRUE(queue.add(probe("a", 1, 7)));
  EXPECT_EQ(queue.all().size(), 1u);
  EXPECT_EQ(queue.find("a")->remaining, 7u);
  for (std::size_t i = 1; i < ProbeQueue::kMaxProbes; ++i) ASSERT_TRUE(queue.add(probe(std::to_string(i), 1, 1)));
  EXPECT_FALSE(queue.add(probe("one more", 1, 1)));
}
}  // namespace
}  // namespace limemast::sched

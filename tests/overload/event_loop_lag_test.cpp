#include "overload/event_loop_lag.hpp"

#include <gtest/gtest.h>

namespace limemast::overload {
namespace {
using namespace std::chrono_literals;

TEST(EventLoopLag, PeakCountsAtOnceAndHalvesWithinSixTimers) {
  EventLoopLag lag;
  const net::Time due{};
  lag.on_timer(due, due + 2s);
  EXPECT_EQ(lag.lag(), 2s);
  int timers = 0;
  for (; lag.lag() > 1s; ++timers) lag.on_timer(due, due);
  EXPECT_LE(timers, 6);
}

TEST(EventLoopLag, EarlyTimerAddsNoLag) {
  EventLoopLag lag;
  const net::Time now{};
  lag.on_timer(now, now + 1s);
  lag.on_timer(now + 5s, now);
  EXPECT_LT(lag.lag(), 1s);
}
}  // namespace
}  // namespace limemast::overload

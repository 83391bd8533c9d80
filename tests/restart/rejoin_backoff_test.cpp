#include "cluster/rejoin_backoff.hpp"

#include <gtest/gtest.h>

namespace limemast::cluster {
namespace {
using namespace std::chrono_literals;

ControllerId leader() { return {"a", 1}; }
ControllerId incarnation_of_b(std::uint64_t number) { return {"b", number}; }

/// Controller A is the leader, and controller B restarts.
class RejoinBackoffTest : public testing::Test {
 protected:
  /// Registers A and the given controllers, and no others.
  void set_registered(std::set<ControllerId> others, net::Time now) {
    others.insert(leader());
    backoff_.observe(others, now);
  }
  RejoinBackoff::Decision decide(net::Time now) const {
    return backoff_.decide(members_, leader(), {}, 2, now);
  }
  bool admitted(const ControllerId& controller, net::Time now) const {
    return decide(now).members.contains(controller);
  }
  RejoinBackoff backoff_;
  std::set<ControllerId> members_{leader()};  ///< members of the current epoch
  net::Time now_{1000s};
};

TEST_F(RejoinBackoffTest, FirstRestartHasNoBackoffAndFurtherOnesHaveAnIncreasingBackoff) {
  set_registered({incarnation_of_b(2)}, now_);
  EXPECT_TRUE(admitted(incarnation_of_b(2), now_));

  constexpr net::Duration kBackoffs[] = {0s, 1s, 2s, 4s, 8s, 16s, 30s, 30s};
  std::uint64_t number = 3;
  for (const auto backoff : kBackoffs) {
    now_ += 2s;
    const auto restarted = incarnation_of_b(number++);
    set_registered({restarted}, now_);
    EXPECT_EQ(admitted(restarted, now_), backoff == 0s);
    EXPECT_EQ(admitted(restarted, now_ + backoff * 9 / 10), backoff == 0s);
    EXPECT_TRUE(admitted(restarted, now_ + backoff));
  }

  // A member is not removed again, and a minute without a loss resets the backoff.
  members_.insert(incarnation_of_b(10));
  EXPECT_TRUE(admitted(incarnation_of_b(10), now_));
  now_ += 61s;
  set_registered({incarnation_of_b(11)}, now_);
  EXPECT_TRUE(admitted(incarnation_of_b(11), now_));
}

TEST_F(RejoinBackoffTest, EpochAfterALossWaitsBrieflyForTheNextIncarnation) {
  set_registered({incarnation_of_b(2)}, now_);
  members_.insert(incarnation_of_b(2));
  set_registered({}, now_);

  const auto after_loss = decide(now_ + 10ms);
  EXPECT_TRUE(after_loss.wait);
  ASSERT_TRUE(after_loss.reconsider_at);
  EXPECT_LE(*after_loss.reconsider_at - now_, 250ms);
  EXPECT_FALSE(decide(*after_loss.reconsider_at).wait);

  // One epoch replaces the previous incarnation with the new one.
  set_registered({incarnation_of_b(5)}, now_ + 40ms);
  const auto after_restart = decide(now_ + 40ms);
  EXPECT_FALSE(after_restart.wait);
  EXPECT_EQ(after_restart.members, (std::set<ControllerId>{leader(), incarnation_of_b(5)}));
}

TEST_F(RejoinBackoffTest, NewLeaderWaitsForControllersThatStartAtTheSameTime) {
  set_registered({}, now_);
  EXPECT_TRUE(backoff_.decide({}, leader(), now_, 3, now_).wait);

  set_registered({incarnation_of_b(2), ControllerId("c", 3)}, now_ + 20ms);
  const auto decision = backoff_.decide({}, leader(), now_, 3, now_ + 20ms);
  EXPECT_FALSE(decision.wait);
  EXPECT_EQ(decision.members.size(), 3U);
}
}  // namespace
}  // namespace limemast::cluster

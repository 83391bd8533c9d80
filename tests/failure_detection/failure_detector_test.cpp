#include "failure_detection/failure_detector.hpp"

#include <cstdio>
#include <random>

#include <gtest/gtest.h>

namespace limemast::failure_detection {
namespace {
using namespace std::chrono_literals;
constexpr net::Time kStart{1000s};

const ids::ControllerId& peer_b() {
  static const ids::ControllerId kId("b", 1);
  return kId;
}
const ids::ControllerId& peer_c() {
  static const ids::ControllerId kId("c", 2);
  return kId;
}

/// Conditions that apply to each simulated second.
struct Conditions {
  bool b_sends = true;     ///< heartbeats of B arrive
  bool c_sends = true;     ///< heartbeats of C arrive
  bool c_hears_b = false;  ///< C's heartbeats list B as reachable
  bool store_serves_b = true;
  bool store_serves_us = true;
};

/// A failure detector that observes two peers, B and C.
class FailureDetectorTest : public testing::Test {
 protected:
  void SetUp() override { detector_.set_members({peer_b(), peer_c()}, now_); }
  void advance(int seconds, const Conditions& conditions) {
    for (int i = 0; i < seconds; ++i) {
      for (int half = 0; half < 2; ++half) {
        now_ += 500ms;
        detector_.tick(conditions.store_serves_us, now_);
      }
      if (conditions.b_sends)
        detector_.record_heartbeat(peer_b(), conditions.store_serves_b, {peer_c()}, now_);
      if (conditions.c_sends)
        detector_.record_heartbeat(peer_c(), true, heard_by_c(conditions), now_);
    }
  }
  /// Fills the windows of heartbeat intervals.
  void observe_regular_heartbeats() { advance(20, {.c_hears_b = true}); }
  /// Records a refutation and returns the seconds of silence until B is suspected again.
  int seconds_until_resuspected() {
    detector_.record_refutation(peer_b(), now_);
    int seconds = 0;
    for (; !detector_.should_suspect(peer_b(), now_); ++seconds) advance(1, {.b_sends = false});
    return seconds;
  }

  net::Time now_ = kStart;
  FailureDetector detector_{1s};

 private:
  static std::set<ids::ControllerId> heard_by_c(const Conditions& conditions) {
    return conditions.c_hears_b ? std::set<ids::ControllerId>{peer_b()}
                                : std::set<ids::ControllerId>{};
  }
};

TEST_F(FailureDetectorTest, SilenceIsSuspiciousAfterThreeHeartbeats) {
  observe_regular_heartbeats();
  EXPECT_EQ(detector_.health(peer_b(), now_), PeerHealth::Alive);

  advance(3, {.b_sends = false});
  EXPECT_FALSE(detector_.should_suspect(peer_b(), now_));

  advance(1, {.b_sends = false});
  EXPECT_TRUE(detector_.should_suspect(peer_b(), now_));
  EXPECT_EQ(detector_.health(peer_b(), now_), PeerHealth::Silent);
  EXPECT_FALSE(detector_.should_suspect(peer_c(), now_));
}

TEST_F(FailureDetectorTest, PeerReachableFromAnotherIsPartitionedAndNotSuspected) {
  observe_regular_heartbeats();

  advance(10, {.b_sends = false, .c_hears_b = true});

  EXPECT_EQ(detector_.health(peer_b(), now_), PeerHealth::Partitioned);
  EXPECT_FALSE(detector_.should_suspect(peer_b(), now_));
}

TEST_F(FailureDetectorTest, PeerThatTheStoreDoesNotServeIsSuspected) {
  const Conditions store_refuses_b{.c_hears_b = true, .store_serves_b = false};
  observe_regular_heartbeats();

  advance(2, store_refuses_b);
  EXPECT_FALSE(detector_.should_suspect(peer_b(), now_));

  advance(2, store_refuses_b);
  EXPECT_EQ(detector_.health(peer_b(), now_), PeerHealth::StoreUnavailable);
  EXPECT_TRUE(detector_.should_suspect(peer_b(), now_));
}

TEST_F(FailureDetectorTest, NobodyIsSuspectedDuringOrAfterAStoreOutage) {
  observe_regular_heartbeats();

  advance(10, {.c_hears_b = true, .store_serves_b = false, .store_serves_us = false});
  EXPECT_FALSE(detector_.should_suspect(peer_b(), now_));

  // The outage ends for the observer first.
  advance(2, {.c_hears_b = true, .store_serves_b = false});
  EXPECT_FALSE(detector_.should_suspect(peer_b(), now_));
}

TEST_F(FailureDetectorTest, SuspendedObserverSuspectsNobody) {
  observe_regular_heartbeats();

  now_ += 20s;
  detector_.tick(true, now_);

  EXPECT_FALSE(detector_.should_suspect(peer_b(), now_));
  EXPECT_EQ(detector_.local_health().score(), 3);
  // The observer then uses higher thresholds.
  advance(4, {.b_sends = false});
  EXPECT_TRUE(detector_.should_suspect(peer_b(), now_));
}

TEST_F(FailureDetectorTest, DelaysAfterRefutationsDoubleAndExpire) {
  advance(20, {});
  advance(6, {.b_sends = false});

  EXPECT_EQ(seconds_until_resuspected(), 4);
  EXPECT_EQ(seconds_until_resuspected(), 8);
  EXPECT_EQ(seconds_until_resuspected(), 16);

  advance(130, {.b_sends = false});
  EXPECT_EQ(seconds_until_resuspected(), 4);
}

/// Returns the number of suspicions within ten minutes of a peer with irregular and partly lost
/// heartbeats.
std::size_t suspicions_of_uneven_peer(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  auto uniform = [&](double a, double b) { return std::uniform_real_distribution<>(a, b)(random); };
  FailureDetector detector(1s);
  auto now = kStart;
  detector.set_members({peer_b()}, now);
  const double jitter = uniform(0, 1.2);
  const double loss = uniform(0, 0.1);
  auto next_heartbeat = now + 1s;
  std::size_t suspicions = 0;
  bool suspected = false;
  for (int i = 0; i < 1200; ++i) {
    now += 500ms;
    while (next_heartbeat <= now) {
      if (uniform(0, 1) >= loss) detector.record_heartbeat(peer_b(), true, {}, next_heartbeat);
      next_heartbeat += net::to_duration(wire::Seconds(1 + uniform(0, jitter)));
    }
    detector.tick(true, now);
    const bool is_suspected = detector.should_suspect(peer_b(), now);
    if (is_suspected && !suspected) ++suspicions;
    suspected = is_suspected;
  }
  return suspicions;
}

// False suspicions of slow, jittery and lossy but running peers must be rare, because each costs
// two writes.
TEST_F(FailureDetectorTest, IrregularButRunningPeersAreRarelySuspected) {
  std::size_t suspicions = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) suspicions += suspicions_of_uneven_peer(seed);

  std::printf(
      "200 controllers, each ten minutes, jitter up to 1.2 s, losses up to 10%%: %zu suspicions\n",
      suspicions);
  EXPECT_LE(suspicions, 200U);  // one per controller
}
}  // namespace
}  // namespace limemast::failure_detection

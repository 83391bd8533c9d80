#include "failover/failover_barrier.hpp"

#include <gtest/gtest.h>

namespace limemast::failover {
namespace {
using namespace std::chrono_literals;
constexpr net::Time kStart{1000s};
constexpr ids::EpochNumber kEpoch(7);
constexpr ids::EpochNumber kNextEpoch(8);
constexpr auto kHeartbeatInterval = 5s;
constexpr auto kLease = 27s;

const std::map<std::string, std::size_t>& registered() {
  static const std::map<std::string, std::size_t> kMachines{{"a", 100}, {"b", 100}, {"c", 100}};
  return kMachines;
}

std::vector<UnconfirmedMachine> machines(std::size_t count, const std::string& zone, bool silent) {
  std::vector<UnconfirmedMachine> out;
  for (std::size_t i = 0; i < count; ++i) out.push_back({zone + std::to_string(i), zone, silent});
  return out;
}
std::vector<UnconfirmedMachine> silent_machines(std::size_t count, const std::string& zone) {
  return machines(count, zone, true);
}
/// Machines whose heartbeats arrive, but that do not confirm the epoch.
std::vector<UnconfirmedMachine> heard_machines(std::size_t count, const std::string& zone) {
  return machines(count, zone, false);
}

class FailoverBarrierTest : public testing::Test {
 protected:
  /// Number of machines terminated at this time.
  std::size_t terminated(const std::vector<UnconfirmedMachine>& unconfirmed, net::Duration after,
                         ids::EpochNumber epoch = kEpoch) {
    return barrier_.machines_to_terminate(epoch, unconfirmed, registered(), kStart + after).size();
  }
  /// Calls the barrier every 500 ms for a minute and returns the first non-zero number of
  /// terminated machines, or 0.
  std::size_t terminated_within_a_minute(const std::vector<UnconfirmedMachine>& unconfirmed) {
    for (int i = 0; i < 120; ++i)
      if (const auto count = terminated(unconfirmed, i * 500ms)) return count;
    return 0;
  }
  FailoverBarrier barrier_{kHeartbeatInterval, kLease};
};

TEST_F(FailoverBarrierTest, FewSilentMachinesAreTerminatedOnceTheyCouldHaveConfirmed) {
  const auto dead = silent_machines(20, "a");
  EXPECT_EQ(terminated(dead, 0s), 0U);
  EXPECT_EQ(terminated(dead, 8s), 0U);
  EXPECT_EQ(terminated(dead, 9s), 20U);
}

// Guards against waiting for the worker lease of a machine deregistered under the previous leader,
// whose zone is unknown.
TEST_F(FailoverBarrierTest, MachineOfUnknownZoneIsTerminated) {
  EXPECT_EQ(terminated_within_a_minute(silent_machines(1, "")), 1U);
}

TEST_F(FailoverBarrierTest, PartitionedZoneIsWaitedFor) {
  EXPECT_EQ(terminated_within_a_minute(silent_machines(51, "a")), 0U);
}

TEST_F(FailoverBarrierTest, NothingIsTerminatedWhenNearlyHalfOfAllMachinesAreSilent) {
  auto silent = silent_machines(45, "a");
  for (const auto* zone : {"b", "c"})
    for (const auto& machine : silent_machines(45, zone)) silent.push_back(machine);

  EXPECT_EQ(terminated_within_a_minute(silent), 0U);
}

// A machine that receives no messages never confirms, although its heartbeats arrive. It is
// terminated only after its lease has expired.
TEST_F(FailoverBarrierTest, OneWayUnreachableMachinesAreTerminatedAfterTheirLease) {
  const auto heard = heard_machines(20, "a");
  for (auto after = 0s; after <= kLease; after += 1s)
    EXPECT_EQ(terminated(heard, after), 0U) << after.count();
  EXPECT_EQ(terminated(heard, kLease + 1s), 20U);
}

TEST_F(FailoverBarrierTest, OneWayUnreachableZoneIsWaitedFor) {
  EXPECT_EQ(terminated_within_a_minute(heard_machines(51, "a")), 0U);
}

TEST_F(FailoverBarrierTest, NothingIsTerminatedWhileMachinesStillConfirm) {
  for (std::size_t left = 30; left > 10; --left)
    EXPECT_EQ(terminated(silent_machines(left, "b"), (31 - left) * 1s), 0U);

  EXPECT_EQ(terminated(silent_machines(10, "b"), 20s), 0U);
  EXPECT_EQ(terminated(silent_machines(10, "b"), 26s), 10U);
}

TEST_F(FailoverBarrierTest, NewEpochRestartsTheWait) {
  const auto dead = silent_machines(3, "a");
  EXPECT_EQ(terminated(dead, 0s), 0U);
  EXPECT_EQ(terminated(dead, 11s, kNextEpoch), 0U);
  EXPECT_EQ(terminated(dead, 22s, kNextEpoch), 3U);
}
}  // namespace
}  // namespace limemast::failover

#include "cloud/machine_health.hpp"

#include <gtest/gtest.h>

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;

net::Time at(int seconds) { return net::Time(std::chrono::seconds(1000 + seconds)); }

// Guards against counting a machine that never boots as expected capacity for too long, which
// leaves its intended tasks waiting.
TEST(BootTimeTracker, TheExpectedBootTimeFollowsRecentBoots) {
  BootTimeTracker boots;
  const wire::Seconds nominal{35};
  EXPECT_LT(boots.max_expected_boot_time("t", "a", nominal, at(0)), 2.2 * nominal);
  for (int i = 0; i < 10; ++i) boots.record("t", "a", 1.1 * nominal, nominal, at(i));
  EXPECT_LT(boots.max_expected_boot_time("t", "a", nominal, at(10)), 1.9 * nominal);
  EXPECT_GT(boots.max_expected_boot_time("t", "a", nominal, at(10)), 1.5 * nominal);
  // After a slow boot the next one is expected to be slow as well.
  boots.record("t", "a", 2.5 * nominal, nominal, at(11));
  EXPECT_GT(boots.max_expected_boot_time("t", "a", nominal, at(12)), 2.8 * nominal);
  EXPECT_LT(boots.max_expected_boot_time("t", "b", nominal, at(12)), 2.2 * nominal);
  boots.record("t", "a", 20 * nominal, nominal, at(13));
  EXPECT_LT(boots.max_expected_boot_time("t", "a", nominal, at(14)), 4 * nominal);
  EXPECT_LT(boots.max_expected_boot_time("t", "a", nominal, at(400)), 2.2 * nominal);
}

// Guards against cordoning machines as faulty because of jobs that fail on every machine.
TEST(FaultyMachineDetector, JobsThatFailEverywhereDoNotMakeMachinesFaulty) {
  FaultyMachineDetector detector;
  for (int m = 0; m < 10; ++m)
    for (const auto* uid : {"wk-000001", "wk-000002"})
      for (std::uint64_t attempt = 1; attempt <= 3; ++attempt)
        detector.record_failure("m" + std::to_string(m), uid, attempt);
  for (int m = 0; m < 10; ++m) EXPECT_FALSE(detector.is_faulty("m" + std::to_string(m)));
}

TEST(FaultyMachineDetector, AMachineThatFailsJobsThatOthersCompleteIsFaulty) {
  FaultyMachineDetector detector;
  for (const auto* machine : {"m1", "m2", "m3", "m4"}) {
    detector.record_failure(machine, "wk-000001", 1);
    detector.record_failure(machine, "wk-000002", 2);
    detector.record_failure(machine, "wk-000002", 3);
  }
  EXPECT_FALSE(detector.is_faulty("m1"));
  detector.record_completion("m5", "wk-000001");
  EXPECT_FALSE(detector.is_faulty("m1"));  // failures of a single job are not enough
  detector.record_completion("m5", "wk-000002");
  EXPECT_TRUE(detector.is_faulty("m1"));
  detector.record_completion("m1", "wk-000002");
  EXPECT_FALSE(detector.is_faulty("m1"));
  detector.retain([](auto&) { return true; }, [](auto& uid) { return uid == "wk-000001"; });
  EXPECT_FALSE(detector.is_faulty("m2"));
}
}  // namespace
}  // namespace limemast::cloud

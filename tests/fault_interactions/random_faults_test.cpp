// Two or three overlapping faults, drawn at random.
#include "fault_interactions/random_faults.hpp"

namespace limemast {
namespace {
/// The limit on the time for which a job waits after the last fault although a suitable machine has
/// room and its team is under its quota.
constexpr auto kMaxWaitWithRoom = 90s;

class OverlappingRandomFaults : public RandomFaults {};

TEST_P(OverlappingRandomFaults, BreakNoInvariant) {
  run_overlapping_faults({.arrays = 4,
                          .array_size_choices = 2,
                          .cancelled_array_tasks = 3,
                          .services = 2,
                          .fault_kinds = kBasicFaultKinds});
}

INSTANTIATE_TEST_SUITE_P(Seeds, OverlappingRandomFaults,
                         testing::Range<std::uint64_t>(1, seed_count() + 1));
// Regression cases. An owner ignored a heartbeat that arrived while it could not act, so that a
// task ran twice; and a task stayed bound to a machine forever.
INSTANTIATE_TEST_SUITE_P(Regressions, OverlappingRandomFaults,
                         testing::Values<std::uint64_t>(30, 61, 158, 178, 207, 254, 297));

/// Faults of all kinds while teams are at their quota limits and users query job status
/// concurrently.
class RandomFaultsAtQuotaLimit : public RandomFaults {
 protected:
  static wire::Settings small_quotas() {
    auto settings = default_settings();
    settings.teams = {{"red", {20, 50, 0, 0}}, {"blue", {20, 40, 0, 0}}};
    return settings;
  }
  RandomFaultsAtQuotaLimit() : RandomFaults(small_quotas()) {}
};

TEST_P(RandomFaultsAtQuotaLimit, BreakNoInvariant) {
  cluster_.query_concurrently(2000s, 0.1);
  run_overlapping_faults({.arrays = 6,
                          .array_size_choices = 3,
                          .cancelled_array_tasks = 4,
                          .services = 3,
                          .fault_kinds = kAllFaultKinds});
  EXPECT_LT(cluster_.longest_wait_with_room(), kMaxWaitWithRoom) << "seed " << GetParam();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaultsAtQuotaLimit,
                         testing::Range<std::uint64_t>(1, seed_count() + 1));
}  // namespace
}  // namespace limemast

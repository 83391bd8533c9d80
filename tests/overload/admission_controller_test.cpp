#include "overload/admission_controller.hpp"

#include <algorithm>
#include <map>
#include <random>

#include <gtest/gtest.h>

namespace limemast::overload {
namespace {
using namespace std::chrono_literals;

/// The load of a controller with a fixed capacity per second. Unfinished work becomes lag.
struct Overload {
  double submissions;    ///< offered load, as a multiple of the controller's capacity
  double critical_load;  ///< the fraction of its time spent on requests that are never rejected
};

class AdmissionUnderLoad : public testing::TestWithParam<Overload> {};

TEST_P(AdmissionUnderLoad, AdmitsSustainableShareAndRecoversAfterOverload) {
  const auto [submissions, critical_load] = GetParam();
  AdmissionController controller(500ms);
  double backlog_s = 0;
  double min_share = 1;
  double max_share = 0;
  double max_backlog_s = 0;
  constexpr double kStepSeconds = 0.25;
  for (int step = 0; step < 800; ++step) {
    const bool overloaded = step < 400;
    const double offered = overloaded ? submissions : 0.1;
    const double work = critical_load + offered * controller.share(RequestClass::Submission);
    backlog_s = std::max(0.0, backlog_s + kStepSeconds * (work - 1));
    controller.update(net::to_duration(wire::Seconds(backlog_s)));
    EXPECT_GE(controller.share(RequestClass::StatusQuery), 0.25);
    EXPECT_TRUE(controller.share(RequestClass::StatusQuery) == 1 ||
                controller.share(RequestClass::Submission) < 0.2)
        << "submissions are rejected first";
    if (step >= 100 && overloaded) {
      min_share = std::min(min_share, controller.share(RequestClass::Submission));
      max_share = std::max(max_share, controller.share(RequestClass::Submission));
      max_backlog_s = std::max(max_backlog_s, backlog_s);
    }
  }
  const double sustainable = std::min(1.0, (1 - critical_load) / submissions);
  EXPECT_GT(max_share, sustainable * 0.9);
  EXPECT_GT(min_share, sustainable * 0.1) << "it oscillates";
  EXPECT_LT(max_backlog_s, 2.0);
  EXPECT_EQ(controller.share(RequestClass::Submission), 1);
  EXPECT_EQ(controller.share(RequestClass::StatusQuery), 1);
}

INSTANTIATE_TEST_SUITE_P(Loads, AdmissionUnderLoad,
                         testing::Values(Overload{0.3, 0.5}, Overload{1, 0.3}, Overload{2, 0.5},
                                         Overload{4, 0.6}, Overload{3, 0.2}));

// A controller that was paused, or has just started, lags for about a second.
TEST(AdmissionController, ShortLagRejectsNoRequests) {
  AdmissionController controller(200ms);
  for (int update = 0; update < 100; ++update) {
    controller.update(update % 12 < 5 ? 800ms : 10ms);
    ASSERT_EQ(controller.share(RequestClass::Submission), 1) << update;
  }
}

TEST(AdmissionController, AdmitsEverythingIfDisabled) {
  AdmissionController controller(0s);
  for (int update = 0; update < 600; ++update) controller.update(100s);
  EXPECT_TRUE(controller.admits(RequestClass::Submission, 0.999));
}

// Ten new users arrive each second while almost none is admitted, and each retries after the given
// time. With a fixed retry time of one second about 1,100 would retry each second.
TEST(AdmissionController, RetryAfterSpreadsRetriesOverTimeNeededToServeThem) {
  AdmissionController controller(500ms);
  EXPECT_EQ(controller.retry_after(RequestClass::Submission), 1s);
  constexpr int kOverloadedSteps = 480;
  std::multimap<int, int> users_by_step;
  std::mt19937_64 random(3);
  const auto draw = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
  const auto steps_until_retry = [&] {
    const auto wait = controller.retry_after(RequestClass::Submission);
    return static_cast<int>(wait / AdmissionController::kUpdateInterval * (0.75 + 0.5 * draw()));
  };
  std::size_t late_attempts = 0;
  std::size_t served = 0;
  for (int step = 0; step < 600; ++step) {
    if (step % 4 == 0 && step < kOverloadedSteps) users_by_step.emplace(step, 10);
    std::size_t attempts = 0;
    for (auto it = users_by_step.begin(); it != users_by_step.end() && it->first <= step;
         it = users_by_step.erase(it))
      for (int user = 0; user < it->second; ++user, ++attempts) {
        if (controller.admits(RequestClass::Submission, draw()))
          ++served;
        else
          users_by_step.emplace(step + 1 + steps_until_retry(), 1);
      }
    if (step >= 400 && step < kOverloadedSteps) late_attempts += attempts;
    controller.update(step < kOverloadedSteps ? 1s : 0s);
  }
  EXPECT_GT(controller.retry_after(RequestClass::Submission), 0s);
  EXPECT_LT(late_attempts / 20, 60U) << "a second";
  EXPECT_GT(served, 400U);
}
}  // namespace
}  // namespace limemast::overload

#include "model/task_ownership_model.hpp"

#include <cstdio>

#include <gtest/gtest.h>

namespace limemast::model::task_ownership {
namespace {
constexpr std::size_t kMaxDepth = 24;

Outcome check(const char* name, const Variant& variant) {
  auto out = search(variant, kMaxDepth);
  std::printf("%s: %zu states, depth %zu%s%s\n", name, out.states, out.depth,
              out.violation.empty() ? "" : ", ", out.violation.c_str());
  return out;
}

TEST(TaskOwnershipModel, AllSafeguardsTogetherPreventViolations) {
  const auto out = check("all safeguards", {});
  EXPECT_EQ(out.violation, "");
  EXPECT_GT(out.states, 1'000u);
}
// Each of the following variants disables one safeguard; the checker must find the violation.
TEST(TaskOwnershipModel, FindsLateWriteWithoutRevisionCheck) {
  EXPECT_TRUE(check("no revision check", {.write_checks_revision = false})
                  .violation.starts_with("cleared_but_unrecorded"));
}
TEST(TaskOwnershipModel, FindsOldHeartbeatTrustedByNewOwner) {
  EXPECT_TRUE(check("old heartbeat trusted", {.heartbeat_must_show_epoch = false})
                  .violation.starts_with("ran_twice"));
}
TEST(TaskOwnershipModel, FindsPeerNoticeIgnoredWhileStoreRejectsReceiver) {
  EXPECT_TRUE(check("peer notice ignored", {.peer_notice_ends_job = false})
                  .violation.starts_with("ran_after_notice"));
}
TEST(TaskOwnershipModel, FindsRenewalsThatExtendAuthorityDespiteStalledWatch) {
  EXPECT_TRUE(check("authority bound by renewals alone", {.authority_bound_by_watch = false})
                  .violation.starts_with("ran_cancelled"));
}
TEST(TaskOwnershipModel, FindsRepeatedStartOfAttemptForgottenWithoutRaisingTheToken) {
  EXPECT_TRUE(check("forget keeps the token", {.forget_raises_token = false})
                  .violation.starts_with("ran_twice"));
}
TEST(TaskOwnershipModel, FindsRepeatedStartThatHadTheLastTokenOfItsEpoch) {
  EXPECT_TRUE(check("last token starts tasks", {.last_token_starts_nothing = false})
                  .violation.starts_with("ran_twice"));
}
}  // namespace
}  // namespace limemast::model::task_ownership

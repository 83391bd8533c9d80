#include "diagnostics/pending_reason.hpp"

#include <set>

#include <gtest/gtest.h>

namespace limemast::diagnostics {
namespace {
TEST(PendingReason, NamesAndExplanationsAreUnique) {
  std::set<std::string> names;
  std::set<std::string> explanations;
  for (const auto reason : kAllPendingReasons) {
    names.insert(name_of(reason));
    explanations.insert(explain(reason));
  }
  EXPECT_EQ(names.size(), kPendingReasons);
  EXPECT_EQ(explanations.size(), kPendingReasons);
  EXPECT_FALSE(names.contains(""));
}
}  // namespace
}  // namespace limemast::diagnostics

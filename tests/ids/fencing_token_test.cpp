#include <gtest/gtest.h>

#include "ids/fencing.hpp"

namespace limemast::ids {
namespace {
constexpr EpochNumber kEpoch(175);
constexpr EpochNumber kNextEpoch(176);
constexpr int kTokensPerEpoch = 1 << 16;

TEST(FencingToken, AllRaisesOfAnEpochStayBelowTheNextEpoch) {
  auto token = FencingToken::base(kEpoch);
  for (int raises = 1; raises < kTokensPerEpoch; ++raises) {
    EXPECT_FALSE(token.is_last_of_epoch());
    EXPECT_GT(token.next(), token);
    token = token.next();
    EXPECT_EQ(token.epoch(), kEpoch);
  }
  EXPECT_TRUE(token.is_last_of_epoch());
  EXPECT_LT(token, FencingToken::base(kNextEpoch));
}

TEST(FencingToken, LastTokenOfAnEpochIsItsOwnSuccessor) {
  const FencingToken last(FencingToken::base(kNextEpoch).value() - 1);
  EXPECT_TRUE(last.is_last_of_epoch());
  EXPECT_EQ(last.next(), last);
}
}  // namespace
}  // namespace limemast::ids

// The token of commands is one of the epoch that the controller has read.
#include "machines/attached_machines.hpp"

#include <gtest/gtest.h>

namespace limemast::machines {
namespace {
using ids::EpochNumber;
using ids::FencingToken;

constexpr EpochNumber kEpoch{6}, kNextEpoch{25};

FencingToken raised(EpochNumber epoch, int times) {
  auto token = FencingToken::base(epoch);
  for (int i = 0; i < times; ++i) token = token.next();
  return token;
}

TEST(TokenInEpoch, IsTheHighestOfTheEpoch) {
  EXPECT_EQ(token_in_epoch(kEpoch, {}, {}), raised(kEpoch, 0));
  EXPECT_EQ(token_in_epoch(kEpoch, raised(kEpoch, 2), raised(kEpoch, 1)), raised(kEpoch, 2));
  EXPECT_EQ(token_in_epoch(kEpoch, raised(kEpoch, 1), raised(kEpoch, 3)), raised(kEpoch, 3));
  EXPECT_EQ(token_in_epoch(kNextEpoch, raised(kEpoch, 9), raised(kEpoch, 3)),
            raised(kNextEpoch, 0));
}

// Guards against a deposed controller that takes up the token of its successor from the machine.
TEST(TokenInEpoch, IsNoTokenThatTheMachineHasOfLaterEpoch) {
  EXPECT_EQ(token_in_epoch(kEpoch, raised(kNextEpoch, 0), {}), std::nullopt);
}

// Guards against a deposed controller that takes up the token of its successor from a message.
TEST(TokenInEpoch, IsNoTokenThatAnotherControllerDemandsInLaterEpoch) {
  EXPECT_EQ(token_in_epoch(kEpoch, raised(kEpoch, 1), raised(kNextEpoch, 1)), std::nullopt);
}

TEST(TokenInEpoch, LastTokenOfTheEpochBelongsToIt) {
  const auto last = FencingToken(raised(EpochNumber(7), 0).value() - 1);
  EXPECT_EQ(token_in_epoch(kEpoch, last, {}), last);
  EXPECT_EQ(token_in_epoch(kEpoch, FencingToken(last.value() + 1), {}), std::nullopt);
}
}  // namespace
}  // namespace limemast::machines

#include "machines/command_queue.hpp"

#include <gtest/gtest.h>

namespace limemast::machines {
namespace {
using wire::CommandKind;
constexpr std::uint64_t kIncarnation = 1, kSequence = 7;
constexpr ids::FencingToken kToken(11468801);
const TaskAttempt kAttempt{"wk-675509", 23, 2936013769};

/// Whether a forget after a start of this kind must raise the token.
class CommandQueueForgetTest : public testing::Test {
 protected:
  void add_start() {
    InFlightStart start;
    start.command = command_for(CommandKind::Start, kAttempt);
    start.incarnation = kIncarnation;
    queue_.add_start(start);
  }
  void append_forget() { queue_.append_once(command_for(CommandKind::Forget, kAttempt)); }
  CommandQueue queue_;
};

TEST_F(CommandQueueForgetTest, CountsAttemptStartedByRequestAsDirect) {
  add_start();
  queue_.take_for_request(kIncarnation, kToken, true);
  EXPECT_FALSE(queue_.has_pending_forget_of_direct_start());
  append_forget();
  EXPECT_TRUE(queue_.has_pending_forget_of_direct_start());
}

TEST_F(CommandQueueForgetTest, DoesNotCountAttemptStartedInResponse) {
  add_start();
  queue_.take_for_response(kIncarnation, kSequence);
  append_forget();
  EXPECT_FALSE(queue_.has_pending_forget_of_direct_start());
}

TEST_F(CommandQueueForgetTest, CountsAttemptOfAnotherControllerAsDirect) {
  append_forget();
  EXPECT_TRUE(queue_.has_pending_forget_of_direct_start());
}

TEST_F(CommandQueueForgetTest, DoesNotCountRepeatedForget) {
  add_start();
  queue_.take_for_response(kIncarnation, kSequence);
  append_forget();
  queue_.take_for_response(kIncarnation, kSequence + 1);
  append_forget();
  EXPECT_FALSE(queue_.has_pending_forget_of_direct_start());
}

TEST_F(CommandQueueForgetTest, CountsOldestAttemptsAsDirectWhenTooManyAreKept) {
  add_start();
  queue_.take_for_response(kIncarnation, kSequence);
  for (std::uint32_t index = 0; index < 1000; ++index) {
    InFlightStart start;
    start.command = command_for(CommandKind::Start, TaskAttempt{"wk-000001", index, 1});
    start.incarnation = kIncarnation;
    queue_.add_start(start);
  }
  queue_.take_for_response(kIncarnation, kSequence + 1);
  append_forget();
  EXPECT_TRUE(queue_.has_pending_forget_of_direct_start());
}
}  // namespace
}  // namespace limemast::machines

// Compares help texts, `settings --explain` and error messages with recorded outputs and exit
// codes.
#include <gtest/gtest.h>

#include "compat/golden.hpp"

namespace limemast::compat {
namespace {
TEST(RecordedCommands, MatchRecordedOutputs) {
  std::size_t count = 0;
  for (const auto& line : read_lines(std::filesystem::path(COMPAT_GOLDEN) / kCommandsFile)) {
    const auto recorded = command_case(line);
    auto actual = recorded;
    run_command(LIMEMAST_BINARY, actual);
    const auto what =
        recorded.arguments + (recorded.files.empty() ? "" : "\n" + recorded.files[0].second);
    EXPECT_EQ(actual.code, recorded.code) << what;
    EXPECT_EQ(actual.out, recorded.out) << what;
    EXPECT_EQ(actual.error, recorded.error) << what;
    ++count;
  }
  EXPECT_GT(count, 50u);
}
}  // namespace
}  // namespace limemast::compat

#include "messages/quota.hpp"

#include "messages/round_trip.hpp"

namespace limemast::messages {
namespace {
/// Memory has no quota and is not encoded.
wire::Resources amount(double cpus, double accelerators) {
  return {.cpus = cpus, .ram_gb = 0, .accelerators = accelerators};
}

TEST(QuotaDemand, RoundTrip) {
  const QuotaDemand message{.teams = {{"search", {.held = amount(0.5, 0), .wanted = amount(0, 0)}},
                                      {"vision", {.held = amount(8, 1), .wanted = amount(16, 2)}}},
                            .serial = 3};
  const auto* literal = R"({
    "teams":{"search":{"held":[0.5,0.0],"wanted":[0.0,0.0]},
             "vision":{"held":[8.0,1.0],"wanted":[16.0,2.0]}},
    "serial":3})";
  EXPECT_STREQ(QuotaDemand::kKind, "budget");
  expect_round_trip(message, literal);
  expect_fields_required<QuotaDemand>(literal);
  EXPECT_THROW(
      wire::json::parse(R"({"teams":{"vision":{"held":[8.0,1.0]}},"serial":3})").get<QuotaDemand>(),
      wire::json::exception);
}

TEST(QuotaGrant, RoundTrip) {
  const QuotaGrant message{.teams = {{"search", amount(0, 0)}, {"vision", amount(24, 3)}},
                           .serial = 4};
  const auto* literal = R"({"teams":{"search":[0.0,0.0],"vision":[24.0,3.0]},"serial":4})";
  EXPECT_STREQ(QuotaGrant::kKind, "grant");
  expect_round_trip(message, literal);
  expect_fields_required<QuotaGrant>(literal);
}
}  // namespace
}  // namespace limemast::messages

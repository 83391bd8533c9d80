#include "messages/machines.hpp"

#include "messages/round_trip.hpp"

namespace limemast::messages {
namespace {
wire::Heartbeat heartbeat() {
  return {.machine = "n-000231",
          .address = "10.1.0.232:9000",
          .type = "g8",
          .zone = "a",
          .spot = true,
          .incarnation = 1,
          .sequence = 88,
          .fencing_token = ids::FencingToken(41),
          .preemption_notice = wire::Seconds(9.5),
          .tasks = {{"wk-000412", 3, 2, wire::TaskPhase::Running, wire::ExitCause::None},
                    {"wk-000398", 0, 1, wire::TaskPhase::Exited, wire::ExitCause::Done}}};
}

TEST(ForwardHeartbeat, RoundTrip) {
  const ForwardHeartbeat message{.heartbeat = heartbeat(), .sent_by_worker = true};
  const auto* literal = R"({
    "report":["n-000231","10.1.0.232:9000","g8","a",true,1,88,41,9.5,
              "wk-000412",3,2,2,0,"wk-000398",0,1,4,1],
    "hello":true})";
  EXPECT_STREQ(ForwardHeartbeat::kKind, "report");
  expect_round_trip(message, literal);
  expect_fields_required<ForwardHeartbeat>(literal);
}

TEST(ForwardHeartbeat, WithoutPreemptionNoticeNullIsWritten) {
  auto without_notice = heartbeat();
  without_notice.preemption_notice.reset();
  without_notice.tasks.clear();
  expect_round_trip(
      ForwardHeartbeat{.heartbeat = without_notice, .sent_by_worker = false},
      R"({"report":["n-000231","10.1.0.232:9000","g8","a",true,1,88,41,null],"hello":false})");
}

TEST(ForwardHeartbeat, UnparsableHeartbeatIsEmpty) {
  expect_round_trip(ForwardHeartbeat{}, R"({"report":null,"hello":false})");
  const auto message = wire::json::parse(R"({"report":["n-000231"]})").get<ForwardHeartbeat>();
  EXPECT_FALSE(message.heartbeat);
}

TEST(HeartbeatDigest, RoundTrip) {
  const HeartbeatDigest message{
      .machines = {{"n-000231", 1, 88}, {"n-000007", 3, 2}}, .store_available = true, .load = 0.25};
  const auto* literal =
      R"({"machines":["n-000231",1,88,"n-000007",3,2],"served":true,"load":0.25})";
  EXPECT_STREQ(HeartbeatDigest::kKind, "heard");
  expect_round_trip(message, literal);
  expect_fields_required<HeartbeatDigest>(literal, {"load"});
}

TEST(HeartbeatDigest, MissingLoadFromEarlierBuildsIsZero) {
  const auto message = wire::json::parse(R"({"machines":[],"served":true})").get<HeartbeatDigest>();
  EXPECT_EQ(message.load, 0);
}

TEST(ResendHeartbeats, RoundTrip) {
  const ResendHeartbeats message{.machines = {"n-000231", "n-000007"}};
  const auto* literal = R"({"machines":["n-000231","n-000007"]})";
  EXPECT_STREQ(ResendHeartbeats::kKind, "resend");
  expect_round_trip(message, literal);
  expect_fields_required<ResendHeartbeats>(literal);
}

TEST(AdoptMachines, RoundTrip) {
  const AdoptMachines message{.machines = {{"n-000231", "10.1.0.232:9000"}, {"n-000007", ""}}};
  const auto* literal = R"({"machines":[["n-000231","10.1.0.232:9000"],["n-000007",""]]})";
  EXPECT_STREQ(AdoptMachines::kKind, "claim");
  expect_round_trip(message, literal);
  expect_fields_required<AdoptMachines>(literal);
  EXPECT_THROW(wire::json::parse(R"({"machines":[["n-000231"]]})").get<AdoptMachines>(),
               wire::json::exception);
}

TEST(RaiseFencingToken, RoundTrip) {
  const RaiseFencingToken message{.machine = "n-000231", .token = ids::FencingToken(65537)};
  const auto* literal = R"({"machine":"n-000231","mandate":65537})";
  EXPECT_STREQ(RaiseFencingToken::kKind, "fence");
  expect_round_trip(message, literal);
  expect_fields_required<RaiseFencingToken>(literal);
}
}  // namespace
}  // namespace limemast::messages

#include "messages/tasks.hpp"

#include "messages/round_trip.hpp"

namespace limemast::messages {
namespace {
const SentAt kSentAt{std::chrono::milliseconds(1'700'000'000'123)};

wire::Command stop_command() {
  return {.kind = wire::CommandKind::Stop,
          .uid = "wk-000412",
          .index = 3,
          .attempt = 2,
          .grace_period = wire::Seconds(4.5)};
}

TEST(PullTask, RoundTrip) {
  const PullTask message{
      .uid = "wk-000412", .machine = "n-000231", .incarnation = 5, .sent_at = kSentAt};
  const auto* literal = R"({"uid":"wk-000412","machine":"n-000231","tenure":5,"at":1700000000123})";
  EXPECT_STREQ(PullTask::kKind, "pull");
  expect_round_trip(message, literal);
  expect_fields_required<PullTask>(literal);
}

TEST(NoTask, RoundTrip) {
  const NoTask message{
      .uid = "wk-000412", .machine = "n-000231", .none_left = true, .on_any_machine = true};
  const auto* literal = R"({"uid":"wk-000412","machine":"n-000231","over":true,"job":true})";
  EXPECT_STREQ(NoTask::kKind, "none");
  expect_round_trip(message, literal);
  expect_fields_required<NoTask>(literal, {"job"});
}

TEST(NoTask, MissingScopeFromEarlierBuildsMeansThisMachineOnly) {
  const auto message =
      wire::json::parse(R"({"uid":"wk-000412","machine":"n-000231","over":true})").get<NoTask>();
  EXPECT_FALSE(message.on_any_machine);
}

TEST(StartTask, RoundTrip) {
  const StartTask message{.machine = "n-000231",
                          .incarnation = 5,
                          .uid = "wk-000398",
                          .index = 7,
                          .attempt = 1,
                          .need = {.cpus = 2.5, .ram_gb = 16, .accelerators = 1},
                          .pulled = true,
                          .evictions = {stop_command()},
                          .sent_at = kSentAt};
  const auto* literal = R"({
    "machine":"n-000231","tenure":5,"uid":"wk-000398","index":7,"attempt":1,
    "cpus":2.5,"ram":16.0,"acc":1.0,"pulled":true,
    "evict":[{"verb":"kill","shard":"wk-000412/3","tryNo":2,"windDownS":4.5}],
    "at":1700000000123})";
  EXPECT_STREQ(StartTask::kKind, "run");
  expect_round_trip(message, literal);
  expect_fields_required<StartTask>(literal);
}

TEST(StartTask, UnparsableEvictionIsSkipped) {
  wire::json json = StartTask{.machine = "n-000231",
                              .incarnation = 5,
                              .uid = "wk-000398",
                              .index = 7,
                              .attempt = 1,
                              .need = {},
                              .pulled = false,
                              .evictions = {stop_command()},
                              .sent_at = kSentAt};
  json["evict"].push_back({{"verb", "dance"}});
  EXPECT_EQ(json.get<StartTask>().evictions, std::vector{stop_command()});
}

TEST(CommandWorker, RoundTrip) {
  const CommandWorker message{.machine = "n-000231", .command = stop_command(), .sent_at = kSentAt};
  const auto* literal = R"({
    "machine":"n-000231",
    "order":{"verb":"kill","shard":"wk-000412/3","tryNo":2,"windDownS":4.5},
    "at":1700000000123})";
  EXPECT_STREQ(CommandWorker::kKind, "order");
  expect_round_trip(message, literal);
  expect_fields_required<CommandWorker>(literal);
}

TEST(CommandWorker, OnlyAStopHasAGracePeriod) {
  const wire::Command forget{.kind = wire::CommandKind::Forget,
                             .uid = "wk-000412",
                             .index = 3,
                             .attempt = 2,
                             .grace_period = {}};
  expect_round_trip(
      CommandWorker{.machine = "n-000231", .command = forget, .sent_at = kSentAt},
      R"({"machine":"n-000231","order":{"verb":"clear","shard":"wk-000412/3","tryNo":2},"at":1700000000123})");
}

TEST(CommandWorker, UnparsableCommandIsEmpty) {
  expect_round_trip(
      CommandWorker{.machine = "n-000231", .command = std::nullopt, .sent_at = kSentAt},
      R"({"machine":"n-000231","order":null,"at":1700000000123})");
}

TEST(QueryStart, RoundTrip) {
  const QueryStart message{
      .machine = "n-000231", .incarnation = 5, .uid = "wk-000398", .index = 7, .attempt = 1};
  const auto* literal =
      R"({"machine":"n-000231","tenure":5,"uid":"wk-000398","index":7,"attempt":1})";
  EXPECT_STREQ(QueryStart::kKind, "query");
  expect_round_trip(message, literal);
  expect_fields_required<QueryStart>(literal);
}

TEST(StartResolved, RoundTrip) {
  const StartResolved message{.machine = "n-000231",
                              .incarnation = 5,
                              .sequence = 88,
                              .uid = "wk-000398",
                              .index = 7,
                              .attempt = 1,
                              .arrived = true};
  const auto* literal =
      R"({"machine":"n-000231","tenure":5,"tick":88,"uid":"wk-000398","index":7,"attempt":1,"present":true})";
  EXPECT_STREQ(StartResolved::kKind, "settled");
  expect_round_trip(message, literal);
  expect_fields_required<StartResolved>(literal);
}
}  // namespace
}  // namespace limemast::messages

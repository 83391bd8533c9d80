#include "wire/worker.hpp"

#include <gtest/gtest.h>

namespace limemast::wire {
namespace {
json example() {
  return json::parse(
      R"({"host":"n-000231","address":"10.1.0.232:9000","flavor":"g8","district":"a","reclaimable":true,
    "tenure":1,"tick":88,"mandate":41,"warningS":null,
    "shards":[{"shard":"wk-000412/3","tryNo":2,"phase":"running"},{"shard":"wk-000398/0","tryNo":1,"phase":"exited","cause":"done"}]})");
}

TEST(Heartbeat, RoundTrip) {
  const auto heartbeat = parse_heartbeat(example());
  ASSERT_TRUE(heartbeat);
  EXPECT_FALSE(heartbeat->preemption_notice);
  ASSERT_NE(heartbeat->find("wk-000412", 3, 2), nullptr);
  EXPECT_EQ(heartbeat->find("wk-000412", 3, 1), nullptr);
  EXPECT_EQ(heartbeat->find("wk-000398", 0, 1)->exit_cause, ExitCause::Done);
  EXPECT_EQ(to_json(*parse_heartbeat(to_json(*heartbeat))), to_json(*heartbeat));
}

TEST(Heartbeat, MissingOrInvalidFieldIsRefused) {
  for (const char* field : {"host", "address", "flavor", "district", "reclaimable", "tenure",
                            "tick", "mandate", "shards"}) {
    auto body = example();
    body.erase(field);
    EXPECT_FALSE(parse_heartbeat(body)) << field;
    body[field] = json::object();
    EXPECT_FALSE(parse_heartbeat(body)) << field;
  }
  EXPECT_FALSE(parse_heartbeat(json::array()));
}

TEST(Heartbeat, OrderIsByIncarnationThenSequence) {
  Heartbeat earlier;
  earlier.incarnation = 1;
  earlier.sequence = 900;
  Heartbeat later;
  later.incarnation = 2;
  later.sequence = 3;
  EXPECT_TRUE(later.newer_than(earlier));
  EXPECT_FALSE(earlier.newer_than(later));
  EXPECT_FALSE(earlier.newer_than(earlier));
}

TEST(Heartbeat, UnknownPhaseIsParsedAsRunningAndUnknownCauseAsError) {
  auto body = example();
  body["shards"][0]["phase"] = "pondering";
  body["shards"][1]["cause"] = "whim";
  const auto heartbeat = parse_heartbeat(body);
  ASSERT_TRUE(heartbeat);
  EXPECT_FALSE(heartbeat->tasks[0].exited());
  EXPECT_EQ(heartbeat->tasks[0].phase, TaskPhase::Running);
  EXPECT_EQ(heartbeat->tasks[1].exit_cause, ExitCause::Error);
}

TEST(Heartbeat, PreemptionNoticeIsOptionalAndANumber) {
  auto body = example();
  body["warningS"] = 9.5;
  EXPECT_EQ(parse_heartbeat(body)->preemption_notice, Seconds(9.5));
  body.erase("warningS");
  EXPECT_EQ(parse_heartbeat(body)->preemption_notice, std::nullopt);
  body["warningS"] = "soon";
  EXPECT_FALSE(parse_heartbeat(body));
}

TEST(Command, RoundTripOfEachKind) {
  const std::pair<Command, const char*> commands[] = {
      {{CommandKind::Start, "wk-000412", 4, 2, Seconds(0)},
       R"({"shard":"wk-000412/4","tryNo":2,"verb":"run"})"},
      {{CommandKind::Stop, "wk-000377", 1, 1, Seconds(10)},
       R"({"shard":"wk-000377/1","tryNo":1,"verb":"kill","windDownS":10.0})"},
      {{CommandKind::Forget, "wk-000398", 0, 1, Seconds(0)},
       R"({"shard":"wk-000398/0","tryNo":1,"verb":"clear"})"}};
  for (const auto& [command, literal] : commands) {
    EXPECT_EQ(to_json(command).dump(), literal);
    EXPECT_TRUE(parse_command(json::parse(literal)) == command) << literal;
  }
}
}  // namespace
}  // namespace limemast::wire

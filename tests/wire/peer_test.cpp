#include "wire/peer.hpp"

#include <random>

#include <gtest/gtest.h>

#include "wire/cbor.hpp"

namespace limemast::wire {
namespace {
TaskStatus random_task(std::mt19937_64& random) {
  TaskStatus task;
  task.uid = "wk-00000" + std::to_string(random() % 10);
  task.index = static_cast<std::uint32_t>(random() % 100000);
  task.attempt = random();
  task.phase = static_cast<TaskPhase>(random() % 5);
  if (task.exited()) task.exit_cause = static_cast<ExitCause>(1 + random() % 8);
  return task;
}

Heartbeat random_heartbeat(std::mt19937_64& random) {
  Heartbeat heartbeat;
  heartbeat.machine = "n-000" + std::to_string(random() % 1000);
  heartbeat.address = "10.1.0." + std::to_string(random() % 250) + ":9000";
  heartbeat.type = "small";
  heartbeat.zone = "a";
  heartbeat.spot = random() % 2 == 0;
  heartbeat.incarnation = random() % 5;
  heartbeat.sequence = random() % 1000;
  heartbeat.fencing_token = ids::FencingToken(random());
  if (random() % 3 == 0)
    heartbeat.preemption_notice = Seconds(static_cast<double>(random() % 100) / 4);
  for (auto n = random() % 6; n > 0; --n) heartbeat.tasks.push_back(random_task(random));
  return heartbeat;
}

TEST(PeerHeartbeat, RoundTripThroughCbor) {
  std::mt19937_64 random(1);
  for (int i = 0; i < 500; ++i) {
    const auto heartbeat = random_heartbeat(random);
    const auto bytes = to_cbor(to_peer_json(heartbeat));
    const auto back = parse_peer_heartbeat(*from_cbor(bytes.data(), bytes.size()));
    ASSERT_TRUE(back);
    EXPECT_EQ(to_json(*back), to_json(heartbeat));
    EXPECT_TRUE(*back == heartbeat);
  }
}

// Covers messages of another protocol version and corrupted ones, which must not cause reads out of
// bounds.
TEST(PeerHeartbeat, MalformedMessageIsRefused) {
  std::mt19937_64 random(2);
  int refused = 0;
  for (int i = 0; i < 500; ++i) {
    auto message = to_peer_json(random_heartbeat(random));
    if (i % 2 == 0)
      message.erase(random() % message.size());
    else
      message[random() % message.size()] = json::object();
    refused += !parse_peer_heartbeat(message);
  }
  EXPECT_EQ(refused, 500);
  EXPECT_FALSE(parse_peer_heartbeat(json::array()));
  EXPECT_FALSE(parse_peer_heartbeat(json::object()));
}

TEST(Heartbeat, SameContentIgnoresSequenceAndTimeLeftInNotice) {
  std::mt19937_64 random(3);
  auto heartbeat = random_heartbeat(random);
  heartbeat.preemption_notice = Seconds(9);
  auto next = heartbeat;
  next.sequence += 1;
  next.preemption_notice = Seconds(7);
  EXPECT_TRUE(heartbeat.same_content_as(next));
  for (auto change : {0, 1, 2, 3}) {
    auto other = next;
    if (change == 0) other.fencing_token = other.fencing_token.next();
    if (change == 1) other.incarnation += 1;
    if (change == 2) other.preemption_notice.reset();
    if (change == 3)
      other.tasks.push_back({"wk-000001", 1, 1, TaskPhase::Running, ExitCause::None});
    EXPECT_FALSE(heartbeat.same_content_as(other)) << change;
  }
}
}  // namespace
}  // namespace limemast::wire

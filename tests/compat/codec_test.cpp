// Recorded messages, records and inputs can still be parsed and are encoded to the same bytes.
#include <functional>

#include <gtest/gtest.h>

#include "cluster/records.hpp"
#include "compat/golden.hpp"
#include "compat/traffic.hpp"
#include "drains/drain.hpp"
#include "machines/lingering_tasks.hpp"
#include "messages/jobs.hpp"
#include "messages/machines.hpp"
#include "messages/membership.hpp"
#include "messages/operators.hpp"
#include "messages/probes.hpp"
#include "messages/quota.hpp"
#include "messages/tasks.hpp"
#include "wire/cbor.hpp"
#include "wire/cloud.hpp"
#include "wire/peer.hpp"
#include "wire/worker.hpp"

namespace limemast::compat {
namespace {
const std::filesystem::path kGoldenDirectory = COMPAT_GOLDEN;

std::string text(const ordered_json& line, const char* field) {
  return line.at(field).get<std::string>();
}
/// Recorded store records whose keys have a prefix: the rest of the key, and the value.
std::vector<std::pair<std::string, json>> records(const std::string& prefix) {
  std::vector<std::pair<std::string, json>> out;
  for (const auto& line : read_lines(kGoldenDirectory / kRecordsFile))
    if (line.at("kind") == "record " + prefix)
      out.emplace_back(text(line, "key").substr(prefix.size()),
                       json::parse(line.at("value").dump()));
  return out;
}

using RoundTrip = std::function<json(const json&)>;
template <class Message>
std::pair<std::string, RoundTrip> round_trip() {
  return {Message::kKind, [](const json& message) { return json(message.get<Message>()); }};
}
/// For each kind of message, a function that decodes it into its type and encodes it again.
const std::map<std::string, RoundTrip>& round_trips() {
  using namespace messages;
  static const std::map<std::string, RoundTrip> all{
      round_trip<MemberHeartbeat>(),   round_trip<ForwardHeartbeat>(),
      round_trip<HeartbeatDigest>(),   round_trip<ResendHeartbeats>(),
      round_trip<AdoptMachines>(),     round_trip<RaiseFencingToken>(),
      round_trip<PullTask>(),          round_trip<NoTask>(),
      round_trip<StartTask>(),         round_trip<CommandWorker>(),
      round_trip<QueryStart>(),        round_trip<StartResolved>(),
      round_trip<PlaceProbes>(),       round_trip<ProbesRejected>(),
      round_trip<ProbesDropped>(),     round_trip<PendingTasks>(),
      round_trip<LongTaskMapUpdate>(), round_trip<JobEnded>(),
      round_trip<JobEndedAck>(),       round_trip<StatusQuery>(),
      round_trip<StatusReply>(),       round_trip<CancelJob>(),
      round_trip<CancelReply>(),       round_trip<QuotaDemand>(),
      round_trip<QuotaGrant>(),        round_trip<OperatorQuery>(),
      round_trip<OperatorReply>()};
  return all;
}

TEST(RecordedMessages, RoundTripThroughEachType) {
  std::set<std::string> seen;
  for (const auto& line : read_lines(kGoldenDirectory / kMessagesFile)) {
    auto message = json::parse(line.at("message").dump());
    const auto kind = message.at("t").get<std::string>();
    const auto found = round_trips().find(kind);
    ASSERT_NE(found, round_trips().end()) << kind;
    for (const auto* field : {"t", "to", "from"}) message.erase(field);
    EXPECT_EQ(found->second(message).dump(), message.dump()) << kind;
    seen.insert(kind);
  }
  EXPECT_EQ(seen.size(), round_trips().size()) << "a message type has no recorded message";
}

TEST(RecordedMessages, RoundTripThroughCbor) {
  std::size_t count = 0;
  for (const auto& line : read_lines(kGoldenDirectory / kMessagesFile)) {
    const auto bytes = from_hex(text(line, "cbor"));
    const auto message = wire::from_cbor(bytes.data(), bytes.size());
    ASSERT_TRUE(message) << line.at("kind");
    EXPECT_EQ(message->dump(), json::parse(line.at("message").dump()).dump());
    EXPECT_EQ(to_hex(wire::to_cbor(*message)), text(line, "cbor")) << line.at("kind");
    ++count;
  }
  EXPECT_GT(count, 30u);
}

TEST(RecordedMessages, ForwardedHeartbeatsRoundTrip) {
  std::size_t count = 0;
  for (const auto& line : read_lines(kGoldenDirectory / kMessagesFile)) {
    if (line.at("kind") != "message report") continue;
    const auto bytes = from_hex(text(line, "cbor"));
    const auto forwarded = wire::from_cbor(bytes.data(), bytes.size())->at("report");
    const auto heartbeat = wire::parse_peer_heartbeat(forwarded);
    ASSERT_TRUE(heartbeat) << forwarded;
    EXPECT_EQ(wire::to_peer_json(*heartbeat).dump(), forwarded.dump());
    ++count;
  }
  EXPECT_GT(count, 1u);
}

TEST(RecordedInputs, HeartbeatsRoundTrip) {
  std::size_t count = 0;
  for (const auto& line : read_lines(kGoldenDirectory / kInputsFile)) {
    if (line.at("kind") != "/hello") continue;
    const auto heartbeat = wire::parse_heartbeat(json::parse(text(line, "text")));
    ASSERT_TRUE(heartbeat) << text(line, "text");
    EXPECT_EQ(wire::to_json(*heartbeat).dump(), text(line, "text"));
    ++count;
  }
  EXPECT_GT(count, 3u);
}

TEST(RecordedInputs, SubmissionsRoundTrip) {
  std::size_t count = 0;
  for (const auto& line : read_lines(kGoldenDirectory / kInputsFile)) {
    if (line.at("kind") != "/submissions") continue;
    std::string error;
    const auto spec = wire::parse_submission(json::parse(text(line, "text")), error);
    ASSERT_TRUE(spec) << error << ": " << text(line, "text");
    EXPECT_EQ(wire::to_json(*spec).dump(), text(line, "text"));
    ++count;
  }
  EXPECT_GT(count, 3u);
}

TEST(RecordedInputs, EverySubmissionFieldIsParsed) {
  const auto all = json::parse(R"({
    "uid":"wk-000412","workload":"gis-sync","owner":"red","shape":"group","rank":"urgent",
    "shards":7,"cpus":1.5,"accelerators":2.0,"ramGb":3.25,"bundle":"img-1","sizeGb":0.5,
    "flavors":["small","large"],"district":"b","samePlace":true,"apart":false,"reclaimable":true,
    "expectS":61.0,"snapshotEveryS":10.0,"snapshotCostS":1.5,"dueS":90.0})");
  std::string error;
  const auto spec = wire::parse_submission(all, error);
  ASSERT_TRUE(spec) << error;
  EXPECT_EQ(wire::to_json(*spec), all);
  for (const char* required : {"uid", "workload", "owner", "shape", "rank", "shards", "cpus",
                               "accelerators", "ramGb", "bundle", "sizeGb", "samePlace", "apart",
                               "reclaimable", "expectS", "snapshotEveryS", "snapshotCostS"}) {
    auto without = all;
    without.erase(required);
    EXPECT_FALSE(wire::parse_submission(without, error)) << required;
    EXPECT_EQ(error, required);
  }
  for (const char* optional : {"flavors", "district", "dueS"}) {
    auto without = all;
    without.erase(optional);
    const auto parsed = wire::parse_submission(without, error);
    ASSERT_TRUE(parsed) << optional;
    EXPECT_EQ(wire::to_json(*parsed), without);
  }
  for (const char* shape : {"daemon", "batch", "group"})
    for (const char* rank : {"low", "standard", "urgent", "production"}) {
      auto other = all;
      other["shape"] = shape, other["rank"] = rank;
      const auto parsed = wire::parse_submission(other, error);
      ASSERT_TRUE(parsed) << shape << ' ' << rank;
      EXPECT_EQ(wire::to_json(*parsed), other);
    }
}

TEST(RecordedInputs, EveryTaskPhaseAndCauseRoundTrips) {
  auto heartbeat = json::parse(R"({
    "host":"n-1","address":"n-1:9000","flavor":"small","district":"a","reclaimable":true,
    "tenure":2,"tick":3,"mandate":4,"warningS":5.0,"shards":[]})");
  for (const char* phase : {"fetching", "waiting", "running", "saving"})
    heartbeat["shards"].push_back({{"shard", "wk-000001/0"}, {"tryNo", 1}, {"phase", phase}});
  for (const char* cause :
       {"done", "halted", "error", "full", "in_use", "no_such", "peers", "alone"})
    heartbeat["shards"].push_back(
        {{"shard", "wk-000001/1"}, {"tryNo", 2}, {"phase", "exited"}, {"cause", cause}});
  heartbeat = json::parse(heartbeat.dump());  // gives numbers the types that parsed text has
  const auto parsed = wire::parse_heartbeat(heartbeat);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(wire::to_json(*parsed), heartbeat);
  // Controllers encode phases and causes as numbers when they forward heartbeats.
  EXPECT_EQ(wire::to_peer_json(*parsed).dump(),
            R"(["n-1","n-1:9000","small","a",true,2,3,4,5.0,)"
            R"("wk-000001",0,1,0,0,"wk-000001",0,1,1,0,"wk-000001",0,1,2,0,"wk-000001",0,1,3,0,)"
            R"("wk-000001",1,2,4,1,"wk-000001",1,2,4,2,"wk-000001",1,2,4,3,"wk-000001",1,2,4,4,)"
            R"("wk-000001",1,2,4,5,"wk-000001",1,2,4,6,"wk-000001",1,2,4,7,"wk-000001",1,2,4,8])");
  for (const char* required : {"host", "address", "flavor", "district", "reclaimable", "tenure",
                               "tick", "mandate", "shards"}) {
    auto without = heartbeat;
    without.erase(required);
    EXPECT_FALSE(wire::parse_heartbeat(without)) << required;
  }
}

TEST(RecordedInputs, CatalogAndMachineListAreParsed) {
  const auto types = wire::parse_catalog(json::parse(R"({"flavors":[
    {"name":"small","cpus":8,"ramGb":16,"hourly":0.4,"districts":["a"]},
    {"name":"large","cpus":16.5,"accelerators":2,"ramGb":64,"localGb":50,"fetchGbPerS":0.5,
     "hourly":0.8,"lowPrice":0.24,"readyS":8,"districts":["a","b"]}]})"));
  ASSERT_TRUE(types);
  ASSERT_EQ(types->size(), 2u);
  const auto& plain = (*types)[0];
  EXPECT_EQ(plain.name, "small");
  EXPECT_EQ(plain.accelerators, 0);
  EXPECT_EQ(plain.spot_price, 0.4);
  EXPECT_EQ(plain.boot.count(), 0);
  const auto& full = (*types)[1];
  EXPECT_EQ(full.cpus, 16.5);
  EXPECT_EQ(full.accelerators, 2);
  EXPECT_EQ(full.ram_gb, 64);
  EXPECT_EQ(full.cache_gb, 50);
  EXPECT_EQ(full.fetch_gb_per_s, 0.5);
  EXPECT_EQ(full.price, 0.8);
  EXPECT_EQ(full.spot_price, 0.24);
  EXPECT_EQ(full.boot.count(), 8);
  EXPECT_EQ(full.zones, (std::vector<std::string>{"a", "b"}));
  bool truncated = false;
  const auto machines = wire::parse_machines(json::parse(R"({"truncated":true,"hosts":[
    {"uid":"n-1","flavor":"small","district":"a","reclaimable":false,"phase":"booting"},
    {"uid":"n-2","address":"n-2:9000","flavor":"large","district":"b","reclaimable":true,
     "phase":"running","heldS":7.5},
    {"uid":"n-3","flavor":"large","district":"b","reclaimable":true,"phase":"failed"}]})"),
                                             truncated);
  ASSERT_TRUE(machines);
  EXPECT_TRUE(truncated);
  ASSERT_EQ(machines->size(), 3u);
  EXPECT_EQ((*machines)[0].phase, wire::MachinePhase::Booting);
  EXPECT_FALSE((*machines)[0].spot);
  EXPECT_EQ((*machines)[1].phase, wire::MachinePhase::Running);
  EXPECT_EQ((*machines)[1].address, "n-2:9000");
  EXPECT_EQ((*machines)[1].type, "large");
  EXPECT_EQ((*machines)[1].zone, "b");
  EXPECT_EQ((*machines)[1].rented_for.count(), 7.5);
  EXPECT_TRUE((*machines)[1].spot);
  EXPECT_EQ((*machines)[2].phase, wire::MachinePhase::Failed);
}

/// Covers the commands in heartbeat responses and direct commands to machines.
TEST(RecordedCommandsToMachines, RoundTrip) {
  std::size_t count = 0;
  for (const auto& line : read_lines(kGoldenDirectory / kHttpFile)) {
    const auto body = json::parse(text(line, "body"), nullptr, false);
    if (!body.is_object() || !body.contains("orders")) continue;
    std::vector<wire::Command> commands;
    for (const auto& encoded : body.at("orders")) {
      const auto command = wire::parse_command(encoded);
      ASSERT_TRUE(command) << encoded;
      EXPECT_EQ(wire::to_json(*command).dump(), encoded.dump());
      commands.push_back(*command);
    }
    auto encoded_body = wire::commands_body(body.at("mandate").get<ids::FencingToken>(), commands);
    if (body.contains("tenure")) encoded_body["tenure"] = body["tenure"];
    EXPECT_EQ(encoded_body.dump(), text(line, "body"));
    ++count;
  }
  EXPECT_GT(count, 2u);
}

TEST(RecordedCommandsToMachines, EveryVerbRoundTrips) {
  const std::string text =
      R"({"mandate":7,"orders":[{"shard":"wk-000001/0","tryNo":1,"verb":"run"},)"
      R"({"shard":"wk-000001/1","tryNo":2,"verb":"kill","windDownS":1.5},)"
      R"({"shard":"wk-000001/2","tryNo":3,"verb":"clear"}]})";
  std::vector<wire::Command> commands;
  const auto body = json::parse(text);
  for (const auto& encoded : body.at("orders")) {
    const auto command = wire::parse_command(encoded);
    ASSERT_TRUE(command) << encoded;
    commands.push_back(*command);
  }
  EXPECT_EQ(wire::commands_body(ids::FencingToken(7), commands).dump(), text);
  EXPECT_EQ(commands[1].grace_period.count(), 1.5);
  EXPECT_FALSE(wire::parse_command({{"shard", "wk-000001/0"}, {"tryNo", 1u}, {"verb", "go"}}));
}

TEST(RecordedRecords, MembershipRecordsAreParsed) {
  for (const auto& [key_suffix, value] : records("w/generation")) {
    const auto parsed = cluster::read_epoch({value, store::Revision(17)});
    ASSERT_TRUE(parsed) << value;
    EXPECT_EQ(parsed->number, ids::EpochNumber(17));
    EXPECT_EQ(json({{"leader", parsed->leader}, {"members", parsed->members}}), value);
  }
  for (const auto& [key_suffix, value] : records("w/leader")) {
    const auto parsed = cluster::read_leader(value);
    ASSERT_TRUE(parsed) << value;
    EXPECT_EQ(parsed->text(), value.at("tag"));
  }
  for (const auto& [key_suffix, value] : records("w/node/")) {
    const auto parsed = cluster::read_incarnation(value);
    ASSERT_TRUE(parsed) << value;
    EXPECT_EQ(*parsed, value.at("incarnation"));
  }
  for (const auto& [key_suffix, value] : records("w/suspect/")) {
    const auto parsed = cluster::read_suspicion(value);
    ASSERT_TRUE(parsed) << value;
    EXPECT_EQ(parsed->suspect.text(), value.at("of"));
    EXPECT_EQ(parsed->suspected_by.text(), value.at("by"));
    EXPECT_EQ(parsed->evicted, value.value("ruled", false));
  }
  for (const char* prefix : {"w/generation", "w/leader", "w/node/", "w/suspect/"})
    EXPECT_FALSE(records(prefix).empty()) << prefix;
}

TEST(RecordedRecords, MachineAndDrainRecordsRoundTrip) {
  EXPECT_FALSE(records("w/lingering/").empty());
  for (const auto& [key_suffix, value] : records("w/lingering/")) {
    const auto parsed = machines::decode_lingering_tasks(value);
    ASSERT_TRUE(parsed) << value;
    EXPECT_EQ(json(machines::encode_lingering_tasks(*parsed)), value);
  }
  for (const auto& [key_suffix, value] : records("w/machine/")) {
    const auto parsed = cluster::read_machines(value);
    ASSERT_TRUE(parsed) << value;
    EXPECT_EQ(json(*parsed), value);
  }
  for (const auto& [key_suffix, value] : records("w/drain/")) {
    const auto parsed = drains::parse(key_suffix, value);
    ASSERT_TRUE(parsed) << key_suffix << value;
    EXPECT_EQ(drains::id_of(*parsed), key_suffix);
    EXPECT_EQ(drains::to_json(*parsed), value);
  }
  for (const char* prefix : {"w/machine/", "w/drain/", "w/open/", "final/", "progress/"})
    EXPECT_FALSE(records(prefix).empty()) << prefix;
}
}  // namespace
}  // namespace limemast::compat

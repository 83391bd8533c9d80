#include "wire/cloud.hpp"

#include <gtest/gtest.h>

namespace limemast::wire {
namespace {
json page() {
  return json::parse(R"({"truncated":true,"hosts":[
    {"uid":"n-000231","address":"10.1.0.232:9000","flavor":"g8","district":"a","reclaimable":true,
     "phase":"running","heldS":12.5},
    {"uid":"n-000232","flavor":"small","district":"b","reclaimable":false,"phase":"booting"},
    {"uid":"n-000233","flavor":"small","district":"b","reclaimable":false,"phase":"failed"}]})");
}

TEST(MachinePage, ParsesAllFields) {
  const auto read = parse_machines(page());
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->has_more);
  ASSERT_EQ(read->machines.size(), 3u);
  const auto& first = read->machines[0];
  EXPECT_EQ(first.name, "n-000231");
  EXPECT_EQ(first.address, "10.1.0.232:9000");
  EXPECT_EQ(first.type, "g8");
  EXPECT_EQ(first.zone, "a");
  EXPECT_TRUE(first.spot);
  EXPECT_EQ(first.phase, MachinePhase::Running);
  EXPECT_EQ(first.rented_for, Seconds(12.5));
  EXPECT_EQ(read->machines[1].phase, MachinePhase::Booting);
  EXPECT_EQ(read->machines[1].address, "");
  EXPECT_EQ(read->machines[2].phase, MachinePhase::Failed);
}

TEST(MachinePage, BothOverloadsReturnTheSame) {
  bool has_more = false;
  const auto machines = parse_machines(page(), has_more);
  ASSERT_TRUE(machines);
  EXPECT_TRUE(has_more);
  EXPECT_EQ(machines->size(), 3u);
}

TEST(MachinePage, WithoutTruncatedFieldIsTheLastPage) {
  auto body = page();
  body.erase("truncated");
  EXPECT_FALSE(parse_machines(body)->has_more);
}

TEST(MachinePage, MissingFieldIsRefused) {
  for (const char* field : {"uid", "flavor", "district", "reclaimable", "phase"}) {
    auto body = page();
    body["hosts"][1].erase(field);
    EXPECT_FALSE(parse_machines(body)) << field;
  }
  EXPECT_FALSE(parse_machines(json::object()));
  EXPECT_FALSE(parse_machines(json::array()));
}

TEST(Catalog, ParsesFieldsAndAppliesDefaults) {
  const auto types = parse_catalog(json::parse(R"({"flavors":[
    {"name":"small","cpus":4.0,"ramGb":16.0,"hourly":0.2,"districts":["a","b"]},
    {"name":"g8","cpus":32.0,"accelerators":8.0,"ramGb":256.0,"localGb":100.0,"fetchGbPerS":0.5,
     "hourly":9.0,"lowPrice":3.0,"readyS":90.0,"districts":["a"]}]})"));
  ASSERT_TRUE(types);
  ASSERT_EQ(types->size(), 2u);
  const auto& small = types->at(0);
  EXPECT_EQ(small.accelerators, 0);
  EXPECT_EQ(small.spot_price, small.price);
  EXPECT_EQ(small.zones, (std::vector<std::string>{"a", "b"}));
  const auto& large = types->at(1);
  EXPECT_EQ(large.accelerators, 8);
  EXPECT_EQ(large.cache_gb, 100);
  EXPECT_EQ(large.fetch_gb_per_s, 0.5);
  EXPECT_EQ(large.spot_price, 3);
  EXPECT_EQ(large.boot, Seconds(90));
}

TEST(Catalog, MissingFieldIsRefused) {
  EXPECT_FALSE(parse_catalog(json::parse(R"({"flavors":[{"name":"small","cpus":4.0}]})")));
  EXPECT_FALSE(parse_catalog(json::object()));
}
}  // namespace
}  // namespace limemast::wire

#include "drains/eviction_plan.hpp"

#include <gtest/gtest.h>

namespace limemast::drains {
namespace {
using Zones = std::map<std::string, std::uint32_t>;

class EvictionPlanTest : public testing::Test {
 protected:
  static wire::JobSpec service() {
    wire::JobSpec out;
    out.uid = "wk-000001";
    out.service = true;
    out.rank = wire::Rank::Production;
    out.tasks = 4;
    out.cpus = 2;
    return out;
  }
  static wire::JobSpec array() {
    auto out = service();
    out.uid = "wk-000002";
    out.service = false;
    out.rank = wire::Rank::Low;
    return out;
  }
  static TaskOnDrainedMachine task_of(const wire::JobSpec& spec, std::uint32_t index,
                                      const std::string& zone = "a") {
    TaskOnDrainedMachine task;
    task.machine = "old";
    task.zone = zone;
    task.uid = spec.uid;
    task.index = index;
    task.spec = &spec;
    return task;
  }
  static EvictionTarget target(const std::string& zone, double cpus, bool spot = false) {
    return {"new-" + zone, zone, "small", spot, {cpus, 1e9, 0}, {}};
  }
  std::vector<std::optional<EvictionBlocker>> blockers(
      const std::vector<TaskOnDrainedMachine>& tasks, std::vector<EvictionTarget> targets,
      const std::set<std::string>& moving = {}, std::size_t max_evictions = 10) {
    std::vector<std::optional<EvictionBlocker>> out;
    const EvictionLimits limits{[&](const std::string&) -> const Zones& { return zones_; }, moving,
                                max_evictions};
    for (const auto& decision : plan_evictions(tasks, std::move(targets), limits))
      out.push_back(decision.blocker);
    return out;
  }
  wire::JobSpec service_ = service();
  wire::JobSpec array_ = array();
  Zones zones_{{"a", 2}, {"b", 2}};
};
using Blockers = std::vector<std::optional<EvictionBlocker>>;

TEST_F(EvictionPlanTest, OnlyOneReplicaOfAServiceIsMovedAtATime) {
  EXPECT_EQ(blockers({task_of(service_, 0), task_of(service_, 1)}, {target("b", 8)}),
            (Blockers{std::nullopt, EvictionBlocker::DisruptionLimit}));
  EXPECT_EQ(blockers({task_of(service_, 0)}, {target("b", 8)}, {service_.uid}),
            (Blockers{EvictionBlocker::DisruptionLimit}));
}

TEST_F(EvictionPlanTest, NothingIsEvictedWithoutFreeCapacityElsewhere) {
  EXPECT_EQ(blockers({task_of(service_, 0)}, {}), (Blockers{EvictionBlocker::NoCapacity}));
  EXPECT_EQ(blockers({task_of(service_, 0)}, {target("b", 1.5)}),
            (Blockers{EvictionBlocker::NoCapacity}));
  EXPECT_EQ(blockers({task_of(service_, 0)}, {target("b", 8, true)}),
            (Blockers{EvictionBlocker::NoCapacity}))
      << "a service does not go to a spot machine";
  auto other = service_;
  other.uid = "wk-000003";
  EXPECT_EQ(blockers({task_of(service_, 0), task_of(other, 0)}, {target("b", 2)}),
            (Blockers{std::nullopt, EvictionBlocker::NoCapacity}))
      << "capacity is reserved for one task only";
}

TEST_F(EvictionPlanTest, AZoneConstraintBlocksAnEviction) {
  service_.spread = true;  // at most two of four in one zone
  EXPECT_EQ(blockers({task_of(service_, 0)}, {target("b", 8)}),
            (Blockers{EvictionBlocker::ZoneConstraint}));
  EXPECT_EQ(blockers({task_of(service_, 0)}, {target("a", 8)}), (Blockers{std::nullopt}))
      << "a move within its zone does not change the count";
  EXPECT_EQ(blockers({task_of(service_, 0)}, {target("c", 8)}), (Blockers{std::nullopt}));
  service_.spread = false;
  service_.zone = "a";
  EXPECT_EQ(blockers({task_of(service_, 0)}, {target("b", 8)}),
            (Blockers{EvictionBlocker::ZoneConstraint}));
  service_.zone.reset();
  service_.one_zone = true;
  zones_ = {{"a", 2}};
  EXPECT_EQ(blockers({task_of(service_, 0)}, {target("b", 8)}),
            (Blockers{EvictionBlocker::ZoneConstraint}))
      << "the other replica would be in another zone";
  zones_ = {{"a", 1}};
  EXPECT_EQ(blockers({task_of(service_, 0)}, {target("b", 8)}), (Blockers{std::nullopt}));
}

TEST_F(EvictionPlanTest, JobArraysRunToCompletionUntilThePatienceExpires) {
  EXPECT_EQ(blockers({task_of(array_, 0)}, {target("b", 8)}),
            (Blockers{EvictionBlocker::RunsToCompletion}));
  auto late = task_of(array_, 0);
  late.patience_expired = true;
  EXPECT_EQ(blockers({late}, {}), (Blockers{std::nullopt}))
      << "it is requeued even without free capacity elsewhere";
  array_.checkpoint_interval = wire::Seconds(20);
  EXPECT_EQ(blockers({task_of(array_, 0)}, {target("b", 8)}), (Blockers{std::nullopt}))
      << "a task with checkpoints loses nothing";
  EXPECT_EQ(blockers({task_of(array_, 0)}, {}), (Blockers{EvictionBlocker::NoCapacity}));
}

TEST_F(EvictionPlanTest, ServicesReserveCapacityFirstAndTheDisruptionLimitHolds) {
  array_.checkpoint_interval = wire::Seconds(20);
  EXPECT_EQ(blockers({task_of(array_, 0), task_of(service_, 0)}, {target("b", 2)}),
            (Blockers{std::nullopt, EvictionBlocker::NoCapacity}))
      << "decisions are in plan order: the service comes first";
  EXPECT_EQ(blockers({task_of(service_, 0)}, {target("b", 8)}, {}, 0),
            (Blockers{EvictionBlocker::DisruptionLimit}));
  auto silent = task_of(service_, 0);
  silent.reachable = false;
  EXPECT_EQ(blockers({silent}, {target("b", 8)}), (Blockers{EvictionBlocker::Unreachable}));
}

TEST(DrainRecord, OnlyValidRecordsAreAccepted) {
  Drain d;
  d.kind = Kind::Zone;
  d.name = "a-1";
  d.note = "rack \"7\"";
  d.terminate_when_empty = true;
  d.requested_at = net::WallTime(std::chrono::milliseconds(1'700'000'000'123));
  EXPECT_EQ(parse(id_of(d), to_json(d)), d);
  for (const char* id :
       {"", "zone/", "rack/a", "zone/a b", "zone/a/b", "machine/../x", "zone/\xc3\xa9"})
    EXPECT_FALSE(parse_id(id)) << id;
  EXPECT_FALSE(parse("zone/a", wire::json::array()));
  EXPECT_FALSE(parse("zone/a", {{"asked", "now"}}));
  EXPECT_FALSE(parse("zone/a", {{"asked", 1}, {"giveBack", 1}}));
  Drains drains;
  EXPECT_FALSE(drains.put("zone/a", {{"asked", "now"}}));
  EXPECT_TRUE(drains.put("zone/a", {{"asked", 1}, {"giveBack", true}}));
  EXPECT_TRUE(drains.terminates_when_empty("n-1", "a"));
  EXPECT_FALSE(drains.terminates_when_empty("n-1", "b"));
}
}  // namespace
}  // namespace limemast::drains

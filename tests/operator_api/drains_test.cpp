// Drains in simulated deployments: no task runs twice, services move to machines with capacity, and
// a new leader continues a drain.
#include "operator_api/console_cluster.hpp"

namespace limemast {
namespace {
using namespace simulation;

class DrainTest : public OperatedCluster {
 protected:
  DrainTest() : OperatedCluster(5) {}
  json drain(const std::string& id, std::size_t node) {
    const auto all = SimApi(cluster_, node).get("drains");
    if (all.is_object())
      for (const auto& d : all.at("drains"))
        if (d.at("id") == id) return d;
    return {};
  }
  std::uint32_t running(const std::string& uid, std::size_t node) {
    const auto j = SimApi(cluster_, node).get("jobs/" + uid);
    return j.is_object() ? j.value("running", 0u) : 0;
  }
  bool complete(const std::string& id, std::size_t node, Duration patience) {
    for (const auto end = world_.now() + patience; world_.now() < end; cluster_.run(500ms)) {
      const auto d = drain(id, node);
      if (d.is_object() && d.value("complete", json()) == true) return true;
    }
    return false;
  }
  std::size_t tasks_in_zone(const std::string& zone, std::size_t node) {
    std::size_t n = 0;
    const auto machines = SimApi(cluster_, node).get("machines");
    for (const auto& m : machines.at("machines"))
      if (m.value("zone", "") == zone) n += m.value("tasks", 0u);
    return n;
  }
  std::string zone_with_most_tasks() {
    std::string zone = "a";
    for (const char* other : {"b", "c"})
      if (tasks_in_zone(other, 0) > tasks_in_zone(zone, 0)) zone = other;
    return zone;
  }
};

TEST_F(DrainTest, ServicesLeaveTheZoneOneReplicaAtATime) {
  const auto s = service(6, 2);
  cluster_.submit(s);
  cluster_.run(60s);
  ASSERT_EQ(running(s.uid, 0), 6u);
  const auto zone = zone_with_most_tasks();
  ASSERT_GT(tasks_in_zone(zone, 0), 0u);
  const auto id = "zone/" + zone;
  EXPECT_EQ(SimApi(cluster_, 1).send("PUT", "drains/" + id), 201);
  EXPECT_EQ(SimApi(cluster_, 2).send("PUT", "drains/" + id), 200)
      << "a second request does not create a second drain";
  // At most one replica is down at a time. A replica that no heartbeat has reported yet counts as
  // down.
  std::uint32_t least = 6;
  bool done = false;
  for (int i = 0; i < 400 && !done; ++i) {
    cluster_.run(250ms);
    least = std::min(least, running(s.uid, 0));
    const auto d = drain(id, 0);
    done = d.is_object() && d.value("complete", json()) == true && running(s.uid, 0) == 6;
  }
  EXPECT_TRUE(done) << drain(id, 0).dump();
  EXPECT_GE(least, 5u);
  EXPECT_EQ(tasks_in_zone(zone, 0), 0u);
  // No new task starts there until the drain ends.
  const auto more = service(3, 2);
  cluster_.submit(more);
  cluster_.run(30s);
  EXPECT_EQ(running(more.uid, 0), 3u);
  EXPECT_EQ(tasks_in_zone(zone, 0), 0u);
  EXPECT_EQ(SimApi(cluster_, 0).send("DELETE", "drains/" + id), 200);
  EXPECT_EQ(SimApi(cluster_, 0).send("DELETE", "drains/" + id), 404);
}

TEST_F(DrainTest, NewLeaderContinuesTheDrain) {
  const auto s = service(8, 2);
  cluster_.submit(s);
  cluster_.run(60s);
  ASSERT_EQ(running(s.uid, 0), 8u);
  const auto zone = zone_with_most_tasks();
  const auto id = "zone/" + zone;
  const auto leader = cluster_.leader();
  const auto other = (leader + 1) % 3;
  EXPECT_EQ(SimApi(cluster_, other).send("PUT", "drains/" + id), 201);
  cluster_.run(3s);
  cluster_.crash(leader, 20s);
  EXPECT_TRUE(complete(id, other, 200s)) << drain(id, other).dump();
  cluster_.run(30s);
  EXPECT_EQ(running(s.uid, other), 8u);
}

TEST_F(DrainTest, IncompleteDrainReportsTheBlockingTasks) {
  auto bound = service(2, 2);
  bound.zone = "c";
  cluster_.submit(bound);
  auto outside = service(1, 2);  // so that machines exist in another zone
  outside.zone = "b";
  cluster_.submit(outside);
  auto runs_on = service(1, 2);
  runs_on.service = false;
  runs_on.zone = "c";
  runs_on.estimate = wire::Seconds(150);
  cluster_.submit(runs_on);
  for (int i = 0; i < 120 && (running(bound.uid, 0) < 2 || running(outside.uid, 0) < 1 ||
                              running(runs_on.uid, 0) < 1);
       ++i)
    cluster_.run(1s);
  ASSERT_EQ(running(bound.uid, 0), 2u);
  ASSERT_EQ(running(outside.uid, 0), 1u);
  EXPECT_EQ(SimApi(cluster_, 0).send("PUT", "drains/zone/c"), 201);
  cluster_.run(5s);
  const auto d = drain("zone/c", 1);
  ASSERT_TRUE(d.is_object());
  EXPECT_EQ(d.at("complete"), false);
  EXPECT_EQ(d.at("held").at("runs_on").at("tasks"), 1);
  EXPECT_EQ(d.at("held").at("runs_on").at("example"), runs_on.uid + "/0");
  EXPECT_EQ(d.at("held").value("zone_rule", json::object()).value("tasks", 0), 2) << d.dump();
  EXPECT_EQ(running(bound.uid, 0), 2u) << "its tasks keep running where they are";
}

TEST_F(DrainTest, EmptiedMachineIsTerminated) {
  const auto s = service(4, 2);
  cluster_.submit(s);
  cluster_.run(60s);
  std::string name;
  const auto machines = SimApi(cluster_, 0).get("machines");
  for (const auto& m : machines.at("machines"))
    if (m.value("tasks", 0) > 0) name = m.at("name");
  ASSERT_FALSE(name.empty());
  SimApi api(cluster_, 0);
  EXPECT_EQ(api.send("PUT", "drains/machine/" + name, R"({"giveBack":true})"), 201);
  bool gone = false;
  for (int i = 0; i < 200 && !gone; ++i) {
    cluster_.run(500ms);
    gone = true;
    const auto now = api.get("machines");
    for (const auto& m : now.at("machines")) gone = gone && m.at("name") != name;
  }
  EXPECT_TRUE(gone);
  cluster_.run(30s);
  EXPECT_EQ(running(s.uid, 0), 4u);
  EXPECT_TRUE(drain("machine/" + name, 0).is_null()) << "the leader deletes the record";
}

TEST_F(DrainTest, InvalidRequestsAreRejected) {
  SimApi api(cluster_, 0);
  EXPECT_EQ(api.send("PUT", "drains/zone/nowhere"), 404);
  EXPECT_EQ(api.send("PUT", "drains/machine/n-999999"), 404);
  EXPECT_EQ(api.send("PUT", "drains/rack/1"), 400);
  EXPECT_EQ(api.send("PUT", "drains/zone/a", "[]"), 400);
  EXPECT_EQ(api.send("PUT", "drains/zone/a", R"({"note":7})"), 400);
  EXPECT_EQ(api.send("PUT", "drains/zone/a", R"({"giveBack":"yes"})"), 400);
  EXPECT_EQ(api.send("PUT", "drains/zone/a", json{{"note", std::string(201, 'x')}}.dump()), 400);
  EXPECT_EQ(api.send("POST", "drains/zone/a"), 405);
  EXPECT_EQ(api.send("POST", "jobs"), 405);
  EXPECT_EQ(api.send("GET", "jobs?limit=0"), 400);
  EXPECT_EQ(api.send("GET", "jobs?limit=x"), 400);
  EXPECT_EQ(api.send("GET", "jobs/wk-999999"), 404);
  EXPECT_EQ(api.send("GET", "nothing"), 404);
}

/// Random drains combined with random faults: the invariants hold after each step, and all jobs
/// finish.
class RandomDrains : public testing::TestWithParam<std::uint64_t> {};
TEST_P(RandomDrains, InvariantsHoldAndJobsFinish) {
  spdlog::set_level(std::getenv("SIM_LOG") ? spdlog::level::debug : spdlog::level::off);
  SimulatedWorld world(GetParam());
  auto settings = settings_for_tests();
  settings.operators.enabled = true;
  settings.operators.max_requests_per_s = 10'000;
  settings.drains.no_checkpoint_grace_period = wire::Seconds(20);
  SimulatedCluster cluster(world, settings, {});
  cluster.run(30s);
  std::set<std::string> drained;
  auto ask = [&](const std::string& method, const std::string& id) {
    const auto* body = method == "PUT" && world.chance(0.5) ? R"({"giveBack":true})" : "";
    cluster.ask(world.below(3), {method, "/operator/v1/drains/" + id, body},
                [](const net::HttpResponse&) {});
  };
  for (auto end = world.now() + 240s; world.now() < end;) {
    cluster.run(seconds(world.uniform(1, 20)));
    if (world.chance(0.4)) cluster.inject_random_fault();
    const auto* node = cluster.node(world.below(3));
    if (world.chance(0.3)) {
      const auto zone = "zone/" + settings.zones[world.below(3)];
      ask("PUT", zone);
      drained.insert(zone);
    } else if (node && !node->registry().machine_statuses().empty()) {
      auto it = node->registry().machine_statuses().begin();
      std::advance(it, world.below(node->registry().machine_statuses().size()));
      ask("PUT", "machine/" + it->first);
      drained.insert("machine/" + it->first);
    }
    if (world.chance(0.5) && !drained.empty()) {
      const auto it =
          std::next(drained.begin(), static_cast<std::ptrdiff_t>(world.below(drained.size())));
      ask("DELETE", *it);
      drained.erase(it);
    }
    if (drained.empty()) drained.insert("zone/a");
    ASSERT_EQ(violations(cluster.invariants()), "") << "seed " << GetParam();
  }
  cluster.stop_arrivals();
  for (int i = 0; i < 60 && !drained.empty(); ++i) {
    const auto all = SimApi(cluster, world.below(3)).get("drains");
    if (all.is_object() && all.at("drains").empty()) break;
    if (all.is_object())
      for (const auto& d : all.at("drains")) ask("DELETE", d.at("id"));
    cluster.run(2s);
  }
  cluster.run(900s);
  EXPECT_EQ(violations(cluster.invariants()), "") << "seed " << GetParam();
  const auto left = cluster.unfinished();
  EXPECT_TRUE(left.empty()) << left.size() << " left, first " << left.front() << ", seed "
                            << GetParam();
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomDrains, testing::Range<std::uint64_t>(1, 11));
}  // namespace
}  // namespace limemast

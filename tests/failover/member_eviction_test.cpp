#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulation/scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;
using namespace std::chrono_literals;
using Side = SimulatedCluster::Side;

/// Three controllers with machines, services and array jobs, in which one or more controllers fail.
class MemberEvictionTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  static wire::Settings settings() {
    auto s = settings_for_tests();
    s.cancel_timeout = wire::Seconds(40);  // lease of 26 s: a faster removal is an eviction
    s.teams = {{"red", {100, 400, 0, 0}}, {"blue", {}}};
    s.tuning.idle_return = wire::Seconds(90);
    return s;
  }
  void SetUp() override {
    spdlog::set_level(std::getenv("SIM_LOG") ? spdlog::level::info : spdlog::level::off);
    cluster_.stop_arrivals();
    cluster_.run(10s);
    for (int i = 0; i < 4; ++i) submit(true, 4, i % 2 ? "red" : "blue");
    submit(false, 40, "red", 20);
    cluster_.run(60s);  // the array job has completed and freed capacity
  }
  void TearDown() override {
    EXPECT_TRUE(cluster_.invariants().violations().empty())
        << cluster_.invariants().violations().begin()->first << ": "
        << cluster_.invariants().violations().begin()->second;
  }
  std::string submit(bool service, std::uint32_t tasks, const std::string& team,
                     double estimate = 0) {
    auto s = plain(cluster_, service, tasks, team, estimate);
    s.spread = service;
    return simulation::submit(cluster_, s);
  }
  cluster::MembershipEpoch epoch() const {
    cluster::MembershipEpoch newest;
    for (std::size_t i = 0; i < 3; ++i)
      if (const auto* n = cluster_.node(i); n && n->membership().epoch().number > newest.number)
        newest = n->membership().epoch();
    return newest;
  }
  /// Reads the newest epoch, because a suspended leader still considers itself the leader for a
  /// while.
  std::size_t leader_node() const {
    const auto label = epoch().leader.label();
    return static_cast<std::size_t>(label.back() - '0');
  }
  cluster::ControllerId controller(std::size_t node) const {
    return cluster_.node(node)->membership().self();
  }
  /// Runs in steps of 100 ms until `done` returns true or `limit` has passed. Returns the elapsed
  /// time.
  template <class Done>
  Duration until(Duration limit, Done done) {
    const auto begun = world_.now();
    while (world_.now() - begun < limit && !done()) cluster_.run(100ms);
    return world_.now() - begun;
  }
  Duration until_evicted(const cluster::ControllerId& controller, Duration limit) {
    return until(limit, [&] { return !epoch().members.contains(controller); });
  }
  /// Submits a service and returns the time until it runs.
  Duration until_placed(Duration limit) {
    const auto uid = submit(true, 1, "blue");
    return until(limit, [&] { return cluster_.running()[uid] == 1; });
  }
  /// Sum of the eviction counts of all running controllers.
  cluster::MemberEviction::Counts counts() const {
    cluster::MemberEviction::Counts all;
    for (std::size_t i = 0; i < 3; ++i) {
      const auto* n = cluster_.node(i);
      if (!n) continue;
      const auto& counts = n->member_eviction().counts();
      all.suspicions += counts.suspicions;
      all.refuted += counts.refuted;
      all.evictions += counts.evictions;
      all.own_refutations += counts.own_refutations;
      all.withdrawn += counts.withdrawn;
    }
    return all;
  }
  const auto& machine_statuses() const {
    return cluster_.node(leader_node())->registry().machine_statuses();
  }
  /// Number of machines known to the leader that are attached to another controller than the given
  /// one.
  std::size_t attached_elsewhere(const cluster::ControllerId& controller) const {
    std::size_t count = 0;
    for (const auto& [name, status] : machine_statuses())
      if (status.attached_controller != controller) ++count;
    return count;
  }
  SimulatedWorld world_{GetParam()};
  SimulatedCluster cluster_{world_, settings(), {.machines_per_pool = 8, .scripted = true}};
};
INSTANTIATE_TEST_SUITE_P(Seeds, MemberEvictionTest, testing::Range<std::uint64_t>(1, 6));

// Guards against long tasks waiting for the lease of a suspended leader to expire.
TEST_P(MemberEvictionTest, SuspendedLeaderIsReplacedInSeconds) {
  const auto leader = leader_node();
  const auto old = controller(leader);

  // The freeze takes effect in the leader's next callback, whichever that is.
  cluster_.freeze(leader, 60s);

  EXPECT_LT(until_evicted(old, 30s), 8s);
  EXPECT_LT(until_placed(30s), 10s);

  cluster_.run(70s);
  EXPECT_EQ(cluster_.up_controllers(), 3U);
  EXPECT_EQ(epoch().members.size(), 3U);
}

// The controller exchanges heartbeats but cannot commit to the store. Guards against its jobs being
// stuck until its lease expires.
TEST_P(MemberEvictionTest, ControllerWithoutStoreAccessIsEvicted) {
  const auto node = (leader_node() + 1) % 3;
  const auto old = controller(node);

  cluster_.cut(node, Side::State, true, 60s);

  EXPECT_LT(until_evicted(old, 30s), 13s);
  // Its machines are asked to confirm the new epoch and attach to other controllers.
  EXPECT_LT(until(30s, [&] { return attached_elsewhere(old) == machine_statuses().size(); }), 4s);
  cluster_.run(80s);
  EXPECT_EQ(cluster_.up_controllers(), 3U);
}

TEST_P(MemberEvictionTest, BrokenLinksBetweenControllersEvictNobody) {
  for (std::size_t i = 0; i < 3; ++i) cluster_.cut(i, Side::Peers, false, 25s);
  const auto before = epoch().members;

  cluster_.run(24s);

  EXPECT_EQ(epoch().members, before);
  EXPECT_GT(counts().refuted, 0U);
  EXPECT_EQ(counts().evictions, 0U);
  cluster_.run(10s);
  EXPECT_LT(until_placed(20s), 8s);
}

TEST_P(MemberEvictionTest, OneWayPartitionOfTheLeaderEvictsNobody) {
  const auto before = epoch().members;

  cluster_.drop_peer_messages_to(leader_node(), 25s);
  cluster_.run(30s);

  EXPECT_EQ(epoch().members, before);
  EXPECT_EQ(counts().evictions, 0U);
}

TEST_P(MemberEvictionTest, StoreOutageEvictsNobody) {
  const auto before = epoch().members;

  cluster_.state_outage(15s);
  cluster_.freeze(leader_node(), 12s);
  cluster_.run(25s);

  EXPECT_EQ(epoch().members, before);
  EXPECT_EQ(counts().evictions, 0U);
}

TEST_P(MemberEvictionTest, SuspectThatResumesInTimeStaysAMember) {
  const auto before = epoch().members;
  const auto starts = cluster_.invariants().starts();
  const auto suspected = [&] { return counts().suspicions > 0; };

  cluster_.freeze((leader_node() + 1) % 3, 5200ms);
  until(6s, suspected);
  cluster_.run(10s);

  EXPECT_EQ(epoch().members, before);
  EXPECT_GE(cluster_.invariants().starts(), starts);
}

TEST_P(MemberEvictionTest, ControllersThatSuspectEachOtherBothStayMembers) {
  const auto leader = leader_node();
  cluster_.cut(leader, Side::Peers, true, 20s);
  const auto before = epoch().members;

  cluster_.run(19s);

  EXPECT_EQ(epoch().members, before);
  EXPECT_GT(counts().suspicions, 0U);
  EXPECT_EQ(counts().evictions, 0U);
}

TEST_P(MemberEvictionTest, QuotasHoldWhenTwoLeadersFailInARow) {
  submit(false, 150, "red", 25);
  for (int i = 0; i < 2; ++i) {
    const auto leader = leader_node();
    const auto old = controller(leader);
    cluster_.freeze(leader, 40s);
    EXPECT_LT(until_evicted(old, 30s), 10s);
    cluster_.run(3s);
  }
  cluster_.run(60s);
  EXPECT_EQ(cluster_.up_controllers(), 3U);
}

// Guards against jobs that were taken over waiting for the worker leases of machines that failed
// together with the leader.
TEST_P(MemberEvictionTest, MachinesThatFailWithTheLeaderDoNotDelayFailover) {
  const auto uid = submit(false, 200, "red", 12);
  cluster_.run(8s);

  cluster_.kill_machines(cluster_.up_machines() / 8);
  cluster_.crash(leader_node(), 1s);
  cluster_.run(2s);

  const auto starts = cluster_.invariants().starts();
  EXPECT_LT(until(40s, [&] { return cluster_.invariants().starts() > starts + 12; }), 9s);
  EXPECT_LT(until(120s,
                  [&] {
                    const auto left = cluster_.unfinished();
                    return std::count(left.begin(), left.end(), uid) == 0;
                  }),
            90s);
}

// Guards against terminating the machines of a partitioned zone, which are still running.
TEST_P(MemberEvictionTest, PartitionedZoneKeepsItsMachines) {
  const auto leader = leader_node();
  const auto zone = std::string(1, static_cast<char>('a' + leader));
  const auto before = cluster_.up_machines();

  cluster_.cut_zone(zone, 18s);
  cluster_.run(60s);

  EXPECT_GE(cluster_.up_machines() + 4, before);
  EXPECT_EQ(cluster_.up_controllers(), 3U);
}
}  // namespace
}  // namespace limemast

// One controller left with all machines of a fleet half as large again as the largest known, and
// with all users.
#include <cstdio>
#include <queue>
#include <random>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "diagnostics/slo_attainment.hpp"
#include "net/connection_limits.hpp"
#include "simulation/scenarios.hpp"

namespace limemast {
namespace {
using namespace simulation;

TEST(Alone, With1840MachinesNoLeaseIsLostAndUsersAreAnswered) {
  spdlog::set_level(spdlog::level::off);
  SimulatedWorld world(3);
  SimulatedCluster cluster(world, fleet_settings(), {.machines_per_pool = 154, .scripted = true});
  cluster.stop_arrivals();
  cluster.run(5s);
  for (int i = 0; i < 30; ++i)
    submit(cluster,
           plain(cluster, i < 19, i < 19 ? 75 : 180, i % 2 ? "red" : "blue", i < 19 ? 0 : 200, 8));
  cluster.run(110s);
  ASSERT_GT(cluster.up_machines(), 1780u);  // some never come up
  const auto lost_before = cluster.leases_lost();
  const auto left = (cluster.leader() + 1) % 3;
  for (std::size_t i = 0; i < 3; ++i)
    if (i != left) cluster.crash(i, 90s);
  cluster.run(12s);  // the verdict, and the machines that come over
  std::size_t slow = 0, refused = 0;
  for (int i = 0; i < 390; ++i) {
    int status = 0;
    const auto asked = world.now();
    Time answered{};
    cluster.ask(left, {"GET", "/submissions/wk-900" + std::to_string(100 + i), {}},
                [&](net::HttpResponse r) {
                  status = r.status;
                  answered = world.now();
                });
    cluster.run(200ms);
    slow += status == 0 || answered - asked > 200ms;
    refused += status == 503;
  }
  EXPECT_EQ(cluster.leases_lost(), lost_before);
  EXPECT_EQ(slow, 0u);
  EXPECT_LT(refused, 4u);
  EXPECT_TRUE(cluster.invariants().violations().empty());
  cluster.run(20s);
  EXPECT_EQ(cluster.leases_lost(), lost_before);
}

/// Connections of a server that keeps to `Seats`, in steps of 10 ms: machines report every five
/// seconds, users ask as they like.
struct Traffic {
  std::size_t machines, most;
  double busy_share, users_per_s;
  std::size_t silent_each_step = 0;  ///< connections that say nothing
};
class Sockets : public testing::TestWithParam<Traffic> {};
TEST_P(Sockets, NoMachineWithTasksIsEverShutOut) {
  const auto t = GetParam();
  const net::ConnectionLimits limits(t.most);
  std::mt19937_64 random(5);
  std::uniform_real_distribution<double> chance(0, 1);
  struct Link {
    net::ConnectionClass connection_class = net::ConnectionClass::Unknown;
    bool open = false;
    std::size_t idle_since = 0;
  };
  std::vector<Link> machine(t.machines);
  std::deque<Link> user;
  std::size_t open = 0, shut_out = 0, busy_machines_closed = 0, turned_away = 0, asked = 0,
              answered_busy = 0;
  auto close_one =
      [&] {  // an idle connection makes room, as the server chooses; false: the newcomer goes
        Link* victim = nullptr;
        auto consider = [&](Link& l) {
          if (l.open && !net::ConnectionLimits::is_never_closed_when_idle(l.connection_class) &&
              (!victim ||
               std::pair(net::ConnectionLimits::closing_order(l.connection_class), l.idle_since) <
                   std::pair(net::ConnectionLimits::closing_order(victim->connection_class),
                             victim->idle_since)))
            victim = &l;
        };
        for (auto& l : user) consider(l);
        for (auto& l : machine) consider(l);
        if (!victim) return false;
        busy_machines_closed += victim->connection_class == net::ConnectionClass::BusyMachine;
        victim->open = false;
        --open;
        return true;
      };
  for (std::size_t step = 0; step < 3000; ++step) {
    auto serve = [&](Link& l, net::ConnectionClass connection_class) {
      if (!l.open) {
        l.open = true;
        if (limits.over_limit(++open) && !close_one()) {
          l.open = false;
          --open;
          return false;
        }
      }
      l.connection_class = connection_class;
      l.idle_since = step;
      if (limits.should_close_after(connection_class, open)) {
        l.open = false;
        --open;
      }
      return true;
    };
    for (std::size_t m = step % 500; m < t.machines; m += 500) {
      const bool busy = static_cast<double>(m) < t.busy_share * static_cast<double>(t.machines);
      const bool got = serve(
          machine[m], busy ? net::ConnectionClass::BusyMachine : net::ConnectionClass::Machine);
      shut_out += !got;
      answered_busy += got && busy;
    }
    for (std::size_t i = 0; i < t.silent_each_step; ++i) {
      user.push_back({net::ConnectionClass::Unknown, true, step});
      shut_out += limits.over_limit(++open) && !close_one();
    }
    for (double n = t.users_per_s / 100; n > 0 && chance(random) < n; n -= 1) {
      ++asked;
      turned_away += limits.should_refuse_users(open + 1);
      user.emplace_back();
      if (!serve(user.back(), net::ConnectionClass::User)) ++turned_away;
      if (user.size() > 4000) user.pop_front();
    }
    ASSERT_LE(open, t.most);
  }
  EXPECT_EQ(shut_out, 0u);
  EXPECT_EQ(busy_machines_closed, 0u);
  EXPECT_GT(answered_busy, 0u);
  EXPECT_EQ(t.silent_each_step == 0 ? turned_away : 0, 0u)
      << "of " << asked;  // closing after the answer suffices
}
INSTANTIATE_TEST_SUITE_P(Sizes, Sockets,
                         testing::Values(Traffic{1840, 1262, 1.0, 120},
                                         Traffic{1840, 1262, 0.3, 300},
                                         Traffic{5000, 1262, 0.9, 60},
                                         Traffic{1840, 1262, 0.9, 60, 10}));

// A class of which half is unserved is named, what its users took back is not, and old troubles
// leave the window.
TEST(ServedShare, CountsWhatWasDueAndForgetsWithTheWindow) {
  using diagnostics::SloAttainment;
  SloAttainment attainment;
  const net::WallTime t{1'000'000s};
  auto see = [&](const std::string& uid, const char* cls, std::uint32_t done, net::WallTime now,
                 bool service = false, std::uint32_t running = 0) {
    attainment.observe(uid, {cls, "red", service, 100, t + 60s}, done, done, running, now);
  };
  see("a", "arrays", 0, t);
  attainment.advance_window(t);
  EXPECT_TRUE(attainment.classes().empty()) << "asked for just now: nothing is due";
  see("a", "arrays", 20, t + 61s);
  see("b", "arrays", 100, t + 61s);
  see("c", "other", 100, t + 61s);
  attainment.advance_window(t + 61s);
  EXPECT_DOUBLE_EQ(*attainment.classes().at("arrays").window.served_fraction(), 0.6);
  EXPECT_TRUE(attainment.underserved_classes().empty());
  see("d", "arrays", 0, t + 70s);
  see("e", "arrays", 0, t + 70s);
  attainment.advance_window(t + 70s);
  EXPECT_DOUBLE_EQ(*attainment.classes().at("arrays").window.served_fraction(), 0.3);
  EXPECT_EQ(attainment.underserved_classes(), std::set<std::string>{"arrays"});
  attainment.job_ended("d", true, t + 71s);  // taken back
  attainment.job_ended("e", true, t + 71s);
  see("a", "arrays", 100, t + 100s);  // late
  attainment.advance_window(t + 100s);
  EXPECT_DOUBLE_EQ(*attainment.classes().at("arrays").window.served_fraction(), 1);
  EXPECT_DOUBLE_EQ(attainment.classes().at("arrays").total.done_in_time, 120);
  EXPECT_DOUBLE_EQ(attainment.teams().at("red").total.requested, 300);
  // Replica time from the time by which they should be up.
  see("s", "service", 0, t + 60s, true, 0);
  see("s", "service", 0, t + 80s, true, 25);
  see("s", "service", 0, t + 100s, true, 75);
  attainment.advance_window(t + 100s);
  EXPECT_DOUBLE_EQ(*attainment.classes().at("service").window.served_fraction(), 0.5);
  attainment.job_ended("s", true, t + 101s);
  attainment.advance_window(t + 400s);
  EXPECT_FALSE(attainment.classes().at("service").window.served_fraction());
  EXPECT_DOUBLE_EQ(*attainment.classes().at("service").total.served_fraction(), 0.5);
  EXPECT_FALSE(attainment.tracks("s"));
}
}  // namespace
}  // namespace limemast

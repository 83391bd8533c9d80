// A single remaining controller that serves all machines and users of a large fleet, its connection
// limits, and the service levels that it measures.
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

TEST(SingleController, With1840MachinesNoLeaseIsLostAndUsersAreAnswered) {
  spdlog::set_level(spdlog::level::off);
  SimulatedWorld world(3);
  SimulatedCluster cluster(world, fleet_settings(), {.machines_per_pool = 154, .scripted = true});
  cluster.stop_arrivals();
  cluster.run(5s);
  for (int i = 0; i < 30; ++i)
    submit(cluster,
           plain(cluster, i < 19, i < 19 ? 75 : 180, i % 2 ? "red" : "blue", i < 19 ? 0 : 200, 8));
  cluster.run(110s);
  ASSERT_GT(cluster.up_machines(), 1780u);  // A few machines never boot.
  const auto lost_before = cluster.leases_lost();
  const auto remaining = (cluster.leader() + 1) % 3;
  for (std::size_t i = 0; i < 3; ++i)
    if (i != remaining) cluster.crash(i, 90s);
  cluster.run(12s);  // The failures are detected and the machines reconnect.
  std::size_t slow = 0, rejected = 0;
  for (int i = 0; i < 390; ++i) {
    int status = 0;
    const auto sent = world.now();
    Time answered{};
    cluster.ask(remaining, {"GET", "/submissions/wk-900" + std::to_string(100 + i), {}},
                [&](net::HttpResponse r) {
                  status = r.status;
                  answered = world.now();
                });
    cluster.run(200ms);
    slow += status == 0 || answered - sent > 200ms;
    rejected += status == 503;
  }
  EXPECT_EQ(cluster.leases_lost(), lost_before);
  EXPECT_EQ(slow, 0u);
  EXPECT_LT(rejected, 4u);
  EXPECT_TRUE(cluster.invariants().violations().empty());
  cluster.run(20s);
  EXPECT_EQ(cluster.leases_lost(), lost_before);
}

/// The load on a server that applies net::ConnectionLimits. Each machine sends a heartbeat every
/// five seconds, and each user request opens a new connection.
struct Traffic {
  std::size_t machines, max_connections;
  double busy_fraction;  ///< fraction of the machines that run tasks
  double user_requests_per_s;
  std::size_t silent_connections_per_step = 0;  ///< new connections that send nothing
};
/// The test simulates 30 s in steps of 10 ms.
constexpr int kStepsPerSecond = 100;
constexpr std::size_t kHeartbeatIntervalSteps = 500;
constexpr std::size_t kSteps = 3000;
constexpr std::size_t kMaxUserConnections = 4000;
class ConnectionLimitsUnderLoad : public testing::TestWithParam<Traffic> {};
TEST_P(ConnectionLimitsUnderLoad, AMachineWithTasksCanAlwaysConnect) {
  const auto traffic = GetParam();
  const net::ConnectionLimits limits(traffic.max_connections);
  std::mt19937_64 random(5);
  std::uniform_real_distribution<double> chance(0, 1);
  struct Connection {
    net::ConnectionClass connection_class = net::ConnectionClass::Unknown;
    bool open = false;
    std::size_t idle_since = 0;
  };
  std::vector<Connection> machine_connections(traffic.machines);
  std::deque<Connection> user_connections;
  std::size_t open_connections = 0, rejected = 0, closed_busy = 0, rejected_users = 0,
              user_requests = 0, busy_heartbeats = 0;
  // Closes the idle connection that the server would choose; returns false if there is none.
  auto close_idle_connection = [&] {
    Connection* victim = nullptr;
    auto consider = [&](Connection& connection) {
      if (connection.open &&
          !net::ConnectionLimits::is_never_closed_when_idle(connection.connection_class) &&
          (!victim || std::pair(net::ConnectionLimits::closing_order(connection.connection_class),
                                connection.idle_since) <
                          std::pair(net::ConnectionLimits::closing_order(victim->connection_class),
                                    victim->idle_since)))
        victim = &connection;
    };
    for (auto& connection : user_connections) consider(connection);
    for (auto& connection : machine_connections) consider(connection);
    if (!victim) return false;
    closed_busy += victim->connection_class == net::ConnectionClass::BusyMachine;
    victim->open = false;
    --open_connections;
    return true;
  };
  for (std::size_t step = 0; step < kSteps; ++step) {
    auto serve = [&](Connection& connection, net::ConnectionClass connection_class) {
      if (!connection.open) {
        connection.open = true;
        if (limits.over_limit(++open_connections) && !close_idle_connection()) {
          connection.open = false;
          --open_connections;
          return false;
        }
      }
      connection.connection_class = connection_class;
      connection.idle_since = step;
      if (limits.should_close_after(connection_class, open_connections)) {
        connection.open = false;
        --open_connections;
      }
      return true;
    };
    for (std::size_t machine = step % kHeartbeatIntervalSteps; machine < traffic.machines;
         machine += kHeartbeatIntervalSteps) {
      const bool busy = static_cast<double>(machine) <
                        traffic.busy_fraction * static_cast<double>(traffic.machines);
      const bool accepted =
          serve(machine_connections[machine],
                busy ? net::ConnectionClass::BusyMachine : net::ConnectionClass::Machine);
      rejected += !accepted;
      busy_heartbeats += accepted && busy;
    }
    for (std::size_t i = 0; i < traffic.silent_connections_per_step; ++i) {
      user_connections.push_back({net::ConnectionClass::Unknown, true, step});
      rejected += limits.over_limit(++open_connections) && !close_idle_connection();
    }
    for (double n = traffic.user_requests_per_s / kStepsPerSecond; n > 0 && chance(random) < n;
         n -= 1) {
      ++user_requests;
      rejected_users += limits.should_refuse_users(open_connections + 1);
      user_connections.emplace_back();
      if (!serve(user_connections.back(), net::ConnectionClass::User)) ++rejected_users;
      if (user_connections.size() > kMaxUserConnections) user_connections.pop_front();
    }
    ASSERT_LE(open_connections, traffic.max_connections);
  }
  EXPECT_EQ(rejected, 0u);
  EXPECT_EQ(closed_busy, 0u);
  EXPECT_GT(busy_heartbeats, 0u);
  EXPECT_EQ(traffic.silent_connections_per_step == 0 ? rejected_users : 0, 0u)
      << "of " << user_requests << " user requests";
}
INSTANTIATE_TEST_SUITE_P(Sizes, ConnectionLimitsUnderLoad,
                         testing::Values(Traffic{1840, 1262, 1.0, 120},
                                         Traffic{1840, 1262, 0.3, 300},
                                         Traffic{5000, 1262, 0.9, 60},
                                         Traffic{1840, 1262, 0.9, 60, 10}));

// An underserved class is reported. Cancelled jobs do not count, and neither do shortfalls that are
// older than the window.
TEST(SloAttainment, CountsDueTasksWithinTheWindow) {
  using diagnostics::SloAttainment;
  SloAttainment attainment;
  const net::WallTime t{1'000'000s};
  auto observe = [&](const std::string& uid, const char* class_name, std::uint32_t done,
                     net::WallTime now, bool service = false, std::uint32_t running = 0) {
    attainment.observe(uid, {class_name, "red", service, 100, t + 60s}, done, done, running, now);
  };
  observe("a", "arrays", 0, t);
  attainment.advance_window(t);
  EXPECT_TRUE(attainment.classes().empty()) << "no task is due yet";
  observe("a", "arrays", 20, t + 61s);
  observe("b", "arrays", 100, t + 61s);
  observe("c", "other", 100, t + 61s);
  attainment.advance_window(t + 61s);
  EXPECT_DOUBLE_EQ(*attainment.classes().at("arrays").window.served_fraction(), 0.6);
  EXPECT_TRUE(attainment.underserved_classes().empty());
  observe("d", "arrays", 0, t + 70s);
  observe("e", "arrays", 0, t + 70s);
  attainment.advance_window(t + 70s);
  EXPECT_DOUBLE_EQ(*attainment.classes().at("arrays").window.served_fraction(), 0.3);
  EXPECT_EQ(attainment.underserved_classes(), std::set<std::string>{"arrays"});
  attainment.job_ended("d", true, t + 71s);  // Cancelled.
  attainment.job_ended("e", true, t + 71s);
  observe("a", "arrays", 100, t + 100s);  // After the deadline.
  attainment.advance_window(t + 100s);
  EXPECT_DOUBLE_EQ(*attainment.classes().at("arrays").window.served_fraction(), 1);
  EXPECT_DOUBLE_EQ(attainment.classes().at("arrays").total.done_in_time, 120);
  EXPECT_DOUBLE_EQ(attainment.teams().at("red").total.requested, 300);
  // Replica time counts from the deadline by which the replicas must run.
  observe("s", "service", 0, t + 60s, true, 0);
  observe("s", "service", 0, t + 80s, true, 25);
  observe("s", "service", 0, t + 100s, true, 75);
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

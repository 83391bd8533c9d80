// A cancelled task on a machine that hangs is gone within cancel_s, whatever restarts the silence
// of the machine, hides it from the leader or extends its limit.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
class CancelledTaskOnHangingMachine : public FaultInteraction {
 protected:
  explicit CancelledTaskOnHangingMachine(wire::Settings settings = default_settings())
      : FaultInteraction(std::move(settings)) {}
  void start_services() {
    jobs_ = submit_services(6, 2);
    cluster_.run(40s);
    ASSERT_EQ(running(cluster_, jobs_), 12u);
  }
  /// Starts services and hangs a machine of the first one for longer than the cancel timeout.
  void start_and_hang() {
    start_services();
    machine_ = *cluster_.machines_with(jobs_.front()).begin();
    cluster_.hang_machines({machine_}, 3 * cancel_timeout());
  }
  void cancel_service() {
    cancel({jobs_.front()});
    run_until(10s, [&] { return cluster_.final_phase(jobs_.front()) == "cancelled"; });
    ASSERT_EQ(cluster_.final_phase(jobs_.front()), "cancelled");
    cancelled_at_ = world_.now();
  }
  void refuse_peers(Duration time) {
    for (std::size_t i = 0; i < 3; ++i) cluster_.cut(i, Side::Peers, false, time);
  }
  /// Runs until the cancel timeout has passed. `TearDown` checks that the task is gone by then.
  void run_to_timeout() { cluster_.run(cancelled_at_ + cancel_timeout() + 2s - world_.now()); }
  Duration cancel_timeout() const { return net::to_duration(settings_.cancel_timeout); }

  std::vector<std::string> jobs_;
  std::string machine_;
  Time cancelled_at_{};
};

// Guards against a silence that is never judged while connections between controllers are refused.
TEST_P(CancelledTaskOnHangingMachine, EndsWhileControllersRefuseConnections) {
  start_and_hang();
  refuse_peers(2 * cancel_timeout());
  cluster_.run(500ms);
  cancel_service();
  run_to_timeout();
  EXPECT_TRUE(cluster_.terminated_machines().contains(machine_));
}

// Guards against a silence that counts anew whenever links between controllers fail for some
// seconds.
TEST_P(CancelledTaskOnHangingMachine, EndsWhileLinksFailRepeatedly) {
  start_and_hang();
  cancel_service();
  for (int i = 0; i < 4; ++i)
    world_.after(seconds(7.0 * i), [this] { refuse_peers(seconds(uniform(4, 6))); });
  run_to_timeout();
}

// Guards against a silence that counts anew whenever the leader's process was suspended.
TEST_P(CancelledTaskOnHangingMachine, EndsWhileLeaderIsSuspendedRepeatedly) {
  start_and_hang();
  cancel_service();
  for (int i = 0; i < 6; ++i)
    world_.after(seconds(4.5 * i), [this] { cluster_.freeze(leader(), 2800ms); });
  run_to_timeout();
}

// Guards against a silence that every new leader counts from the beginning of its term: no
// controller that runs at the end has ever received a heartbeat of the machine. So many machines
// hang that the failover waits for them.
TEST_P(CancelledTaskOnHangingMachine, EndsWhileAllControllersRestartRepeatedly) {
  start_services();
  cluster_.hang_machines(cluster_.all_machines(), 3 * cancel_timeout());
  cancel_service();
  cluster_.run(5s);
  for (int i = 0; i < 3; ++i) {
    for (std::size_t node = 0; node < 3; ++node) cluster_.crash(node, 500ms);
    cluster_.run(4500ms);
  }
  run_to_timeout();
}

// Guards against a late copy of a heartbeat that makes the machine appear to run to a leader that
// does not know it.
TEST_P(CancelledTaskOnHangingMachine, EndsAlthoughCopiesOfHeartbeatsArriveAtNewLeader) {
  jobs_ = submit_services(6, 2);
  cluster_.run(30s);
  cluster_.duplicate_heartbeats_late(1, 20s);
  cluster_.replay_heartbeats_at_next_leader(1, 60s);
  cluster_.run(8s);
  machine_ = *cluster_.machines_with(jobs_.front()).begin();
  cluster_.hang_machines({machine_}, 3 * cancel_timeout());
  cancel_service();
  cluster_.run(5s);
  for (std::size_t node = 0; node < 3; ++node) cluster_.crash(node, seconds(uniform(0.1, 2)));
  run_to_timeout();
}

// Guards against a task that only the controller of its machine knows: it starts after the links
// are cut, so that the leader has never seen it.
TEST_P(CancelledTaskOnHangingMachine, EndsIfLeaderNeverSawTheTask) {
  submit_services(6, 2);
  cluster_.run(30s);
  refuse_peers(3 * cancel_timeout());
  cluster_.run(2s);
  jobs_ = submit_arrays(6, 4, 50);
  run_until(10s, [&] { return running(cluster_, jobs_) > 0; });
  std::set<std::string> machines;
  for (const auto& uid : jobs_) machines.merge(cluster_.machines_with(uid));
  ASSERT_FALSE(machines.empty());
  cluster_.hang_machines(machines, 3 * cancel_timeout());
  cancel(jobs_);
  cancelled_at_ = world_.now();
  cluster_.run(10s);
  EXPECT_GE(count_cancelled(jobs_), 1u);
  cancelled_at_ = world_.now();
  run_to_timeout();
}

// Guards against a task that no heartbeat has shown: the machine hangs right after it has executed
// the start in the response to a heartbeat.
TEST_P(CancelledTaskOnHangingMachine, EndsIfNoHeartbeatHasShownTheTask) {
  cluster_.drop_direct_commands(300s);
  submit_arrays(6, 12, 20);  // Machines come up and fetch the images.
  cluster_.run(60s);
  refuse_peers(3 * cancel_timeout());
  for (int i = 0; i < 8; ++i) {
    jobs_ = submit_arrays(2, 4, 50);
    run_until(15s, [&] { return running(cluster_, jobs_) > 0; });
    std::set<std::string> machines;
    for (const auto& uid : jobs_) machines.merge(cluster_.machines_with(uid));
    cluster_.hang_machines(machines, 3 * cancel_timeout());
    cancel(jobs_);
  }
  cluster_.run(cancel_timeout() + 15s);
}

// Guards against the termination of machines that run: their controllers have ended the tasks, but
// cannot notify the leader while connections are refused.
TEST_P(CancelledTaskOnHangingMachine, CostsNoMachineThatRuns) {
  jobs_ = submit_services(12, 3);
  cluster_.run(40s);
  ASSERT_EQ(running(cluster_, jobs_), 36u);
  const auto registered = cluster_.registered_machines();
  refuse_peers(2 * cancel_timeout());
  cluster_.run(500ms);
  cancel({jobs_.begin(), jobs_.begin() + 6});
  cluster_.run(cancel_timeout() + 10s);
  EXPECT_EQ(count_cancelled(jobs_), 6u);
  for (const auto& machine : cluster_.terminated_machines())
    EXPECT_FALSE(registered.contains(machine)) << machine;
  EXPECT_EQ(running(cluster_, jobs_), 18u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelledTaskOnHangingMachine, testing::Range<std::uint64_t>(1, 7));

/// Two worker leases are longer than the cancel timeout.
class CancelledTaskInPartitionedZone : public CancelledTaskOnHangingMachine {
 protected:
  static wire::Settings long_lease() {
    auto settings = default_settings();
    settings.worker_lease = wire::Seconds(15);
    settings.cancel_timeout = wire::Seconds(28);
    return settings;
  }
  CancelledTaskInPartitionedZone() : CancelledTaskOnHangingMachine(long_lease()) {}
};

// Guards against a limit of two worker leases for a zone of which most is silent, where that is
// longer than the cancel timeout.
TEST_P(CancelledTaskInPartitionedZone, EndsAlthoughMostOfTheZoneIsSilent) {
  jobs_ = submit_services(8, 3);
  cluster_.run(40s);
  ASSERT_EQ(running(cluster_, jobs_), 24u);
  cluster_.hang_machines(cluster_.all_machines(), 3 * cancel_timeout());
  cluster_.run(1s);
  cancel_service();
  run_to_timeout();
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelledTaskInPartitionedZone,
                         testing::Range<std::uint64_t>(1, 4));
}  // namespace
}  // namespace limemast

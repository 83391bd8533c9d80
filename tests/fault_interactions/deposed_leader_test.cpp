// A leader that was deposed without noticing, since it is cut from the store and the other
// controllers, while workers reach it and are commanded by its successor.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
class DeposedLeader : public FaultInteraction {
 protected:
  DeposedLeader()
      : FaultInteraction(long_intervals(),
                         {.machines_per_pool = 4,
                          .scripted = true,
                          .observer = [this](const auto& sent) { count_termination(sent); }}) {}
  void count_termination(const SimulatedCluster::Outgoing& sent) {
    if (sent.request && !sent.response && sent.request->path == "/machines/release")
      ++terminations_by_[sent.from];
  }
  /// Heartbeats are so rare that the successor commands most machines before they send one.
  static wire::Settings long_intervals() {
    auto settings = default_settings();
    settings.heartbeat_interval = wire::Seconds(5);
    settings.worker_lease = wire::Seconds(22);
    settings.cancel_timeout = wire::Seconds(60);
    return settings;
  }
  /// Cuts the controller from the store and the other controllers. Requests are held.
  void cut(std::size_t node, Duration time) {
    cluster_.cut(node, Side::State, true, time);
    cluster_.cut(node, Side::Peers, true, time);
  }
  /// As the store has it. The deposed leader still considers itself the leader.
  std::string label_of_elected_leader() {
    const auto* epoch = cluster_.state().value(cluster::keys::kEpoch);
    return epoch->at("leader").get<ids::ControllerId>().label();
  }
  /// Starts services, and arrays whose tasks end and start all the time, at every controller.
  void start_jobs() {
    services_ = submit_services(6, 3);
    arrays_ = submit_arrays(12, 60, 4);
    const auto long_arrays = submit_arrays(4, 60, 62);
    for (const auto& uid : long_arrays) cluster_.set_run_time(uid, 3);
    arrays_.insert(arrays_.end(), long_arrays.begin(), long_arrays.end());
    cluster_.run(25s);
    ASSERT_GT(running(cluster_, arrays_), 0u);
  }
  std::vector<std::string> services_, arrays_;
  std::map<std::string, std::size_t> terminations_by_;  ///< requests, by controller
};

// Guards against a deposed leader that takes its successor's token from the answer to a rejected
// command and starts tasks with it that run on other machines.
TEST_P(DeposedLeader, SendsNoTokenOfItsSuccessor) {
  start_jobs();
  cut(leader(), 30s);
  cluster_.run(35s);
  EXPECT_EQ(violations(cluster_.invariants()), "");
  cluster_.run(60s);
  EXPECT_EQ(running(cluster_, services_), 18u);
}

// Guards against a deposed leader that has machines terminated on which tasks of its successor run:
// what it had marked before must not be terminated while the store does not serve it.
TEST_P(DeposedLeader, RequestsNoTermination) {
  start_jobs();
  const auto deposed = leader();
  const auto silence_limit =
      net::to_duration(settings_.worker_lease + settings_.heartbeat_interval);
  cluster_.hang_machines(cluster_.machines_with(services_.front()), 3 * silence_limit);
  cluster_.run(silence_limit - 10s);
  cluster_.cloud_outage(35s);
  cluster_.run(12s);
  const auto cut_at = world_.now();
  cut(deposed, 40s);
  const auto label = "node-" + std::to_string(deposed);
  run_until(21s, [&] { return label_of_elected_leader() != label; });
  ASSERT_NE(label_of_elected_leader(), label);
  const auto before = terminations_by_[label];
  EXPECT_GT(before, 0u);  // The marked machines were requested in vain during the outage.
  cluster_.run(cut_at + 32s -
               world_.now());  // The outage is over, the deposed leader's lease is not.
  EXPECT_EQ(terminations_by_[label], before);
}

INSTANTIATE_TEST_SUITE_P(Seeds, DeposedLeader, testing::Range<std::uint64_t>(1, 14));
}  // namespace
}  // namespace limemast

#pragma once
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
/// Sixteen seeds of a search; with MEETING_SEEDS in the environment as many as it says, by hand.
inline std::uint64_t searched() {
  return std::getenv("MEETING_SEEDS") ? std::stoull(std::getenv("MEETING_SEEDS")) : 16;
}

/// FaultInteractions that draw their troubles.
class RandomFaults : public FaultInteraction {
 protected:
  using FaultInteraction::FaultInteraction;
  static constexpr std::size_t kFirstRandomFaults =
      16;  ///< kept as they were: seeds that once failed draw from them
  static constexpr std::size_t kRandomFaults = 23;
  /// `doomed`: jobs whose machines some troubles are about.
  void trouble(std::size_t kind, const std::vector<std::string>& doomed) {
    const auto node = world_.below(3) == 0 ? world_.below(3) : leader();
    const auto time = seconds(s(3, 30));
    switch (kind) {
      case 0:
        return cluster_.delay_transactions(s(0.1, 0.6), time);
      case 1:
        return cluster_.duplicate_heartbeats_late(s(0.1, 0.6), time);
      case 2: {
        const auto share = s(0.1, 0.5);
        return cluster_.block_inbound_to_machines(
            [&](const auto&, const auto&) { return world_.chance(share); }, time);
      }
      case 3:
        return cluster_.block_inbound_to_machines(
            [zone = settings().zones[world_.below(3)]](const auto&, const auto& z) {
              return z == zone;
            },
            time);
      case 4: {
        const bool hold = world_.chance(0.5);
        for (auto side : {Side::State, Side::Peers}) cluster_.cut(node, side, hold, time);
        return;
      }
      case 5:
        return cluster_.reject_at_store(node, time);
      case 6:
        return cluster_.state_outage(seconds(s(10, 45)));
      case 7:
        return cluster_.slow_state_service(seconds(s(0.3, 4)), time);
      case 8:
        return cluster_.crash(node, seconds(s(0.1, 12)));
      case 9:
        return cluster_.freeze(node, time);
      case 10:
        return cluster_.crash(node, seconds(s(0.01, 0.05)));
      case 11:
        return cluster_.cut_zone(settings().zones[world_.below(3)], time);
      case 12:
        return cluster_.stall_watches(node, time);
      case 13:
        for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, seconds(s(0.01, 5)));
        return;
      case 14:
        return cluster_.cut(node, Side::Workers, world_.chance(0.5), time);
      case 15:
        return cluster_.hang_random_machine(time);
      case 16:
        return cluster_.delay_transactions(s(0.1, 0.6), time, true);
      case 17:
        return cluster_.replay_heartbeats_at_next_leader(s(0.3, 1), seconds(s(20, 60)));
      case 18: {
        const auto share = s(0.1, 0.5);
        return cluster_.block_heartbeats(
            [&](const auto&, const auto&) { return world_.chance(share); }, time);
      }
      case 19:
        return cluster_.cancel_at_end(s(0.2, 0.8), time);
      case 20:
        return cluster_.hang_machines(cluster_.machines_with(doomed[world_.below(doomed.size())]),
                                      seconds(s(2, 15)));
      case 21:
        for (std::size_t i = 0; i < 3; ++i) cluster_.delay_links(i, seconds(s(0.2, 1.5)), time);
        return;
      default:
        return cluster_.kill_machines(1 + world_.below(4));
    }
  }

  /// How much there is of each kind in each of three rounds, and how many kinds of trouble it draws
  /// from.
  struct Day {
    int jobs;
    std::size_t tasks_differ;
    std::uint32_t doomed_tasks;
    int services;
    std::size_t troubles;
  };
  /// Two or three troubles whose times overlap, around cancellations and the last tasks of jobs.
  /// When they are over everything goes on.
  void play(const Day& day) {
    for (int round = 0; round < 3; ++round) {
      arrays(day.jobs, 2 + static_cast<std::uint32_t>(world_.below(day.tasks_differ)), s(8, 90));
      auto doomed = arrays(day.jobs, day.doomed_tasks, s(30, 90));
      for (auto& uid : services(day.services, 3)) doomed.push_back(uid);
      cluster_.run(seconds(s(4, 25)));
      const auto many = 2 + world_.below(2);
      std::size_t at = world_.below(doomed.size());
      for (std::size_t i = 0; i < many; ++i) {
        trouble(world_.below(day.troubles), doomed);
        cluster_.run(seconds(s(0, 6)));
        for (std::size_t k = 0; k < 2; ++k) cluster_.cancel(doomed[at++ % doomed.size()]);
        cluster_.run(seconds(s(0, 3)));
      }
      cancel(doomed);
      cluster_.run(seconds(s(5, 40)));
      ASSERT_EQ(violations(cluster_.invariants()), "") << "seed " << GetParam();
    }
    cluster_.run(75s);
    cluster_.watch_waiting_jobs();
    EXPECT_LT(cluster_.longest_unanswered(), 40s) << "seed " << GetParam();
    EXPECT_LT(until(600s, [&] { return cluster_.unfinished().empty(); }), 600s)
        << "seed " << GetParam() << ", first left "
        << (cluster_.unfinished().empty() ? "" : cluster_.unfinished().front());
    EXPECT_EQ(cluster_.up_controllers(), 3u);
  }
};
}  // namespace limemast

#pragma once
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
/// The number of seeds to run: RANDOM_FAULT_SEEDS from the environment, 16 by default.
inline std::uint64_t seed_count() {
  return std::getenv("RANDOM_FAULT_SEEDS") ? std::stoull(std::getenv("RANDOM_FAULT_SEEDS")) : 16;
}

/// Injects faults that are drawn at random.
class RandomFaults : public FaultInteraction {
 protected:
  using FaultInteraction::FaultInteraction;
  /// The regression cases draw from the kinds below this number, so these must not be renumbered.
  static constexpr std::size_t kBasicFaultKinds = 16;
  static constexpr std::size_t kAllFaultKinds = 24;
  /// Injects the fault with this number. One kind hangs the machines of one of the jobs
  /// `to_cancel`.
  void inject_fault(std::size_t kind, const std::vector<std::string>& to_cancel) {
    const auto controller = world_.below(3) == 0 ? world_.below(3) : leader();
    const auto duration = seconds(uniform(3, 30));
    switch (kind) {
      case 0:
        return cluster_.delay_transactions(uniform(0.1, 0.6), duration);
      case 1:
        return cluster_.duplicate_heartbeats_late(uniform(0.1, 0.6), duration);
      case 2: {
        const auto share = uniform(0.1, 0.5);
        return cluster_.block_inbound_to_machines(
            [&](const auto&, const auto&) { return world_.chance(share); }, duration);
      }
      case 3:
        return cluster_.block_inbound_to_machines(
            [zone = default_settings().zones[world_.below(3)]](const auto&, const auto& z) {
              return z == zone;
            },
            duration);
      case 4: {
        const bool hold = world_.chance(0.5);
        for (auto side : {Side::State, Side::Peers}) cluster_.cut(controller, side, hold, duration);
        return;
      }
      case 5:
        return cluster_.reject_at_store(controller, duration);
      case 6:
        return cluster_.state_outage(seconds(uniform(10, 45)));
      case 7:
        return cluster_.slow_state_service(seconds(uniform(0.3, 4)), duration);
      case 8:
        return cluster_.crash(controller, seconds(uniform(0.1, 12)));
      case 9:
        return cluster_.freeze(controller, duration);
      case 10:
        return cluster_.crash(controller, seconds(uniform(0.01, 0.05)));
      case 11:
        return cluster_.cut_zone(default_settings().zones[world_.below(3)], duration);
      case 12:
        return cluster_.stall_watches(controller, duration);
      case 13:
        for (std::size_t i = 0; i < 3; ++i) cluster_.crash(i, seconds(uniform(0.01, 5)));
        return;
      case 14:
        return cluster_.cut(controller, Side::Workers, world_.chance(0.5), duration);
      case 15:
        return cluster_.hang_random_machine(duration);
      case 16:
        return cluster_.delay_transactions(uniform(0.1, 0.6), duration, true);
      case 17: {
        const auto replay_time = seconds(uniform(20, 60));
        return cluster_.replay_heartbeats_at_next_leader(uniform(0.3, 1), replay_time);
      }
      case 18: {
        const auto share = uniform(0.1, 0.5);
        return cluster_.block_heartbeats(
            [&](const auto&, const auto&) { return world_.chance(share); }, duration);
      }
      case 19:
        return cluster_.cancel_at_end(uniform(0.2, 0.8), duration);
      case 20: {
        const auto hang_time = seconds(uniform(2, 15));
        return cluster_.hang_machines(
            cluster_.machines_with(to_cancel[world_.below(to_cancel.size())]), hang_time);
      }
      case 21:
        for (std::size_t i = 0; i < 3; ++i)
          cluster_.delay_links(i, seconds(uniform(0.2, 1.5)), duration);
        return;
      case 22:
        return cluster_.kill_machines(1 + world_.below(4));
      default: {
        const auto share = uniform(0.2, 0.8);
        for (auto receiver : {Side::Workers, Side::State, Side::Cloud})
          cluster_.duplicate_requests_late(receiver, share, duration);
        return cluster_.duplicate_user_requests_late(share, duration);
      }
    }
  }

  /// The jobs submitted in each of the three rounds, and the faults to draw from.
  struct Workload {
    int arrays;  ///< arrays that are cancelled, and equally many that are not
    /// Arrays that are not cancelled have two or more tasks; this many sizes are possible.
    std::size_t array_size_choices;
    std::uint32_t cancelled_array_tasks;  ///< tasks of each array that is cancelled
    int services;                         ///< services, all of which are cancelled
    std::size_t fault_kinds;              ///< faults are drawn from the kinds below this number
  };
  /// Injects two or three overlapping faults per round while jobs are cancelled and finish. After
  /// the last fault all jobs must finish and all controllers must be up.
  void run_overlapping_faults(const Workload& workload) {
    for (int round = 0; round < 3; ++round) {
      const auto estimate_s = uniform(8, 90);
      const auto tasks = 2 + static_cast<std::uint32_t>(world_.below(workload.array_size_choices));
      submit_arrays(workload.arrays, tasks, estimate_s);
      auto to_cancel =
          submit_arrays(workload.arrays, workload.cancelled_array_tasks, uniform(30, 90));
      for (auto& uid : submit_services(workload.services, 3)) to_cancel.push_back(uid);
      cluster_.run(seconds(uniform(4, 25)));
      const auto fault_count = 2 + world_.below(2);
      std::size_t next_to_cancel = world_.below(to_cancel.size());
      for (std::size_t i = 0; i < fault_count; ++i) {
        inject_fault(world_.below(workload.fault_kinds), to_cancel);
        cluster_.run(seconds(uniform(0, 6)));
        for (std::size_t k = 0; k < 2; ++k)
          cluster_.cancel(to_cancel[next_to_cancel++ % to_cancel.size()]);
        cluster_.run(seconds(uniform(0, 3)));
      }
      cancel(to_cancel);
      cluster_.run(seconds(uniform(5, 40)));
      ASSERT_EQ(violations(cluster_.invariants()), "") << "seed " << GetParam();
    }
    cluster_.run(75s);
    cluster_.watch_waiting_jobs();
    EXPECT_LT(cluster_.longest_unanswered(), 40s) << "seed " << GetParam();
    EXPECT_LT(run_until(600s, [&] { return cluster_.unfinished().empty(); }), 600s)
        << "seed " << GetParam() << ", first unfinished job: "
        << (cluster_.unfinished().empty() ? "" : cluster_.unfinished().front());
    EXPECT_EQ(cluster_.up_controllers(), 3u);
  }
};
}  // namespace limemast

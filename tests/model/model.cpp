#include "model/model.hpp"

#include <functional>
#include <utility>

namespace limemast::model {
namespace {
constexpr std::uint8_t kCertainTicks = 2;
constexpr std::uint8_t kCompletionHoldTicks = 2;
constexpr std::uint8_t kAllMachines = 3;              ///< Controller::reported_machines
constexpr std::uint8_t kStartCommandPending = 2;      ///< Controller::pending_send
constexpr std::uint8_t kSuspected = 1, kEvicted = 2;  ///< State::suspicion
constexpr std::uint8_t kStarted = 0, kNoState = 1, kPreviousLeaseEnded = 2;  ///< start_phase
constexpr std::uint8_t kCancelled = 1;  ///< State::final_status

std::string key_of(const State& state) {
  std::string key;
  auto put = [&](unsigned value) { key.push_back(static_cast<char>(value)); };
  for (const auto& node : state.controllers)
    for (unsigned value :
         {unsigned{node.epoch}, unsigned{node.leader}, unsigned{node.believes_leased},
          unsigned{node.certain_ticks}, unsigned{node.frozen}, unsigned{node.assigned_epoch},
          unsigned{node.reported_machines}, unsigned{node.knows_job_ended},
          unsigned{node.completion_hold_ticks}, unsigned{node.pending_send},
          unsigned{node.start_phase}})
      put(value);
  for (unsigned value : {unsigned{state.machines[0].fencing_token},
                         unsigned{state.machines[0].runs_task},
                         unsigned{state.machines[1].fencing_token},
                         unsigned{state.machines[1].runs_task},
                         unsigned{state.leased[0]},
                         unsigned{state.leased[1]},
                         unsigned{state.epoch},
                         unsigned{state.leader},
                         unsigned{state.member_incarnation[0]},
                         unsigned{state.member_incarnation[1]},
                         unsigned{state.suspicion[0]},
                         unsigned{state.suspicion[1]},
                         unsigned{state.final_status},
                         unsigned{state.store_down},
                         unsigned{state.start_command[0]},
                         unsigned{state.start_command[1]},
                         unsigned{state.user_told_end},
                         unsigned{state.status_went_backwards},
                         unsigned{state.outages_left},
                         unsigned{state.freezes_left},
                         unsigned{state.ticks_left},
                         unsigned{state.restarts_left},
                         unsigned{state.incarnation[0]},
                         unsigned{state.incarnation[1]},
                         unsigned{state.late_lease_delete}})
    put(value);
  return key;
}

/// Emits every step that is possible in a state, with its name and the state that it leads to.
class Steps {
 public:
  using Emit = std::function<void(const char*, const State&)>;
  Steps(const Variant& variant, Emit emit) : variant_(variant), emit_(std::move(emit)) {}

  void from(const State& state) {
    environment(state);
    for (std::size_t i = 0; i < 2; ++i) {
      if (state.controllers[i].frozen) {
        auto next = state;
        next.controllers[i].frozen = false;
        emit_("controller resumes", next);
        continue;
      }
      restart(state, i);
      membership(state, i);
      evict(state, i);
      schedule(state, i);
      answer_user(state, i);
    }
  }

 private:
  bool is_member(const State& state, std::size_t i) const {
    const auto& node = state.controllers[i];
    return node.believes_leased && node.epoch > 0;
  }
  bool may_answer_from_memory(const State& state, std::size_t i) const {
    return is_member(state, i) &&
           (!variant_.certain_before_answer || state.controllers[i].certain_ticks > 0);
  }
  bool store_available(const State& state) const { return !state.store_down; }
  /// The epoch names the incarnation of controller i's node key.
  bool epoch_names_incarnation(const State& state, std::size_t i) const {
    return state.member_incarnation[i] == state.incarnation[i];
  }
  bool leader_alive(const State& state) const {
    return state.leased[state.leader] && epoch_names_incarnation(state, state.leader);
  }

  /// A process restarts at once and loses its memory; its previous messages stay in flight.
  void restart(const State& state, std::size_t i) {
    const auto& node = state.controllers[i];
    if (state.restarts_left > 0 && node.start_phase == kStarted) {
      auto next = state;
      --next.restarts_left;
      next.controllers[i] = Controller{};
      next.controllers[i].believes_leased = false;
      next.controllers[i].certain_ticks = 0;
      next.controllers[i].start_phase = kNoState;
      // Without this safeguard it reuses the node key and the epoch of its previous incarnation.
      if (!variant_.new_incarnation && node.believes_leased) {
        next.controllers[i] = node;
        next.controllers[i].assigned_epoch = next.controllers[i].pending_send = 0;
      }
      emit_("controller restarts", next);
    }
    if (node.start_phase == kNoState && store_available(state)) {
      auto next = state;
      next.leased[i] = false;
      next.suspicion[i] = 0;  // the leader removes a suspicion of an ended incarnation
      next.controllers[i].start_phase = kPreviousLeaseEnded;
      emit_("ends its previous lease", next);
    }
    if (node.start_phase == kPreviousLeaseEnded && store_available(state)) {
      auto next = state;
      next.leased[i] = true;
      ++next.incarnation[i];
      next.controllers[i].start_phase = kStarted;
      next.controllers[i].believes_leased = true;
      next.controllers[i].certain_ticks = kCertainTicks;
      emit_("creates its lease and node key", next);
    }
    if (state.late_lease_delete && i == 1 && store_available(state)) {
      auto next = state;
      next.late_lease_delete = false;
      // The deletion names the lease of the first incarnation.
      if (state.incarnation[1] == 1) next.leased[1] = false;
      emit_("late lease deletion arrives", next);
    }
  }

  void environment(const State& state) {
    if (state.ticks_left > 0) {
      auto next = state;
      --next.ticks_left;
      for (auto& node : next.controllers) {
        node.certain_ticks -= node.certain_ticks > 0;
        node.completion_hold_ticks -= node.completion_hold_ticks > 0;
      }
      emit_("time passes", next);
    }
    if (!state.store_down && state.outages_left > 0) {
      auto next = state;
      next.store_down = true;
      --next.outages_left;
      emit_("store outage begins", next);
    }
    if (state.store_down) {
      auto next = state;
      next.store_down = false;
      emit_("store outage ends", next);
    }
    // A start command arrives, possibly late or repeatedly. The machine drops it if its fencing
    // token is lower than the highest that the machine has seen.
    for (std::size_t i = 0; i < 2; ++i) {
      if (state.start_command[i] == 0) continue;
      if (state.start_command[i] >= state.machines[i].fencing_token) {
        auto next = state;
        next.machines[i] = {state.start_command[i], true};
        emit_("start command arrives", next);
      }
      auto lost = state;
      lost.start_command[i] = 0;
      emit_("start command is lost", lost);
    }
  }

  void membership(const State& state, std::size_t i) {
    const auto& node = state.controllers[i];
    if (store_available(state) && state.leased[i] && node.believes_leased &&
        node.certain_ticks < kCertainTicks) {
      auto next = state;
      next.controllers[i].certain_ticks = kCertainTicks;
      emit_("renews its lease", next);
    }
    if (store_available(state) && !state.leased[i] && node.believes_leased &&
        node.start_phase == kStarted) {
      auto next = state;
      next.controllers[i].believes_leased = false;  // it restarts without any memory
      next.controllers[i].epoch = 0;
      next.controllers[i].assigned_epoch = 0;
      next.controllers[i].pending_send = 0;
      emit_("learns that its lease has ended", next);
    }
    if (store_available(state) && node.believes_leased && epoch_names_incarnation(state, i) &&
        node.epoch < state.epoch) {
      auto next = state;
      auto& updated = next.controllers[i];
      updated.epoch = state.epoch;
      updated.leader = state.leader;
      updated.reported_machines = 0;
      // A controller that sees an epoch has seen all writes before it.
      updated.knows_job_ended = updated.knows_job_ended || state.final_status != 0;
      if (!state.member_incarnation[1 - i] || variant_.restarts > 0)
        updated.completion_hold_ticks = kCompletionHoldTicks;
      emit_("sees the epoch", next);
    }
    // A node key was added or removed: the leader writes an epoch. If the leader is gone, the
    // controller that wins the election does so.
    const auto other = 1 - i;
    const std::uint8_t present = state.leased[other] ? state.incarnation[other] : 0;
    const bool may_write =
        leader_alive(state) ? state.leader == i && is_member(state, i) : node.believes_leased;
    if (store_available(state) && state.leased[i] && node.start_phase == kStarted && may_write &&
        (state.member_incarnation[other] != present || !epoch_names_incarnation(state, i))) {
      auto next = state;
      next.member_incarnation[other] = present;
      next.member_incarnation[i] = state.incarnation[i];
      next.leader = static_cast<std::uint8_t>(i);
      ++next.epoch;
      emit_("writes an epoch", next);
    }
    if (state.freezes_left > 0) {
      auto next = state;
      next.controllers[i].frozen = true;
      --next.freezes_left;
      emit_("controller freezes", next);
    }
  }

  void evict(const State& state, std::size_t i) {
    const auto other = 1 - i;
    if (!store_available(state) || !state.leased[i] || !is_member(state, i)) return;
    if (state.suspicion[i] == kSuspected) {
      auto next = state;
      next.suspicion[i] = 0;
      emit_("clears the suspicion of itself", next);
    }
    if (state.suspicion[i] == kEvicted) {  // evicted: the conditions of its transactions fail
      return;
    }
    if (state.leased[other] && state.suspicion[other] == 0) {
      auto next = state;
      next.suspicion[other] = kSuspected;
      emit_("suspects the other controller", next);
    }
    if (state.suspicion[other] == kSuspected) {
      auto next = state;
      next.suspicion[other] = kEvicted;
      emit_("evicts the other controller", next);
    }
    if (variant_.restarts > 0 && other == 1 && state.suspicion[1] == kEvicted &&
        state.incarnation[1] == 1 && !state.late_lease_delete) {
      auto next = state;
      next.late_lease_delete = true;
      emit_("sends the lease deletion", next);
    }
    if (state.suspicion[other] == kEvicted && state.leased[other]) {
      auto next = state;
      next.leased[other] = false;
      emit_("ends the other controller's lease", next);
    }
  }

  bool owns(const State& state, std::size_t i) const {
    return is_member(state, i) && state.controllers[i].leader == i;
  }

  void schedule(const State& state, std::size_t i) {
    const auto& node = state.controllers[i];
    if (!owns(state, i)) return;
    // A machine sends a heartbeat with its tasks, and adopts the fencing token of a controller
    // whose epoch is not older than that token.
    for (std::size_t m = 0; m < 2; ++m) {
      const auto& machine = state.machines[m];
      if (node.epoch < machine.fencing_token) continue;
      auto next = state;
      auto& updated = next.controllers[i];
      next.machines[m].fencing_token = node.epoch;
      updated.reported_machines = static_cast<std::uint8_t>(node.reported_machines | 1u << m);
      if (machine.runs_task && node.knows_job_ended)
        next.machines[m].runs_task = false;  // tasks of ended jobs are killed
      else if (machine.runs_task && node.assigned_epoch == 0)
        updated.assigned_epoch = node.epoch;  // takes over the running task
      emit_("machine sends a heartbeat", next);
    }
    const bool barrier_open =
        node.reported_machines == kAllMachines || node.epoch == 1 || !variant_.failover_barrier;
    if (node.assigned_epoch == 0 && !node.knows_job_ended && barrier_open &&
        node.pending_send == 0) {
      auto next = state;
      next.controllers[i].assigned_epoch = node.epoch;
      next.controllers[i].pending_send = kStartCommandPending;
      emit_("assigns the task", next);
    }
    if (node.pending_send == kStartCommandPending) {
      auto next = state;
      next.controllers[i].pending_send = 0;
      // The command carries the epoch in which it was decided; the variant reads the newest one
      // from the store.
      next.start_command[i] =
          variant_.deciding_epoch_on_commands ? node.assigned_epoch : state.epoch;
      emit_("sends the start command", next);
    }
    // A user cancels: one transaction writes the end, conditional on lease, membership and epoch.
    const bool ownership_guards = store_available(state) && state.leased[i] &&
                                  epoch_names_incarnation(state, i) && state.epoch == node.epoch;
    const bool taken_over = node.epoch > 1;
    if (ownership_guards && state.final_status == 0 &&
        !(variant_.completion_hold && taken_over && node.completion_hold_ticks > 0)) {
      auto next = state;
      next.final_status = kCancelled;
      next.controllers[i].knows_job_ended = true;
      next.user_told_end = true;
      emit_("commits the end of the job", next);
    }
  }

  /// A user queries the status. Only answers that are decided after a user was told of the end
  /// count: an earlier answer "running" may still arrive later.
  void answer_user(const State& state, std::size_t i) {
    const auto& node = state.controllers[i];
    if (owns(state, i) && may_answer_from_memory(state, i) && !node.knows_job_ended &&
        state.user_told_end) {
      auto next = state;
      next.status_went_backwards = true;
      emit_("tells a user that the job runs", next);
    }
  }

  Variant variant_;
  Emit emit_;
};

std::string rule_violated(const State& state) {
  if (state.machines[0].runs_task && state.machines[1].runs_task) return "ran_twice";
  if (state.status_went_backwards) return "went_back";
  return {};
}
}  // namespace

Outcome search(const Variant& variant, std::size_t max_depth) {
  Outcome out;
  State start;
  start.restarts_left = variant.restarts;
  if (variant.restarts > 0) start.outages_left = 0, start.freezes_left = 1, start.ticks_left = 3;
  for (auto& node : start.controllers) node.epoch = 1;
  start.controllers[0].reported_machines = start.controllers[1].reported_machines = kAllMachines;
  for (auto& m : start.machines) m.fencing_token = 1;
  explore(
      start, max_depth, key_of,
      [&](const State& state, const auto& emit) { Steps(variant, emit).from(state); },
      rule_violated, out);
  return out;
}
}  // namespace limemast::model

#include "model/task_ownership_model.hpp"

#include <algorithm>

namespace limemast::model::task_ownership {
namespace {
constexpr std::uint8_t kControllerLeaseTicks = 2, kMachineLeaseTicks = 2;
constexpr std::uint8_t kCancelTicks = 5;  ///< both leases and a margin of one tick
constexpr std::uint8_t kMaxAge = 9;       ///< ticks
constexpr std::uint8_t kMaxTasks = 3, kMaxRevision = 4;
constexpr std::uint8_t kLastToken = 2;  ///< of the epoch
constexpr int kParts = 4;

std::string key_of(const State& state) {
  std::string key;
  for (unsigned value : {unsigned{state.end_committed},
                         unsigned{state.confirmed_age},
                         unsigned{state.task_running},
                         unsigned{state.machine_lease_age},
                         unsigned{state.renewal_age},
                         unsigned{state.watch_age},
                         unsigned{state.store_rejects_r},
                         unsigned{state.watch_stalled},
                         unsigned{state.links_cut},
                         unsigned{state.notice_in_flight},
                         unsigned{state.notice_received},
                         unsigned{state.r_knows_end},
                         unsigned{state.heartbeat_after_notice},
                         unsigned{state.recorded_tasks},
                         unsigned{state.record_revision},
                         unsigned{state.complete_tasks},
                         unsigned{state.cleared_tasks},
                         unsigned{state.read_revision},
                         unsigned{state.write_unconfirmed},
                         unsigned{state.late_write[0]},
                         unsigned{state.late_write[1]},
                         unsigned{state.late_write_revision[0]},
                         unsigned{state.late_write_revision[1]},
                         unsigned{state.old_start_commands},
                         unsigned{state.old_attempt_running},
                         unsigned{state.new_attempt_running},
                         unsigned{state.machine_saw_epoch},
                         unsigned{state.n_knows_machine},
                         unsigned{state.n_found_attempt},
                         static_cast<unsigned>(state.attempt),
                         unsigned{state.machine_token},
                         unsigned{state.shown_token},
                         unsigned{state.exit_shown},
                         unsigned{state.start_token},
                         unsigned{state.copy_in_flight},
                         unsigned{state.forget_in_flight},
                         unsigned{state.forget_token},
                         unsigned{state.started_elsewhere}})
    key.push_back(static_cast<char>(value));
  return key;
}

class Steps {
 public:
  Steps(const Variant& variant, int part) : variant_(variant), part_(part) {}
  template <class Emit>
  void from(const State& state, const Emit& emit) const {
    // Each part is searched by itself, as the parts share no state.
    if (part_ == 0) simulate_cancellation(state, emit);
    if (part_ == 1) simulate_progress_writes(state, emit);
    if (part_ == 2) simulate_takeover(state, emit);
    if (part_ == 3) simulate_repeated_start(state, emit);
  }

 private:
  template <class Change, class Emit>
  static void step(const State& state, const Emit& emit, const char* name, Change change) {
    auto next = state;
    change(next);
    emit(name, next);
  }

  template <class Emit>
  void simulate_cancellation(const State& state, const Emit& emit) const {
    if (state.confirmed_age < kMaxAge)
      step(state, emit, "time passes", [](State& next) {
        for (auto* age : {&next.machine_lease_age, &next.renewal_age, &next.watch_age})
          *age = std::min<std::uint8_t>(kMaxAge, *age + 1);
        if (next.confirmed_age > 0) ++next.confirmed_age;
        if (next.machine_lease_age > kMachineLeaseTicks) next.task_running = false;
      });
    step(state, emit, "the store starts or stops rejecting R",
         [](State& next) { next.store_rejects_r = !next.store_rejects_r; });
    step(state, emit, "R's watch stalls or resumes",
         [](State& next) { next.watch_stalled = !next.watch_stalled; });
    step(state, emit, "R's links are cut or restored",
         [](State& next) { next.links_cut = !next.links_cut; });
    if (!state.end_committed)
      step(state, emit, "another controller commits the end and confirms it", [](State& next) {
        next.end_committed = next.notice_in_flight = true, next.confirmed_age = 1;
      });
    if (!state.store_rejects_r)
      step(state, emit, "R renews its lease", [](State& next) { next.renewal_age = 0; });
    if (!state.store_rejects_r && !state.watch_stalled)
      step(state, emit, "R's watch is answered", [](State& next) {
        next.watch_age = 0, next.r_knows_end = next.r_knows_end || next.end_committed;
      });
    // The notice is retried until it arrives, so only cut links delay it.
    if (state.notice_in_flight && !state.links_cut)
      step(state, emit, "R receives the notice of the end", [&](State& next) {
        next.notice_in_flight = false;
        next.notice_received = true;
        next.r_knows_end = next.r_knows_end || variant_.peer_notice_ends_job;
      });
    const auto authority_age = variant_.authority_bound_by_watch
                                   ? std::max(state.renewal_age, state.watch_age)
                                   : state.renewal_age;
    if (authority_age <= kControllerLeaseTicks)
      step(state, emit, "the machine sends R a heartbeat", [](State& next) {
        next.machine_lease_age = 0;
        if (next.r_knows_end) next.task_running = false;
        next.heartbeat_after_notice = next.notice_received;
      });
  }

  template <class Emit>
  void simulate_progress_writes(const State& state, const Emit& emit) const {
    if (state.complete_tasks < kMaxTasks)
      step(state, emit, "a task completes", [](State& next) { ++next.complete_tasks; });
    if (!state.write_unconfirmed && state.complete_tasks > 0 &&
        state.record_revision < kMaxRevision) {
      step(state, emit, "R writes its record", [](State& next) {
        next.recorded_tasks = next.complete_tasks, next.read_revision = ++next.record_revision;
      });
      for (std::size_t i = 0; i < 2; ++i)
        if (state.late_write[i] == 0)
          step(state, emit, "R writes its record and gets no answer", [i](State& next) {
            next.late_write[i] = static_cast<std::uint8_t>(next.complete_tasks + 1);
            next.late_write_revision[i] = next.read_revision;
            next.write_unconfirmed = true;
          });
    }
    if (state.write_unconfirmed)
      step(state, emit, "R reads its record", [&](State& next) {
        next.write_unconfirmed = false, next.read_revision = next.record_revision;
      });
    for (std::size_t i = 0; i < 2; ++i)
      if (state.late_write[i] != 0)
        step(state, emit, "a late transaction is applied", [&](State& next) {
          if (!variant_.write_checks_revision ||
              next.late_write_revision[i] == next.record_revision)
            next.recorded_tasks = static_cast<std::uint8_t>(next.late_write[i] - 1),
            ++next.record_revision;
          next.late_write[i] = 0;
        });
    if (!state.write_unconfirmed && state.read_revision == state.record_revision &&
        state.cleared_tasks < state.recorded_tasks)
      step(state, emit, "R clears the recorded attempts",
           [](State& next) { next.cleared_tasks = next.recorded_tasks; });
  }

  template <class Emit>
  void simulate_takeover(const State& state, const Emit& emit) const {
    // The command carries the old fencing token, which the machine drops once it has seen the new
    // one.
    if (state.old_start_commands > 0 && !state.machine_saw_epoch)
      step(state, emit, "the old owner's start command arrives",
           [](State& next) { next.old_start_commands = 0, next.old_attempt_running = true; });
    step(state, emit, "the machine reports under N's epoch", [](State& next) {
      next.machine_saw_epoch = next.n_knows_machine = true,
      next.n_found_attempt = next.old_attempt_running;
    });
    // The heartbeat was sent before the old attempt started and before the machine saw the new
    // epoch.
    step(state, emit, "N receives an old heartbeat", [&](State& next) {
      if (!variant_.heartbeat_must_show_epoch) next.n_knows_machine = true;
    });
    if (state.n_knows_machine && !state.n_found_attempt && !state.new_attempt_running)
      step(state, emit, "N starts the task elsewhere",
           [](State& next) { next.new_attempt_running = true; });
  }

  template <class Emit>
  void simulate_repeated_start(const State& state, const Emit& emit) const {
    if (state.machine_token < kLastToken)
      step(state, emit, "a command for another task raises the token",
           [](State& next) { ++next.machine_token; });
    const bool may_start = state.machine_token < kLastToken || !variant_.last_token_starts_nothing;
    if (state.attempt == AttemptState::NotStarted && may_start)
      step(state, emit, "the machine executes the direct start", [](State& next) {
        next.attempt = AttemptState::Running;
        next.start_token = next.machine_token;
        next.copy_in_flight = true;
      });
    if (state.attempt == AttemptState::Running)
      step(state, emit, "the attempt exits",
           [](State& next) { next.attempt = AttemptState::Exited; });
    step(state, emit, "the machine sends a heartbeat", [](State& next) {
      next.shown_token = next.machine_token;
      if (next.attempt == AttemptState::Exited) next.exit_shown = true;
    });
    if (state.exit_shown && !state.started_elsewhere)
      step(state, emit, "the owner starts the task elsewhere",
           [](State& next) { next.started_elsewhere = true; });
    // The controller to which the machine is attached may not know who sent the start.
    if (state.exit_shown && !state.forget_in_flight)
      step(state, emit, "the controller sends a forget", [&](State& next) {
        next.forget_in_flight = true;
        next.forget_token = next.shown_token;
        if (variant_.forget_raises_token)
          next.forget_token = std::min<std::uint8_t>(kLastToken, next.shown_token + 1);
      });
    if (state.forget_in_flight)
      step(state, emit, "the forget arrives", [](State& next) {
        next.forget_in_flight = false;
        if (next.forget_token < next.machine_token) return;
        next.machine_token = next.forget_token;
        if (next.attempt == AttemptState::Exited) next.attempt = AttemptState::Forgotten;
      });
    if (state.copy_in_flight)
      step(state, emit, "the copy of the start arrives", [](State& next) {
        next.copy_in_flight = false;
        if (next.start_token < next.machine_token) return;
        if (next.attempt == AttemptState::Forgotten) next.attempt = AttemptState::Running;
      });
  }
  Variant variant_;
  int part_;
};

std::string rule_violated(const State& state) {
  if (state.task_running && state.confirmed_age > kCancelTicks + 1) return "ran_cancelled";
  if (state.task_running && state.notice_received && state.heartbeat_after_notice)
    return "ran_after_notice";
  if (state.cleared_tasks > state.recorded_tasks) return "cleared_but_unrecorded";
  if (state.old_attempt_running && state.new_attempt_running) return "ran_twice";
  if (state.attempt == AttemptState::Running && state.started_elsewhere) return "ran_twice";
  return {};
}
}  // namespace

Outcome search(const Variant& variant, std::size_t max_depth) {
  Outcome all;
  for (int part = 0; part < kParts && all.violation.empty(); ++part) {
    Outcome out;
    const Steps steps(variant, part);
    explore(
        State{}, max_depth, key_of,
        [&](const State& state, const auto& emit) { steps.from(state, emit); }, rule_violated, out);
    all.violation = out.violation;
    all.states += out.states;
    all.depth = std::max(all.depth, out.depth);
  }
  return all;
}
}  // namespace limemast::model::task_ownership

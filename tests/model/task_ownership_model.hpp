#pragma once
#include <array>
#include <cstdint>

#include "model/explore.hpp"

namespace limemast::model::task_ownership {
/// A model of task ownership under faults other than evictions, which model.hpp covers. It has
/// four independent parts:
/// - Controller R keeps the lease of a machine. The key-value store may reject R, R's watch may
///   stall and R's links may be cut, while another controller confirms the end of the job that
///   runs on the machine.
/// - R records progress by transactions that may be applied late.
/// - Controller N has just taken over a task and may receive a heartbeat that is older than the
///   takeover.
/// - The machine executes a direct start, whose copy arrives later. Meanwhile the attempt ends, is
///   forgotten, and the task is started elsewhere.
/// Time advances in ticks. The ratios of controller lease, machine lease and cancel_s are as in the
/// real settings.
/// An attempt as its machine knows it.
enum class AttemptState : std::uint8_t { NotStarted, Running, Exited, Forgotten };

struct State {
  // The job that has a task on R's machine.
  bool end_committed = false;      ///< the store holds the end of the job
  std::uint8_t confirmed_age = 0;  ///< ticks since a user was told of the end, plus one; 0: not yet
  bool task_running = true;
  std::uint8_t machine_lease_age = 0;  ///< ticks since the last answered heartbeat
  std::uint8_t renewal_age = 0;        ///< ticks since R's last granted renewal
  std::uint8_t watch_age = 0;          ///< ticks since R's watch cache was complete
  bool store_rejects_r = false, watch_stalled = false, links_cut = false;
  bool notice_in_flight = false;        ///< the notice of the end has not reached R yet
  bool notice_received = false;         ///< R has received the notice
  bool r_knows_end = false;             ///< R treats the job as ended
  bool heartbeat_after_notice = false;  ///< the machine reported to R after the notice
  // R's progress record.
  std::uint8_t recorded_tasks = 0;   ///< complete tasks according to the record
  std::uint8_t record_revision = 0;  ///< revision of the record's key
  std::uint8_t complete_tasks = 0;   ///< complete tasks that R knows of
  std::uint8_t cleared_tasks = 0;    ///< tasks whose attempts were cleared after being recorded
  std::uint8_t read_revision = 0;    ///< the revision that R read last
  bool write_unconfirmed = false;    ///< R's last write was not answered
  std::array<std::uint8_t, 2> late_write{0, 0};           ///< in flight: recorded tasks plus one
  std::array<std::uint8_t, 2> late_write_revision{0, 0};  ///< the revision that it requires
  // A task that N took over and that its old owner may have started on a machine.
  std::uint8_t old_start_commands = 1;  ///< in flight from the old owner
  bool old_attempt_running = false, new_attempt_running = false;
  bool machine_saw_epoch = false;  ///< the machine has reported under N's epoch
  bool n_knows_machine = false;    ///< N considers the machine's tasks known
  bool n_found_attempt = false;    ///< N knows that the machine runs the task
  // An attempt that was started by a direct request, of which a copy may arrive. Tokens count from
  // the first one of the epoch.
  AttemptState attempt = AttemptState::NotStarted;
  std::uint8_t machine_token = 0;  ///< the highest token that the machine has seen
  std::uint8_t shown_token = 0;    ///< the machine's token in its last heartbeat
  bool exit_shown = false;         ///< a heartbeat has shown the attempt as exited
  std::uint8_t start_token = 0;    ///< token of the direct start
  bool copy_in_flight = false;     ///< the copy of the start has not arrived yet
  bool forget_in_flight = false;
  std::uint8_t forget_token = 0;
  bool started_elsewhere = false;  ///< the owner has started the task on another machine

  bool operator==(const State&) const = default;
};

/// Each flag disables one safeguard of the real logic, so that tests can verify that the checker
/// finds the violation which the safeguard prevents.
struct Variant {
  bool write_checks_revision = true;  ///< a write requires the last read revision of its own key
  bool heartbeat_must_show_epoch =
      true;  ///< a new owner relies on a heartbeat only if it shows the new epoch
  bool peer_notice_ends_job =
      true;  ///< a peer's notice ends a job, also while the store rejects the receiver
  bool authority_bound_by_watch =
      true;  ///< authority expires with the watch cache's freshness as well as with the lease
  bool forget_raises_token =
      true;  ///< a forget has a higher token than the heartbeat that shows the exited attempt
  bool last_token_starts_nothing =
      true;  ///< no direct start has the last token of the epoch, above which there is none
};
Outcome search(const Variant& variant, std::size_t max_depth);
}  // namespace limemast::model::task_ownership

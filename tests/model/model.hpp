#pragma once
#include <array>
#include <cstdint>

#include "model/explore.hpp"

namespace limemast::model {
/// A model of leases, suspicion, eviction, epochs, fencing tokens and task assignment. It has two
/// controllers, two machines and one job of one task, which controller i would start on machine i.
/// A step is an action of a controller or machine, or a fault: a message that is lost, late or
/// repeated, a controller that is frozen between deciding and sending, or an outage of the
/// key-value store. Time advances in ticks; a renewed lease guarantees membership for two of them.
///
/// The state is plain bytes, so that states can be hashed and compared.
struct Controller {
  std::uint8_t epoch = 0;          ///< newest epoch seen; 0: none
  std::uint8_t leader = 0;         ///< leader of that epoch
  bool believes_leased = true;     ///< true until the controller learns that its lease has ended
  std::uint8_t certain_ticks = 2;  ///< remaining ticks for which a renewal guarantees membership
  bool frozen = false;
  std::uint8_t assigned_epoch = 0;     ///< epoch in which it assigned the task; 0: not assigned
  std::uint8_t reported_machines = 0;  ///< bit set of the machines that reported under its epoch
  bool knows_job_ended = false;
  std::uint8_t completion_hold_ticks = 0;  ///< ticks until it may write the end of a job that it
                                           ///< took over
  std::uint8_t pending_send = 0;           ///< 0: nothing, 2: a start command, decided but not sent
  std::uint8_t start_phase = 0;  ///< 0: started, 1: no state yet, 2: previous incarnation's lease
                                 ///< ended
};
struct Machine {
  std::uint8_t fencing_token = 0;  ///< epoch of the highest fencing token seen
  bool runs_task = false;
};
struct State {
  std::array<Controller, 2> controllers;
  std::array<Machine, 2> machines;
  // Content of the key-value store.
  std::array<bool, 2> leased{true, true};
  std::uint8_t epoch = 1;
  std::uint8_t leader = 0;
  std::array<std::uint8_t, 2> incarnation{
      1, 1};  ///< incarnation that each controller's node key names, or named last
  std::array<std::uint8_t, 2> member_incarnation{1, 1};  ///< named by the epoch; 0: not a member
  std::array<std::uint8_t, 2> suspicion{0, 0};           ///< 0: none, 1: suspected, 2: evicted
  std::uint8_t final_status = 0;                         ///< 0: open, 1: cancelled
  bool store_down = false;
  // The start command in flight from each controller: the epoch of its fencing token, or 0. It may
  // arrive late or repeatedly.
  std::array<std::uint8_t, 2> start_command{0, 0};
  // What users were told.
  bool user_told_end = false;
  bool status_went_backwards = false;  ///< a user was told "running" after "ended"
  // How many more faults and ticks may occur.
  std::uint8_t outages_left = 1, freezes_left = 2, ticks_left = 6, restarts_left = 0;
  bool late_lease_delete = false;  ///< in flight: the deletion of controller 1's first lease

  bool operator==(const State&) const = default;
};

/// Each flag disables one safeguard of the real logic, so that tests can verify that the checker
/// finds the violation which the safeguard prevents.
struct Variant {
  bool failover_barrier = true;  ///< a new owner waits until all machines reported under its epoch
  bool certain_before_answer =
      true;  ///< a controller answers users from memory only while certain of its membership
  bool deciding_epoch_on_commands =
      true;  ///< a command carries the epoch in which it was decided, not the newest one
  bool new_incarnation =
      true;  ///< a restarted process is a member only once an epoch names its own incarnation
  std::uint8_t restarts = 0;    ///< immediate restarts of processes; if there are any, freezes and
                                ///< ticks are fewer and the store has no outage
  bool completion_hold = true;  ///< a new owner writes the end of a job that it took over only
                                ///< after the old owner has stopped answering users
};

/// Checks all states within `max_depth` steps of the start.
Outcome search(const Variant& variant, std::size_t max_depth);
}  // namespace limemast::model

#pragma once
// Tracks which machines have confirmed which membership epoch to this owner.
#include <optional>
#include <string>
#include <unordered_map>

#include "jobs/job.hpp"

namespace limemast::jobs {
/// The failover barrier of the jobs that this controller took over. Their former owner may have
/// assigned tasks that are not known here. Tasks of such a job are assigned only after every
/// registered machine has confirmed the epoch in which the job was taken over, or a later one: its
/// heartbeat carried a fencing token of that epoch, and all tasks in that heartbeat were reconciled
/// here.
///
/// failover::FailoverBarrier decides which machines the barrier stops waiting for.
class FailoverBarrierState {
 public:
  explicit FailoverBarrierState(const machines::Registry& registry) : registry_(registry) {}

  /// To be called when all tasks in the machine's heartbeat with this token were reconciled.
  void confirm(const std::string& machine, ids::FencingToken token);
  void remove(const std::string& machine);
  /// To be called when the set of registered machines has changed.
  void on_registrations_changed() { least_confirmed_.reset(); }

  /// Whether every registered machine has confirmed this epoch or a later one.
  bool confirmed_by_all(ids::EpochNumber epoch) const;
  /// Whether every registered on-demand machine has confirmed this epoch or a later one.
  bool confirmed_by_on_demand(ids::EpochNumber epoch) const;
  /// Whether this machine has confirmed this epoch or a later one.
  bool confirmed_by(const std::string& machine, ids::EpochNumber epoch) const;
  /// Whether this owner knows every task of the job that may be on a machine.
  bool passed(const Job& job) const;

  /// The epoch that machines must confirm before all pending tasks may be assigned; kNoEpoch if no
  /// task waits for a confirmation. JobOwner sets it in each tick.
  ids::EpochNumber awaited_epoch() const { return awaited_epoch_; }
  void set_awaited_epoch(ids::EpochNumber epoch) { awaited_epoch_ = epoch; }

 private:
  /// The lowest token that any machine of the group has confirmed.
  struct LeastConfirmed {
    ids::FencingToken on_demand{};
    ids::FencingToken all{};
  };
  const LeastConfirmed& least_confirmed() const;

  const machines::Registry& registry_;
  std::unordered_map<std::string, ids::FencingToken> confirmed_;  ///< by machine
  mutable std::optional<LeastConfirmed> least_confirmed_;  ///< cached; nullopt: to be computed
  ids::EpochNumber awaited_epoch_{};
};
}  // namespace limemast::jobs

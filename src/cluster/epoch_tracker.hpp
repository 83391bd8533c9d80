#pragma once
// Tracks the membership epoch in force as observed by this controller.
#include "cluster/records.hpp"
#include "net/runtime.hpp"

namespace limemast::cluster {
/// A controller is certain to still be a member for this long after it sent a successful lease
/// renewal. Renewals are sent every second.
constexpr std::chrono::milliseconds kLeaseCertainFor{2500};

/// Follows the membership epoch record and derives what each new epoch changed. Performs no I/O.
class EpochTracker {
 public:
  enum class Update {
    None,        ///< the record is not newer than the known epoch
    Unreadable,  ///< the record cannot be decoded; no controller may act until the leader rewrites
                 ///< it
    Advanced     ///< a new epoch is in force
  };
  Update update(const store::Entry& entry, net::Time now);

  const MembershipEpoch& epoch() const { return epoch_; }
  /// True if the newest record was decoded, so that epoch() reflects it.
  bool readable() const { return readable_; }
  bool is_member(const ControllerId& controller) const {
    return epoch_.members.contains(controller);
  }
  /// True if the current epoch dropped a member of the previous one.
  bool lost_member() const { return lost_member_; }
  /// When this controller last observed the first epoch or an epoch that dropped a member.
  net::Time last_member_loss() const { return last_member_loss_; }
  /// From this time on, no dropped member answers user queries from memory.
  net::Time lost_members_silent_from() const { return lost_members_silent_from_; }
  /// First epoch of the current leader's uninterrupted term.
  ids::EpochNumber leader_since_epoch() const { return leader_since_epoch_; }

 private:
  void advance(MembershipEpoch next, net::Time now);
  MembershipEpoch epoch_;
  bool readable_ = true;
  bool lost_member_ = false;
  net::Time last_member_loss_{};
  net::Time lost_members_silent_from_{};
  ids::EpochNumber leader_since_epoch_{};
};
}  // namespace limemast::cluster

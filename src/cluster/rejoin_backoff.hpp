#pragma once
// Decides which controllers the next membership epoch includes, and when it is written.
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cluster/records.hpp"
#include "net/runtime.hpp"

namespace limemast::cluster {
/// Decides on the members of the next epoch. After each new epoch, new work waits until the
/// machines have confirmed it (failover::FailoverBarrier), so a controller in a crash loop could
/// block the others indefinitely. Therefore:
///
/// - An incarnation whose controller was lost repeatedly is admitted only after a backoff of 1 s,
///   doubled with each further loss up to 30 s. The first loss has no backoff. After a minute
///   without a loss the count is reset.
/// - After a loss, the epoch is delayed briefly for the lost controller's next incarnation. That
///   incarnation fences the previous one a few requests before it registers, so that one epoch is
///   written instead of two.
/// - A new leader waits equally long for controllers that start at the same time.
///
/// Current members and the leader are never delayed. Performs no I/O. Every controller maintains
/// this state, so that any new leader knows the history of the others.
class RejoinBackoff {
 public:
  /// Updates the loss history from the registered controllers in the watch cache.
  void observe(const std::set<ControllerId>& registered, net::Time now);

  struct Decision {
    std::set<ControllerId> members;
    std::optional<net::Time> reconsider_at;  ///< when to decide again, even without changes
    bool wait = false;                       ///< no epoch may be written before `reconsider_at`
  };
  /// `members` are those of the current epoch. `leader` writes the next epoch and was elected at
  /// `elected_at`. `size` is the number of controllers in the deployment.
  Decision decide(const std::set<ControllerId>& members, const ControllerId& leader,
                  net::Time elected_at, std::size_t size, net::Time now) const;
  /// Returns how long after its registration an incarnation of this controller is kept out of the
  /// epoch.
  net::Duration backoff(const std::string& label, net::Time now) const;

 private:
  struct ControllerHistory {
    ControllerId incarnation;  ///< registered incarnation, or the last one
    bool registered = false;
    net::Time changed_at{};  ///< when `registered` last changed
    unsigned losses = 0;
    net::Time last_loss{};
  };
  void record_losses(const std::map<std::string, ControllerId>& registered, net::Time now);

  std::map<std::string, ControllerHistory> histories_;  ///< by label
};
}  // namespace limemast::cluster

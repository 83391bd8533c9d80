#pragma once
// Leader election, and publication of membership epochs by the leader.
#include "cluster/epoch_tracker.hpp"
#include "cluster/lease_keeper.hpp"
#include "cluster/rejoin_backoff.hpp"
#include "store/watch_cache.hpp"

namespace limemast::cluster {
/// Campaigns for the leader key, which is attached to the leader's lease. When that lease ends, the
/// key is deleted and the next controller that writes it leads. The leader writes a new membership
/// epoch when the registered controllers differ from the members of the current epoch.
/// RejoinBackoff decides on the members of the next epoch and when it is written.
class LeaderElection {
 public:
  /// All arguments must outlive this object.
  LeaderElection(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
                 store::WatchCache& watch_cache, LeaseKeeper& lease_keeper,
                 const EpochTracker& epoch);

  /// Must be called when member keys or the leader key changed in the watch cache.
  void on_keys_changed();
  /// Campaigns if there is no leader, or writes the next epoch if this controller leads and the
  /// members changed. Otherwise does nothing.
  void advance();
  /// False while the leader key holds a record that cannot be decoded.
  bool leader_readable() const { return leader_readable_; }

 private:
  bool ready() const;
  bool member_key_is_ours() const;
  std::set<ControllerId> registered_controllers() const;
  void campaign(const store::Entry* leader_key);
  void propose_epoch();
  void write_epoch(const std::set<ControllerId>& members);
  /// Logs why the next epoch is written, once for each epoch and reason.
  void log_reason(const std::string& reason);
  void reconsider_at(net::Time at, net::Time now);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  store::Client& client_;
  store::WatchCache& watch_cache_;
  LeaseKeeper& lease_keeper_;
  const EpochTracker& epoch_;
  RejoinBackoff rejoin_backoff_;
  net::Time elected_at_{};     ///< start of this controller's term; Time{} if it does not lead
  net::Time reconsider_at_{};  ///< next scheduled advance(); Time{} if none
  std::pair<ids::EpochNumber, std::string> logged_reason_;
  bool leader_readable_ = true;
  bool campaign_in_flight_ = false;
  bool epoch_write_in_flight_ = false;
};
}  // namespace limemast::cluster

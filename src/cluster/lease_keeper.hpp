#pragma once
// Manages this controller's lease in the key-value store and the member key attached to it.
#include <functional>
#include <string>

#include "cluster/records.hpp"
#include "cluster/startup_timeline.hpp"
#include "store/client.hpp"
#include "wire/settings.hpp"

namespace limemast::cluster {
/// Registers this controller as present: it fences the previous incarnation with the same label,
/// acquires a lease, writes the member key attached to that lease, and renews the lease until it is
/// lost. A lost lease is not reacquired; the controller restarts as a new incarnation.
class LeaseKeeper {
 public:
  struct Events {
    std::function<void()> registered;  ///< called when self() and member_revision() are set
    std::function<void()> lost;        ///< called once; no renewal is sent afterwards
  };
  /// Draws one random number from the runtime. All arguments must outlive this object.
  LeaseKeeper(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
              StartupTimeline& timeline);
  void start(Events events);

  /// Empty until registered.
  const ControllerId& self() const { return self_; }
  /// Revision of the member key; kAbsent until registered.
  store::Revision member_revision() const { return member_revision_; }
  store::LeaseId lease() const { return lease_; }
  /// Longest time after the last renewal for which the lease may still exist and this controller
  /// may act.
  net::Duration lease_ttl() const { return lease_ttl_; }
  /// When the last successful renewal was sent.
  net::Time last_renewal() const { return last_renewal_; }
  bool lost() const { return lost_; }
  /// Marks the lease as lost regardless of its state in the store, and reports the loss once.
  void mark_lost();

 private:
  void fence_previous_incarnation();
  void on_previous_member_key(const store::GetResult& key);
  void on_previous_incarnation_fenced();
  void retry_fencing();
  void remove_unleased_member_key(store::Revision mod_revision);
  void acquire_lease();
  void on_lease_acquired(store::LeaseId lease, net::Time sent);
  void register_member();
  void on_registration(const store::TxnResult& result);
  void read_back_member_key();
  void on_registered(store::Revision mod_revision);
  void retry_registration();
  void keep_alive();
  void on_keep_alive(store::KeepAliveStatus status, net::Time sent);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  store::Client& client_;
  StartupTimeline& timeline_;
  Events events_;
  std::string incarnation_;  ///< random text that identifies the member key written by this process
  net::Duration lease_ttl_;
  store::LeaseId lease_{};
  store::Revision member_revision_{};
  ControllerId self_;
  net::Time last_renewal_{};
  bool previous_incarnation_fenced_ = false;
  bool lost_ = false;
};
}  // namespace limemast::cluster

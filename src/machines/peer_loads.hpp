#pragma once
// What the other controllers tell of themselves once a second, and how machines are spread by it.
#include <map>
#include <optional>

#include "machines/gateway_context.hpp"
#include "messages/machines.hpp"
#include "overload/load_rebalancer.hpp"

namespace limemast::machines {
class PeerLoads {
 public:
  explicit PeerLoads(const GatewayContext& context) : context_(context) {}

  /// Takes what `from` tells of itself.
  void record(const cluster::ControllerId& from, const messages::HeartbeatDigest& message);
  /// The share of the time since the last call, 0 to 1, in which this process's event loop had
  /// work.
  double measure_own_load();
  /// Notes gaps in what members tell: for as long, the silence of a machine proves nothing here.
  void detect_silent_members();
  /// Once a second: decides how many machines may be redirected, if that is switched on.
  void plan_redirects(std::size_t attached_machines, double own_load);

  /// Whether machines may be redirected until the next plan.
  bool may_redirect() const { return load_rebalancer_.allowance() > 0; }
  /// The controller that the next machine is to be redirected to; nullopt if it is to stay. Uses up
  /// one of the redirects that are planned.
  std::optional<cluster::ControllerId> take_redirect();
  /// Machines redirected so far.
  std::uint64_t redirected() const { return redirected_; }

  /// Some other controller has told recently that the state service serves it.
  bool others_reach_store() const;

 private:
  struct Report {
    net::Time received_at{};
    bool store_available = false;
    double load = 0;
  };
  bool is_recent(const Report& report) const;

  GatewayContext context_;
  std::map<cluster::ControllerId, Report> reports_;  ///< the newest of each other controller
  overload::LoadRebalancer load_rebalancer_;
  net::Duration busy_before_{};
  net::Time measured_at_{};
  std::uint64_t redirected_ = 0;
};
}  // namespace limemast::machines

#pragma once
// Keeps the load and store availability that the other controllers report once a second, and plans
// by them how many machines to redirect.
#include <map>
#include <optional>
#include <set>

#include "machines/gateway_context.hpp"
#include "messages/machines.hpp"
#include "overload/load_rebalancer.hpp"

namespace limemast::machines {
class PeerLoads {
 public:
  explicit PeerLoads(const GatewayContext& context) : context_(context) {}

  /// Stores the load and store availability that `from` reports.
  void record(const cluster::ControllerId& from, const messages::HeartbeatDigest& message);
  /// Share of the time since the last call, 0 to 1, in which this process's event loop was busy.
  double measure_own_load();
  /// Detects gaps in the members' reports. A machine's silence during a gap proves nothing, so the
  /// gap resets `Registry::peers_connected_since`.
  void detect_silent_members();
  /// Decides how many machines may be redirected until the next call, if load balancing is enabled.
  /// Called once a second.
  void plan_redirects(std::size_t attached_machines, double own_load);

  /// Whether the current plan allows another redirect.
  bool may_redirect() const { return load_rebalancer_.remaining_moves() > 0; }
  /// Returns the controller that the next machine is redirected to, or nullopt if the machine
  /// stays. Uses up one planned redirect.
  std::optional<cluster::ControllerId> take_redirect();
  /// Number of machines redirected so far.
  std::uint64_t redirected() const { return redirected_; }

  /// Whether another controller has recently reported that the state service is available to it.
  bool any_peer_reaches_store() const;

 private:
  struct Report {
    net::Time received_at{};
    bool store_available = false;
    double load = 0;
  };
  bool is_recent(const Report& report) const;
  /// Logs when the reports of a member begin or cease to be missing.
  void log_gap(const cluster::ControllerId& controller, bool missing);

  GatewayContext context_;
  std::map<cluster::ControllerId, Report> reports_;  ///< newest report of each other controller
  std::set<cluster::ControllerId> missing_;          ///< members whose reports are missing
  overload::LoadRebalancer load_rebalancer_;
  net::Duration last_busy_{};
  net::Time last_measured_at_{};
  std::uint64_t redirected_ = 0;
};
}  // namespace limemast::machines

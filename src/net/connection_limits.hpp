#pragma once
// Which connections an HTTP server closes or refuses when it runs out of sockets.
#include <cstddef>

#include "net/runtime.hpp"

namespace limemast::net {
/// Decides which connections a server closes or refuses when it runs out of sockets. A single
/// controller may have to serve more machines than it has sockets, and a machine that cannot
/// connect loses its lease. Has no side effects.
///
/// As the fraction of used sockets grows, the measures are, in this order:
/// 1. users' connections are closed after their next response, and idle ones are closed to admit
/// new connections;
/// 2. connections of machines without tasks are closed after their next response, and then those of
/// all machines. A machine reconnects for its next heartbeat, so no heartbeat is lost, and the
/// server needs only as many sockets as heartbeats are in progress at one time;
/// 3. users' requests are refused;
/// 4. machines with tasks are never refused while another connection can be closed: their idle
/// connections stay open, and a new connection is closed only if no idle one may be closed for it.
///
/// Covered by the test ConnectionLimitsUnderLoad.AMachineWithTasksCanAlwaysConnect.
class ConnectionLimits {
 public:
  /// `max_connections`: the number of sockets for connections of this server.
  explicit ConnectionLimits(std::size_t max_connections) : max_connections_(max_connections) {}
  /// Whether the connection is closed after the response that is about to be sent. `open` counts
  /// all open connections, including this one.
  bool should_close_after(ConnectionClass connection_class, std::size_t open) const {
    switch (connection_class) {
      case ConnectionClass::Unknown:
      case ConnectionClass::User:
        return exceeds_share(open, kCloseUsersAbove);
      case ConnectionClass::Machine:
        return exceeds_share(open, kCloseMachinesAbove);
      case ConnectionClass::BusyMachine:
        return exceeds_share(open, kCloseBusyMachinesAbove);
    }
    return false;
  }
  /// Whether requests of users are refused.
  bool should_refuse_users(std::size_t open) const {
    return exceeds_share(open, kRefuseUsersAbove);
  }
  /// Whether a connection must be closed: an idle one or the newest.
  bool over_limit(std::size_t open) const { return open > max_connections_; }
  /// Idle connections with a lower value are closed first; see is_never_closed_when_idle().
  static int closing_order(ConnectionClass connection_class) {
    switch (connection_class) {
      case ConnectionClass::Machine:
        return 2;
      case ConnectionClass::User:
        return 1;
      default:
        return 0;
    }
  }
  /// Whether connections of this class are never closed while idle.
  static bool is_never_closed_when_idle(ConnectionClass connection_class) {
    return connection_class == ConnectionClass::BusyMachine;
  }

 private:
  // Fractions of used sockets above which each measure applies.
  static constexpr double kCloseUsersAbove = 0.7;
  static constexpr double kCloseMachinesAbove = 0.8;
  static constexpr double kCloseBusyMachinesAbove = 0.85;
  static constexpr double kRefuseUsersAbove = 0.95;

  bool exceeds_share(std::size_t open, double share) const {
    return static_cast<double>(open) > share * static_cast<double>(max_connections_);
  }
  std::size_t max_connections_;
};
}  // namespace limemast::net

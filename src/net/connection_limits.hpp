#pragma once
// Which connections a server closes or refuses when its sockets run short.
#include <cstddef>

#include "net/runtime.hpp"

namespace limemast::net {
/// Decides which connections go when a server's sockets run short. A single controller may have to
/// serve all machines, and they are more than its sockets; a machine that cannot connect loses its
/// lease. Pure logic.
///
/// In this order, as a growing share of the sockets is in use:
/// 1. users' connections are closed after their next answer, and idle ones are closed for new
/// connections;
/// 2. those of machines without tasks are closed after their next answer, then all machines': they
/// connect again for their next heartbeat, and no heartbeat is lost by that. As many sockets as
/// heartbeats are under way at a time are then enough;
/// 3. users are refused at once;
/// 4. a machine with tasks is never shut out: no idle connection of one is closed, and a new
/// connection is refused only if no other can be closed.
///
/// Covered by the test ConnectionLimitsUnderLoad.AMachineWithTasksCanAlwaysConnect.
class ConnectionLimits {
 public:
  /// `most`: sockets for connections of this server.
  explicit ConnectionLimits(std::size_t most) : most_(most) {}
  /// Whether the connection is closed after the answer that is about to be sent. `open`: open
  /// connections, this one included.
  bool close_after(ConnectionClass connection_class, std::size_t open) const {
    switch (connection_class) {
      case ConnectionClass::Unknown:
      case ConnectionClass::User:
        return above(open, kCloseUsersAbove);
      case ConnectionClass::Machine:
        return above(open, kCloseMachinesAbove);
      case ConnectionClass::BusyMachine:
        return above(open, kCloseBusyMachinesAbove);
    }
    return false;
  }
  /// Whether users are told to come again later.
  bool turn_away(std::size_t open) const { return above(open, kRefuseUsersAbove); }
  /// Whether a connection has to be closed, an idle one or the newest.
  bool full(std::size_t open) const { return open > most_; }
  /// Of two idle connections that may be closed, the one with the lower rank goes first; see
  /// keep().
  static int rank(ConnectionClass connection_class) {
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
  static bool keep(ConnectionClass connection_class) {
    return connection_class == ConnectionClass::BusyMachine;
  }

 private:
  // Shares of the sockets in use above which each measure begins.
  static constexpr double kCloseUsersAbove = 0.7;
  static constexpr double kCloseMachinesAbove = 0.8;
  static constexpr double kCloseBusyMachinesAbove = 0.85;
  static constexpr double kRefuseUsersAbove = 0.95;

  bool above(std::size_t open, double share) const {
    return static_cast<double>(open) > share * static_cast<double>(most_);
  }
  std::size_t most_;
};
}  // namespace limemast::net

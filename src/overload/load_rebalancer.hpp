#pragma once
// Evens out the load of the controllers by moving machines between them.
#include <map>

#include "cluster/membership.hpp"

namespace limemast::overload {
/// Decides which controller a machine sends its heartbeats to, by the load: the share of time in
/// which a controller's event loop has work. The most loaded controller redirects a few machines a
/// second to the least loaded one until the loads are nearly even. The leader, which has more other
/// work, so ends up with fewer machines.
class LoadRebalancer {
 public:
  /// To be called once a second, with the load of every controller (0 to 1), this one's under
  /// `self`, and the number of machines attached here. Sets the allowance until the next call.
  void update(const cluster::ControllerId& self,
              const std::map<cluster::ControllerId, double>& loads, std::size_t machines_here);
  /// Where the next machine is to be moved; empty: it stays. Uses up one of the allowance.
  cluster::ControllerId next_target();
  /// Machines that may still be moved until the next call of `update`.
  std::size_t remaining_moves() const { return remaining_moves_; }

 private:
  void smooth(const std::map<cluster::ControllerId, double>& loads);
  void stop();
  /// Whether machines are to be moved. `is_most_loaded`: this controller has the highest load.
  bool should_move(double own_load, double excess, bool is_most_loaded, std::size_t machines_here);

  std::map<cluster::ControllerId, double> smoothed_loads_;
  cluster::ControllerId target_;
  unsigned imbalanced_updates_ = 0;  ///< in a row
  bool moving_ = false;
  std::size_t remaining_moves_ = 0;
};
}  // namespace limemast::overload

#pragma once
// Balances the load of the controllers by moving machines between them.
#include <map>

#include "cluster/membership.hpp"

namespace limemast::overload {
/// Decides which controller a machine sends its heartbeats to. The load of a controller is the
/// fraction of time in which its event loop is busy. The most loaded controller redirects a few
/// machines per second to the least loaded one until the loads are nearly equal. The leader has
/// additional work and therefore ends up with fewer machines.
class LoadRebalancer {
 public:
  /// To be called once a second. `loads` contains the load of every controller, 0 to 1, including
  /// `self`; `attached_machines` is the number of machines attached to this controller. Sets the
  /// number of moves that are allowed until the next call.
  void update(const cluster::ControllerId& self,
              const std::map<cluster::ControllerId, double>& loads, std::size_t attached_machines);
  /// The controller to move the next machine to, or an empty id if no move remains. Uses up one
  /// move.
  cluster::ControllerId next_target();
  /// The number of machines that may still be moved until the next call of `update`.
  std::size_t remaining_moves() const { return remaining_moves_; }

 private:
  void smooth(const std::map<cluster::ControllerId, double>& loads);
  void stop();
  /// `excess` is the difference to the lowest load; `is_most_loaded` means that this controller has
  /// the highest load.
  bool should_move(double own_load, double excess, bool is_most_loaded,
                   std::size_t attached_machines);

  std::map<cluster::ControllerId, double> smoothed_loads_;
  cluster::ControllerId target_;
  unsigned consecutive_imbalanced_updates_ = 0;
  bool moving_ = false;
  std::size_t remaining_moves_ = 0;
};
}  // namespace limemast::overload

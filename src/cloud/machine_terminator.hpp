#pragma once
// Terminates the machines that are marked for termination.
#include <string>
#include <vector>

#include "cloud/cloud_client.hpp"
#include "cloud/machine_inventory.hpp"

namespace limemast::cloud {
/// Sends one termination request at a time. Machines stay marked, and are requested again, until
/// the cloud has confirmed their termination.
class MachineTerminator {
 public:
  MachineTerminator(net::Runtime& runtime, const cluster::Membership& membership,
                    machines::Registry& registry, CloudClient& cloud, MachineInventory& inventory);
  /// Called once per confirmed request with those of the terminated machines that are registered.
  using OnTerminated = std::function<void(const std::vector<std::string>& registered)>;
  void start(OnTerminated on_terminated) { on_terminated_ = std::move(on_terminated); }
  /// Sends a request if machines are marked, no request is in flight and the rate limit allows it.
  void run();

 private:
  /// The marked machines that the next request names.
  std::vector<std::string> next_batch() const;
  void on_confirmed(const std::vector<std::string>& machines);

  net::Runtime& runtime_;
  const cluster::Membership& membership_;
  machines::Registry& registry_;
  CloudClient& cloud_;
  MachineInventory& inventory_;
  OnTerminated on_terminated_;
  bool in_flight_ = false;
};
}  // namespace limemast::cloud

#pragma once
// Reads the cloud's paginated list of machines.
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cloud/cloud_client.hpp"
#include "wire/cloud.hpp"

namespace limemast::cloud {
/// Lists the machines periodically, one listing at a time.
class MachineListing {
 public:
  using Machines = std::vector<wire::ListedMachine>;
  struct Callbacks {
    std::function<void(const Machines&)> on_page;
    std::function<void(const Machines&)> on_complete;  ///< receives the machines of all pages
  };
  MachineListing(net::Runtime& runtime, CloudClient& cloud, Callbacks callbacks);
  /// Starts a listing if one is due and the rate limit allows it.
  void poll();

 private:
  void read_page(const std::string& after, const std::shared_ptr<Machines>& so_far);
  void on_response(const net::HttpResult& response, const std::shared_ptr<Machines>& so_far);

  net::Runtime& runtime_;
  CloudClient& cloud_;
  Callbacks callbacks_;
  net::Time last_request_{};
  bool in_flight_ = false;
};
}  // namespace limemast::cloud

#pragma once
// Launches machines: queues launch requests, sends them, and retries requests without a response.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cloud/capacity_planner.hpp"
#include "cloud/catalog_fetcher.hpp"
#include "cloud/cloud_codec.hpp"
#include "cloud/machine_inventory.hpp"
#include "cloud/offer_selection.hpp"

namespace limemast::cloud {
/// Demand for which machines are to be launched.
struct LaunchDemand {
  bool spot = false;
  double cpus = 0;
  std::vector<const wire::JobSpec*> jobs;        ///< jobs that need the capacity
  const std::set<std::string>* zones = nullptr;  ///< allowed zones; nullptr: any
};

/// Keeps launch requests until the cloud has answered them.
/// Invariant: each zone has at most one launch in flight per market, because its result decides
/// whether more machines are needed. No request is dropped before the cloud has answered it.
class Provisioner {
 public:
  Provisioner(net::Runtime& runtime, const wire::Settings& settings,
              const cluster::Membership& membership, const machines::Registry& registry,
              const CatalogFetcher& catalog, CloudClient& cloud, MachineInventory& inventory);
  /// Queues a launch unless one is in flight for the market and zones. Returns false if no suitable
  /// machine is available at present.
  bool launch(const LaunchDemand& demand);
  /// Sends queued requests as far as the rate limit allows.
  void send_queued();
  /// The machines of unanswered launches.
  std::vector<MachineSupply> supply() const;

 private:
  struct Launch {
    LaunchRequest request;
    bool sent = false;
  };
  static MachineKind kind_of(const LaunchRequest& request) {
    return {request.type, request.zone, request.spot};
  }
  bool is_launching(bool spot, const std::set<std::string>* zones) const;
  bool is_backing_off(const MachineKind& kind) const;
  OfferQuery query(const LaunchDemand& demand) const;
  /// Logs that nothing can be launched for the demand, at most once a minute per market and zones.
  void log_no_offer(const LaunchDemand& demand);
  void enqueue(const Offer& offer, const LaunchDemand& demand);
  void on_response(const std::string& name, const LaunchResponse& response);
  void on_launched(const LaunchRequest& request, const std::vector<std::string>& machines);
  void retry_later(const std::string& name);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  const cluster::Membership& membership_;
  const machines::Registry& registry_;
  const CatalogFetcher& catalog_;
  CloudClient& cloud_;
  MachineInventory& inventory_;
  std::vector<Launch> launches_;  ///< queued or unanswered
  std::map<MachineKind, net::Time> backoff_until_;
  std::map<std::string, net::Time> no_offer_logged_at_;  ///< by market and zones
  std::uint64_t next_launch_number_ = 1;                 ///< part of the request's name
};
}  // namespace limemast::cloud

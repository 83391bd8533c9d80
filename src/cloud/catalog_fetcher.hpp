#pragma once
// Fetches the cloud's catalog of machine types; the leader shares it through the store.
#include <vector>

#include "cloud/cloud_client.hpp"
#include "cluster/membership.hpp"
#include "machines/registry.hpp"

namespace limemast::cloud {
/// Holds the machine types with their current prices. All controllers load the types from the store
/// so that they can validate submissions while the cloud is unavailable.
class CatalogFetcher {
 public:
  CatalogFetcher(net::Runtime& runtime, store::Client& client, const store::WatchCache& watch_cache,
                 cluster::Membership& membership, machines::Registry& registry, CloudClient& cloud);
  /// Fetches the catalog if a fetch is due, and writes it to the store if anything except prices
  /// has changed. Only the leader calls this.
  void poll();
  /// Loads the catalog's record of the store. Returns false if the record cannot be parsed.
  bool load(const wire::json& record);
  /// Types with current prices, in the cloud's order; empty until the first catalog is known.
  const std::vector<wire::MachineType>& types() const { return types_; }

 private:
  void on_catalog(const wire::json& catalog);

  net::Runtime& runtime_;
  store::Client& client_;
  const store::WatchCache& watch_cache_;
  cluster::Membership& membership_;
  machines::Registry& registry_;
  CloudClient& cloud_;
  std::vector<wire::MachineType> types_;
  net::Time last_fetch_{};  ///< zero: the next poll fetches at once
};
}  // namespace limemast::cloud

#include "cloud/catalog_fetcher.hpp"

#include <utility>

#include "cloud/cloud_codec.hpp"

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
constexpr auto kFetchInterval = 30s;
constexpr auto kFirstFetchInterval = 2s;  ///< until a catalog is known
}  // namespace

CatalogFetcher::CatalogFetcher(net::Runtime& runtime, store::Client& client,
                               const store::WatchCache& watch_cache,
                               cluster::Membership& membership, machines::Registry& registry,
                               CloudClient& cloud)
    : runtime_(runtime),
      client_(client),
      watch_cache_(watch_cache),
      membership_(membership),
      registry_(registry),
      cloud_(cloud) {}

void CatalogFetcher::poll() {
  const auto now = runtime_.now();
  const net::Duration interval = types_.empty() ? kFirstFetchInterval : kFetchInterval;
  if (last_fetch_ != net::Time{} && now - last_fetch_ < interval) return;
  if (!cloud_.try_acquire_call()) return;
  last_fetch_ = now;
  cloud_.send(catalog_request(), [this](const net::HttpResult& response) {
    if (const auto catalog = parse_catalog_response(response)) on_catalog(*catalog);
  });
}

void CatalogFetcher::on_catalog(const wire::json& catalog) {
  if (auto types = wire::parse_catalog(catalog)) types_ = std::move(*types);
  const auto* stored = watch_cache_.find(cluster::keys::kCatalog);
  if (stored && wire::parse_catalog(stored->value) && equal_except_prices(stored->value, catalog))
    return;
  const auto revision = stored ? stored->mod_revision : store::kAbsent;
  client_.txn(store::Priority::Critical,
              membership_.ownership_guards({{cluster::keys::kCatalog, revision}}),
              {{cluster::keys::kCatalog, catalog}}, [this](const store::TxnResult& result) {
                if (result.status != store::TxnStatus::Ok) last_fetch_ = {};
              });
}

bool CatalogFetcher::load(const wire::json& record) {
  auto types = wire::parse_catalog(record);
  if (!types) return false;
  if (types_.empty()) types_ = *types;
  registry_.set_types(std::move(*types));
  return true;
}
}  // namespace limemast::cloud

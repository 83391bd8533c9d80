#include "store/client.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

#include "store/protocol.hpp"

namespace limemast::store {
namespace {
using namespace std::chrono_literals;
constexpr auto kTimeout = 3s;
constexpr auto kKeepAliveTimeout = 1500ms;
constexpr auto kListTimeout = 5s;
/// Fraction of the store's rate limits that is used. The rest is a margin, because the store's
/// one-second windows are not aligned with this clock.
constexpr double kLimitUtilization = 0.9;
}  // namespace

Client::Client(net::Runtime& runtime, const wire::Settings& settings)
    : runtime_(runtime), settings_(settings), queue_(runtime, settings.store_endpoint) {
  set_active_controllers(settings.controller_count);
}

void Client::set_active_controllers(std::size_t controllers) {
  const auto active = std::clamp<std::size_t>(controllers, 1, settings_.controller_count);
  const auto share = kLimitUtilization / static_cast<double>(active);
  queue_.set_rates(settings_.store_requests_per_s * share, settings_.store_writes_per_s * share);
}

net::Duration Client::write_backlog() const {
  return std::max(queue_.request_backlog(Priority::UserWrite),
                  queue_.write_backlog(Priority::UserWrite));
}

net::Duration Client::read_backlog() const { return queue_.request_backlog(Priority::UserRead); }

void Client::call(Priority priority, net::HttpRequest request, net::Duration timeout,
                  std::function<void(net::HttpResult)> done, double writes) {
  queue_.submit(priority, std::move(request), timeout, std::move(done), writes);
}

void Client::get(Priority priority, const std::string& key, std::function<void(GetResult)> done) {
  call(priority, protocol::get_request(key), kTimeout,
       [this, key, sent = runtime_.now(), done = std::move(done)](const net::HttpResult& result) {
         const auto decoded = protocol::decode_get(result);
         spdlog::debug(
             "read {} from the store: {}, revision {}, asked {} ms ago", key,
             !decoded.answered ? "no answer"
             : decoded.found   ? "found"
                               : "absent",
             decoded.mod_revision.value(),
             std::chrono::duration_cast<std::chrono::milliseconds>(runtime_.now() - sent).count());
         done(decoded);
       });
}

void Client::txn(Priority priority, const std::vector<Compare>& compares,
                 const std::vector<Operation>& operations, std::function<void(TxnResult)> done) {
  call(
      priority, protocol::txn_request(compares, operations), kTimeout,
      [done = std::move(done)](const net::HttpResult& result) {
        done(protocol::decode_txn(result));
      },
      static_cast<double>(operations.size()));
}

void Client::acquire_lease(std::chrono::milliseconds ttl,
                           std::function<void(std::optional<LeaseId>)> done) {
  call(Priority::Critical, protocol::acquire_lease_request(ttl), kTimeout,
       [done = std::move(done)](const net::HttpResult& result) {
         done(protocol::decode_acquired_lease(result));
       });
}

void Client::keep_alive(LeaseId lease, std::function<void(KeepAliveStatus)> done) {
  call(Priority::Critical, protocol::keep_alive_request(lease), kKeepAliveTimeout,
       [done = std::move(done)](const net::HttpResult& result) {
         done(protocol::decode_keep_alive(result));
       });
}

void Client::revoke_lease(LeaseId lease, std::function<void(bool)> done) {
  call(Priority::Critical, protocol::revoke_lease_request(lease), kTimeout,
       [done = std::move(done)](const net::HttpResult& result) {
         done(protocol::decode_lease_revoked(result));
       });
}

void Client::list(const std::string& prefix, const std::string& after,
                  std::function<void(std::optional<ListPage>)> done) {
  call(Priority::Critical, protocol::list_request(prefix, after), kListTimeout,
       [done = std::move(done)](const net::HttpResult& result) {
         done(protocol::decode_list(result));
       });
}

void Client::changes(const std::string& prefix, Revision since, std::chrono::milliseconds wait,
                     net::Duration timeout, std::function<void(ChangesResult)> done) {
  call(Priority::Critical, protocol::changes_request(prefix, since, wait), timeout,
       [done = std::move(done)](const net::HttpResult& result) {
         done(protocol::decode_changes(result));
       });
}
}  // namespace limemast::store

#pragma once
// Codec of the key-value store's HTTP API, and the only place that knows its paths, field names and
// status codes. Encoders return the request to send. Decoders never throw, and treat a response
// that cannot be decoded as no response.
#include <chrono>
#include <optional>

#include "net/runtime.hpp"
#include "store/requests.hpp"

namespace limemast::store::protocol {
inline constexpr int kTooManyRequests = 429;

net::HttpRequest get_request(const std::string& key);
GetResult decode_get(const net::HttpResult& result);

net::HttpRequest txn_request(const std::vector<Compare>& compares,
                             const std::vector<Operation>& operations);
TxnResult decode_txn(const net::HttpResult& result);

/// Requests a new lease that expires after `ttl` without renewal.
net::HttpRequest acquire_lease_request(std::chrono::milliseconds ttl);
/// Returns nullopt if no lease was acquired or its id is missing.
std::optional<LeaseId> decode_acquired_lease(const net::HttpResult& result);
net::HttpRequest keep_alive_request(LeaseId lease);
KeepAliveStatus decode_keep_alive(const net::HttpResult& result);
net::HttpRequest revoke_lease_request(LeaseId lease);
/// Returns true if the lease is certain not to exist any more.
bool decode_lease_revoked(const net::HttpResult& result);

/// `after` is the last key of the previous page, or "" for the first page.
net::HttpRequest list_request(const std::string& prefix, const std::string& after);
std::optional<ListPage> decode_list(const net::HttpResult& result);
/// `wait` is the time for which the store may hold the request while there are no changes.
net::HttpRequest changes_request(const std::string& prefix, Revision since,
                                 std::chrono::milliseconds wait);
ChangesResult decode_changes(const net::HttpResult& result);
}  // namespace limemast::store::protocol

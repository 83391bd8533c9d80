#pragma once
// Client of the key-value store that holds the controllers' state.
#include <functional>

#include "net/runtime.hpp"
#include "store/decode_errors.hpp"
#include "store/request_queue.hpp"
#include "store/requests.hpp"
#include "wire/settings.hpp"

namespace limemast::store {
/// Client of the key-value store, limited to this controller's share of the store's rate limits.
/// Each request ends with exactly one call of its callback, in a later event loop iteration.
/// Results are decoded by protocol.hpp; a response that cannot be decoded counts as no response.
class Client {
 public:
  /// `settings` must outlive the client.
  Client(net::Runtime& runtime, const wire::Settings& settings);

  void get(Priority priority, const std::string& key, std::function<void(GetResult)> done);
  /// Executes all operations if all conditions hold, otherwise none.
  void txn(Priority priority, const std::vector<Compare>& compares,
           const std::vector<Operation>& operations, std::function<void(TxnResult)> done);
  /// Sends any other request; `done` receives the raw response. `writes` is the number of keys that
  /// the request writes.
  void call(Priority priority, net::HttpRequest request, net::Duration timeout,
            std::function<void(net::HttpResult)> done, double writes = 0);

  /// Acquires a lease that expires `ttl` after its last renewal. `done` receives nullopt if none
  /// was acquired.
  void acquire_lease(std::chrono::milliseconds ttl,
                     std::function<void(std::optional<LeaseId>)> done);
  void keep_alive(LeaseId lease, std::function<void(KeepAliveStatus)> done);
  /// Revokes a lease, which deletes all keys attached to it. `done` receives true if the lease is
  /// certain not to exist any more.
  void revoke_lease(LeaseId lease, std::function<void(bool)> done);

  /// Lists one page of the keys under a prefix that follow the key `after` ("": from the start).
  /// `done` receives nullopt if the request failed.
  void list(const std::string& prefix, const std::string& after,
            std::function<void(std::optional<ListPage>)> done);
  /// Reads the writes under a prefix since a revision. If there are none, the store holds the
  /// request for up to `wait`.
  void changes(const std::string& prefix, Revision since, std::chrono::milliseconds wait,
               net::Duration timeout, std::function<void(ChangesResult)> done);

  /// Estimated time that a new user write would wait in the queue.
  net::Duration write_backlog() const;
  /// Estimated time that a new read for a user query would wait in the queue.
  net::Duration read_backlog() const;
  /// Counter of the records and messages that this controller could not decode.
  DecodeErrors& decode_errors() { return decode_errors_; }
  /// Sets the number of controllers that currently share the store's rate limits, so that running
  /// controllers can use the shares of those that are down.
  void set_active_controllers(std::size_t controllers);

 private:
  net::Runtime& runtime_;
  const wire::Settings& settings_;
  RequestQueue queue_;
  DecodeErrors decode_errors_;
};
}  // namespace limemast::store

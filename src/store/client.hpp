#pragma once
// The key-value store that the controllers keep their state in.
#include <functional>

#include "net/runtime.hpp"
#include "store/decode_errors.hpp"
#include "store/request_queue.hpp"
#include "store/requests.hpp"
#include "wire/settings.hpp"

namespace limemast::store {
/// Client of the key-value store, paced to this controller's share of the store's limits. Each
/// request ends with one call of its callback, by a later turn of the event loop; the results are
/// those of protocol.hpp, so that an answer that cannot be read counts as none.
class Client {
 public:
  /// `settings` must outlive the client.
  Client(net::Runtime& runtime, const wire::Settings& settings);

  void get(Priority priority, const std::string& key, std::function<void(GetResult)> done);
  /// Carries out all operations if all conditions hold, else none.
  void txn(Priority priority, const std::vector<Compare>& compares,
           const std::vector<Operation>& operations, std::function<void(TxnResult)> done);
  /// Any other request; `done` gets the raw answer. `writes`: keys that it writes.
  void call(Priority priority, net::HttpRequest request, net::Duration timeout,
            std::function<void(net::HttpResult)> done, double writes = 0);

  /// A new lease, which expires `ttl` after its last renewal; nullopt if none was acquired.
  void acquire_lease(std::chrono::milliseconds ttl,
                     std::function<void(std::optional<LeaseId>)> done);
  void keep_alive(LeaseId lease, std::function<void(KeepAliveStatus)> done);
  /// Ends a lease, and with it all keys attached to it. `done` is told whether it is certain to
  /// exist no more.
  void revoke_lease(LeaseId lease, std::function<void(bool)> done);

  /// One page of the keys under a prefix, after the key `after` (""): nullopt if it failed.
  void list(const std::string& prefix, const std::string& after,
            std::function<void(std::optional<ListPage>)> done);
  /// What was written under a prefix since a revision. While that is nothing, the store holds the
  /// request for up to `wait`.
  void changes(const std::string& prefix, Revision since, std::chrono::milliseconds wait,
               net::Duration timeout, std::function<void(ChangesResult)> done);

  /// How long a user's write would wait here before it is sent.
  net::Duration write_backlog() const;
  /// How long a read for a user's query would wait.
  net::Duration read_backlog() const;
  /// Records and messages that this controller could not decode.
  DecodeErrors& decode_errors() { return decode_errors_; }
  /// Number of controllers that share the limits at present: the others may use what one that is
  /// down leaves.
  void set_active_controllers(std::size_t controllers);

 private:
  const wire::Settings& settings_;
  RequestQueue queue_;
  DecodeErrors decode_errors_;
};
}  // namespace limemast::store

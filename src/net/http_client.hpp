#pragma once
// HTTP/1.1 client on a libuv loop.
#include <list>
#include <map>
#include <memory>
#include <vector>

#include <uv.h>

#include "net/runtime.hpp"

namespace limemast::net {
/// HTTP/1.1 client with a pool of persistent connections per endpoint and one request at a time on
/// each connection. At the connection limit, the least recently used idle connection is closed for
/// a new one, so that every endpoint can be reached even if there are more endpoints than sockets.
class HttpClient {
 public:
  /// The loop must outlive the client and run until the connections are closed.
  HttpClient(uv_loop_t* loop, std::size_t max_connections);
  /// Cancels pending requests without calling `done`.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Calls `done` once. If no connection is available or `to` is not a valid address, calls it
  /// before this function returns, with status 0, and sends nothing.
  void request(const Endpoint& to, const HttpRequest& request, Duration timeout,
               std::function<void(HttpResult)> done);

  class Connection;

 private:
  friend class Connection;
  /// Puts a connection whose request is complete back into the pool.
  void recycle(const std::shared_ptr<Connection>& connection);
  void remove_idle(Connection* connection);
  void remove(Connection* connection);

  uv_loop_t* loop_;
  std::size_t max_connections_;
  std::list<std::shared_ptr<Connection>> open_;
  std::map<Endpoint, std::vector<std::shared_ptr<Connection>>> idle_;
  std::list<Connection*> idle_by_age_;  ///< all of `idle_`, longest idle time first
};
}  // namespace limemast::net

#pragma once
// HTTP/1.1 server on a libuv loop.
#include <list>
#include <memory>

#include <uv.h>

#include "net/connection_limits.hpp"
#include "net/handles.hpp"

namespace limemast::net {
/// HTTP/1.1 server. Responds with 413 to bodies over 64 KiB and with 400 to malformed requests.
/// When the server runs out of sockets, ConnectionLimits decides which connections it closes.
class HttpServer {
 public:
  /// If `near_socket_limit` is true, requests of clients that can retry later should be refused.
  using Handler = std::function<void(const HttpRequest&, Responder, bool near_socket_limit)>;
  /// The loop must outlive the server and run until the connections are closed.
  HttpServer(uv_loop_t* loop, std::size_t max_connections, Handler handler);
  /// Closes all connections; later calls of their responders have no effect.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Accepts the pending connection of `listener`.
  void accept(uv_stream_t* listener);

  class Connection;

 private:
  friend class Connection;
  /// Returns the idle connection to close so that `newest` can stay; nullptr if there is none.
  std::shared_ptr<Connection> find_connection_to_close(
      const std::shared_ptr<Connection>& newest) const;
  void close_stale();

  uv_loop_t* loop_;
  ConnectionLimits limits_;
  std::size_t live_connections_ = 0;  ///< connections in `open_` that are not closing
  Handler handler_;
  UniqueHandle<uv_timer_t> sweep_timer_;
  std::list<std::shared_ptr<Connection>> open_;
};
}  // namespace limemast::net

#pragma once
#include <uv.h>

#include <list>
#include <memory>

#include "net/runtime.hpp"

namespace limemast::net {
/// HTTP/1.1 server. Bodies over 64 KiB get 413; when sockets run short the longest idle connection goes.
class HttpServer {
 public:
  using Handler = std::function<void(const HttpRequest&, Responder)>;
  HttpServer(uv_loop_t* loop, std::size_t max_connections, Handler handler);
  ~HttpServer();
  /// Throws std::runtime_error if the address cannot be listened on.
  void listen(const Endpoint& at);

  class Connection;

 private:
  friend class Connection;
  void accept();
  void sweep();

  uv_loop_t* loop_;
  std::size_t max_connections_;
  Handler handler_;
  std::unique_ptr<uv_tcp_t, void (*)(uv_tcp_t*)> listener_;
  std::unique_ptr<uv_timer_t, void (*)(uv_timer_t*)> sweeper_;
  std::list<std::shared_ptr<Connection>> open_;
};
}  // namespace limemast::net

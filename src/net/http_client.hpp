#pragma once
#include <uv.h>

#include <list>
#include <map>
#include <memory>

#include "net/runtime.hpp"

namespace limemast::net {
/// HTTP/1.1 client with a pool of kept-open connections per endpoint; one request at a time on each.
class HttpClient {
 public:
  HttpClient(uv_loop_t* loop, std::size_t max_connections);
  ~HttpClient();
  void request(const Endpoint& to, HttpRequest request, Duration timeout, std::function<void(HttpResult)> done);

  class Connection;

 private:
  friend class Connection;
  void recycle(const std::shared_ptr<Connection>& connection);
  void forget(const Connection* connection);

  uv_loop_t* loop_;
  std::size_t max_connections_;
  std::list<std::shared_ptr<Connection>> open_;
  std::map<Endpoint, std::vector<std::shared_ptr<Connection>>> idle_;
};
}  // namespace limemast::net

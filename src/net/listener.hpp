#pragma once
// A listening socket that retries while another process holds its address.
#include <functional>
#include <memory>
#include <random>
#include <stdexcept>

#include <uv.h>

#include "net/handles.hpp"
#include "net/runtime.hpp"

namespace limemast::net {
/// An address that retries cannot bind: it is malformed, not of this host or not permitted.
struct BadAddress : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Binds one address and accepts its connections. A platform may restart a process while the
/// previous one still holds the address, so bind() retries with exponential backoff and jitter. A
/// socket that is bound but does not listen yet refuses connections.
class Listener {
 public:
  struct Events {
    /// Called once, when the address has been bound. May be empty.
    std::function<void()> bound;
    /// Called with the error when the listener stops retrying.
    std::function<void(const std::string&)> failed;
    /// Called when a connection can be accepted.
    std::function<void(uv_stream_t*)> connection;
  };
  /// `address` has the form "10.0.0.1:8080"; `backlog` is the maximum number of connections that
  /// the system queues for acceptance. The loop must outlive the listener.
  Listener(uv_loop_t* loop, Endpoint address, int backlog);
  ~Listener() = default;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Throws BadAddress if the first attempt shows that retries cannot help. Otherwise retries for
  /// `retry_for`. `random` provides the jitter and must outlive the listener.
  void bind(Duration retry_for, std::mt19937_64& random, Events events);
  /// Accepts connections from now on, or as soon as the address has been bound.
  void listen();
  bool bound() const { return bound_; }

 private:
  void try_to_bind();
  void retry_later(int error);

  uv_loop_t* loop_;
  Endpoint address_;
  int backlog_;
  Events events_;
  std::mt19937_64* random_ = nullptr;
  Time retry_deadline_{};
  Duration retry_delay_{};  ///< until the next attempt, without jitter
  bool bound_ = false;
  bool listen_requested_ = false;
  bool retry_logged_ = false;
  UniqueHandle<uv_tcp_t> socket_;
  UniqueHandle<uv_timer_t> retry_timer_;
};
}  // namespace limemast::net

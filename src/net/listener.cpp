#include "net/listener.hpp"

#include <algorithm>
#include <utility>

#include <spdlog/spdlog.h>

#include "net/address.hpp"

namespace limemast::net {
namespace {
using namespace std::chrono_literals;
constexpr Duration kMinRetryDelay = 20ms;
constexpr Duration kMaxRetryDelay = 2s;
/// The retry delay is multiplied by a random factor in this range, so that two processes do not
/// retry at the same times.
constexpr double kMinJitterFactor = 0.75;
constexpr double kMaxJitterFactor = 1.25;
}  // namespace

Listener::Listener(uv_loop_t* loop, Endpoint address, int backlog)
    : loop_(loop),
      address_(std::move(address)),
      backlog_(backlog),
      retry_timer_(make_handle<uv_timer_t>(loop, uv_timer_init)) {
  retry_timer_->data = this;
}

void Listener::bind(Duration retry_for, std::mt19937_64& random, Events events) {
  events_ = std::move(events);
  random_ = &random;
  retry_deadline_ = Clock::now() + retry_for;
  retry_delay_ = kMinRetryDelay;
  try_to_bind();
}

void Listener::listen() {
  listen_requested_ = true;
  if (!bound_) return;
  const int rc = uv_listen(as_stream(socket_.get()), backlog_, [](uv_stream_t* stream, int status) {
    if (status == 0) static_cast<Listener*>(stream->data)->events_.connection(stream);
  });
  // libuv binds with SO_REUSEADDR, so two processes can have bound the address; only the first that
  // listens succeeds.
  if (rc != 0) retry_later(rc);
}

void Listener::try_to_bind() {
  sockaddr_in address{};
  if (!parse_address(address_, address))
    throw BadAddress("not an IPv4 address with a port: " + address_);
  socket_ = make_handle<uv_tcp_t>(loop_, uv_tcp_init);
  socket_->data = this;
  int rc = uv_tcp_bind(socket_.get(), as_sockaddr(address), 0);
  if (rc == UV_EADDRNOTAVAIL || rc == UV_EACCES || rc == UV_EINVAL)
    throw BadAddress("cannot listen on " + address_ + ": " + uv_strerror(rc));
  // libuv defers the error "address in use" until uv_listen(), but uv_tcp_getsockname() returns it
  // for a socket that could not be bound.
  sockaddr_in own{};
  int size = sizeof own;
  if (rc == 0) rc = uv_tcp_getsockname(socket_.get(), reinterpret_cast<sockaddr*>(&own), &size);
  if (rc == UV_EADDRINUSE) return retry_later(rc);
  bound_ = true;
  if (listen_requested_) listen();
  if (bound_ && events_.bound) std::exchange(events_.bound, nullptr)();
}

void Listener::retry_later(int error) {
  bound_ = false;
  if (Clock::now() >= retry_deadline_)
    return events_.failed("cannot listen on " + address_ + ": " + uv_strerror(error));
  if (!std::exchange(retry_logged_, true))
    spdlog::warn("cannot listen on {} yet ({}); retrying", address_, uv_strerror(error));
  std::uniform_real_distribution<double> jitter(kMinJitterFactor, kMaxJitterFactor);
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(retry_delay_ * jitter(*random_));
  retry_delay_ = std::min(retry_delay_ * 2, kMaxRetryDelay);
  uv_timer_start(
      retry_timer_.get(),
      [](uv_timer_t* timer) {
        auto* self = static_cast<Listener*>(timer->data);
        try {
          self->try_to_bind();
        } catch (const BadAddress& e) {  // e.g. the host has lost the address in the meantime
          self->events_.failed(e.what());
        }
      },
      to_uv_milliseconds(wait), 0);
}
}  // namespace limemast::net

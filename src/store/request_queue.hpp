#pragma once
// Limits the requests to the key-value store to this controller's rates.
#include <array>
#include <deque>
#include <functional>

#include "net/runtime.hpp"
#include "net/token_bucket.hpp"
#include "store/requests.hpp"

namespace limemast::store {
/// Sends requests by priority, and in FIFO order within a priority, at no more than two rates: one
/// for requests and one for the keys that they write. Critical requests are sent immediately, and
/// the other requests wait until the rates have recovered. Reads may overtake writes that wait only
/// for the write rate.
class RequestQueue {
 public:
  using Done = std::function<void(net::HttpResult)>;
  RequestQueue(net::Runtime& runtime, net::Endpoint endpoint);

  /// Sets the rates per second. The burst size is one second's worth.
  void set_rates(double requests, double writes);
  /// Queues a request that writes `writes` keys. If the queue of its priority is full, `done`
  /// receives a "too many requests" response in a later event loop iteration.
  void submit(Priority priority, net::HttpRequest request, net::Duration timeout, Done done,
              double writes);
  /// Estimated time to send the queued requests of this and more important priorities.
  net::Duration request_backlog(Priority least) const;
  /// Estimated time until the write rate admits the writes of those requests.
  net::Duration write_backlog(Priority least) const;

 private:
  struct Pending {
    net::HttpRequest request;
    net::Duration timeout;
    Done done;
    double writes;
  };
  /// Why the requests examined so far cannot be sent.
  struct Blocked {
    net::Duration wait = net::Duration::max();  ///< time until the first of them can be sent
    bool by_writes_only = false;                ///< the last of them waits only for the write rate
  };
  using Queue = std::deque<Pending>;

  void send_all_admitted();
  bool admits(const Pending& pending, net::Time now, Blocked& blocked);
  void send_front(Queue& queue, net::Time now);
  void arm_timer(net::Duration wait);

  net::Runtime& runtime_;
  net::Endpoint endpoint_;
  net::TokenBucket requests_;
  net::TokenBucket writes_;
  std::array<Queue, kPriorities> queues_;  ///< by priority
  bool timer_armed_ = false;
};
}  // namespace limemast::store

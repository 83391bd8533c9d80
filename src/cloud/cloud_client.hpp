#pragma once
// HTTP client of the cloud, with client-side rate limiting.
#include <functional>

#include "net/runtime.hpp"
#include "net/token_bucket.hpp"
#include "wire/settings.hpp"

namespace limemast::cloud {
/// Sends requests to the cloud's machine API. Only the leader calls the cloud, so the client may
/// use most of the cloud's rate limit.
class CloudClient {
 public:
  CloudClient(net::Runtime& runtime, const wire::Settings& settings);
  /// Acquires one call from the rate limiter. Returns false if the limit is exhausted; the caller
  /// must then retry later.
  bool try_acquire_call();
  /// Sends a request for which a call was acquired; further pages of a listing need no call of
  /// their own. `done` receives the response, or status 0 after a timeout.
  void send(net::HttpRequest request, std::function<void(const net::HttpResult&)> done);

 private:
  net::Runtime& runtime_;
  const wire::Settings& settings_;
  net::TokenBucket rate_limiter_;
};
}  // namespace limemast::cloud

#pragma once
// The environment of the actors: clocks, timers, random numbers, HTTP requests and messages to
// other controllers.
#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <utility>

#include "wire/job.hpp"

namespace limemast::net {
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Duration = Clock::duration;
using WallTime = std::chrono::system_clock::time_point;
using namespace std::chrono_literals;

inline Duration to_duration(wire::Seconds s) { return std::chrono::duration_cast<Duration>(s); }
inline wire::Seconds to_seconds(Duration d) { return std::chrono::duration_cast<wire::Seconds>(d); }

/// Address in text form, such as "10.0.0.1:8080". It is also the key of a connection pool.
using Endpoint = std::string;

struct HttpRequest {
  std::string method;
  std::string path;  ///< including the query
  std::string body;  ///< JSON; may be empty
};

/// Result of a request to another server.
struct HttpResult {
  int status = 0;  ///< 0: no response was received
  /// If no response was received: whether the request may have been sent, so that the server may
  /// execute it, even later.
  bool maybe_sent = false;
  std::string body;
};

/// Kind of client on a connection, which the response to its last request determines; see
/// net/connection_limits.hpp.
enum class ConnectionClass : unsigned char {
  Unknown,     ///< no response has been sent yet
  User,        ///< a user or an operator
  Machine,     ///< a worker without tasks
  BusyMachine  ///< a worker with tasks
};

/// Response to the request of a client.
struct HttpResponse {
  int status = 200;
  std::string body;
  int retry_after_s = 0;  ///< Retry-After header, in seconds; 0: none
  std::string allow;      ///< Allow header, for status 405; empty: none
  std::string type = "application/json";
  ConnectionClass connection_class = ConnectionClass::User;
};
/// Returns a response with a JSON body and no optional headers.
inline HttpResponse json_response(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

/// Sends the response to one request. Only the first call has an effect, and none if the connection
/// has been closed.
using Responder = std::function<void(HttpResponse)>;

/// The environment of the actors. Tests implement it with simulated time and a simulated network.
/// All callbacks run on the single thread of the event loop, and never within the call that
/// registers them.
class Runtime {
 public:
  using TimerId = std::uint64_t;
  virtual ~Runtime() = default;
  /// Monotonic time, for delays and time-outs.
  virtual Time now() const = 0;
  /// Wall-clock time, which may be wrong and may jump.
  virtual WallTime wall() const = 0;
  virtual std::mt19937_64& random() = 0;
  /// Calls `callback` once after the delay, unless the timer is cancelled.
  virtual TimerId after(Duration delay, std::function<void()> callback) = 0;
  /// Has no effect if the timer has fired or has been cancelled.
  virtual void cancel(TimerId timer) = 0;
  /// Queues `callback`; queued callbacks run in the order of the calls. Actors of one process send
  /// each other messages with it.
  virtual void post(std::function<void()> callback) = 0;
  /// Sends a request. Calls `done` once, after at most about `timeout`.
  virtual void http(const Endpoint& to, HttpRequest request, Duration timeout,
                    std::function<void(HttpResult)> done) = 0;
  /// Time that the event loop has spent outside of waiting for events since it was created.
  /// Includes time in which the process was runnable and had no processor.
  virtual Duration busy_time() const = 0;
  /// Sends a message to another controller. Messages may be lost or delayed.
  virtual void send_peer(const std::string& label, const wire::json& message) = 0;
};
}  // namespace limemast::net

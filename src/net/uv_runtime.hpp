#pragma once
// The runtime of the production process, on libuv.
#include <deque>
#include <map>
#include <memory>

#include <uv.h>

#include "net/http_client.hpp"
#include "net/peer_links.hpp"

namespace limemast::net {
/// Runtime on one libuv loop, on which all callbacks of the process run.
class UvRuntime final : public Runtime {
 public:
  explicit UvRuntime(std::size_t max_client_connections);
  /// Closes all handles of the loop and runs it until they are closed. Their owners must have been
  /// destroyed before.
  ~UvRuntime() override;
  UvRuntime(const UvRuntime&) = delete;
  UvRuntime& operator=(const UvRuntime&) = delete;

  Time now() const override { return Clock::now(); }
  WallTime wall() const override { return std::chrono::system_clock::now(); }
  std::mt19937_64& random() override { return random_; }
  Duration busy_time() const override;
  TimerId after(Duration delay, std::function<void()> callback) override;
  void cancel(TimerId timer) override;
  void post(std::function<void()> callback) override;
  void http(const Endpoint& to, HttpRequest request, Duration timeout,
            std::function<void(HttpResult)> done) override;
  /// Drops messages until use_links() has been called.
  void send_peer(const std::string& label, const wire::json& message) override;

  uv_loop_t* loop() { return &loop_; }
  void use_links(std::unique_ptr<PeerLinks> links) { links_ = std::move(links); }
  /// Returns when the loop is stopped.
  void run() { uv_run(&loop_, UV_RUN_DEFAULT); }

 private:
  void arm_timer();
  void fire_due_timers();
  void run_posted();

  mutable uv_loop_t loop_{};  ///< mutable because libuv reads metrics through a non-const pointer
  std::mt19937_64 random_;
  Time started_at_ = Clock::now();
  uv_timer_t timer_{};  ///< expires with the earliest entry of `timers_`
  uv_check_t check_{};  ///< runs posted callbacks
  uv_idle_t idle_{};    ///< keeps the loop from blocking while callbacks are posted
  std::map<std::pair<Time, TimerId>, std::function<void()>> timers_;
  std::map<TimerId, Time> due_at_;  ///< due time of each entry of `timers_`
  TimerId next_timer_ = 1;
  std::deque<std::function<void()>> posted_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<PeerLinks> links_;
};
}  // namespace limemast::net

#include "net/uv_runtime.hpp"

namespace limemast::net {
namespace {
/// Maximum number of rounds of posted callbacks in one iteration of the loop.
constexpr int kMaxPostedRounds = 8;
}  // namespace

UvRuntime::UvRuntime(std::size_t max_client_connections) {
  uv_loop_init(&loop_);
  uv_loop_configure(&loop_, UV_METRICS_IDLE_TIME);
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  random_.seed(seed);
  uv_timer_init(&loop_, &timer_);
  uv_check_init(&loop_, &check_);
  uv_idle_init(&loop_, &idle_);
  timer_.data = check_.data = idle_.data = this;
  client_ = std::make_unique<HttpClient>(&loop_, max_client_connections);
}

UvRuntime::~UvRuntime() {
  links_.reset();
  client_.reset();
  uv_walk(
      &loop_,
      [](uv_handle_t* handle, void*) {
        if (!uv_is_closing(handle)) uv_close(handle, nullptr);
      },
      nullptr);
  uv_run(&loop_, UV_RUN_DEFAULT);
  uv_loop_close(&loop_);
}

// A single libuv timer is armed for the earliest entry. A libuv handle for each entry would need a
// close callback for each.
Runtime::TimerId UvRuntime::after(Duration delay, std::function<void()> callback) {
  const auto id = next_timer_++;
  const auto when = now() + std::max(delay, Duration::zero());
  due_at_.emplace(id, when);
  const bool earliest = timers_.empty() || when < timers_.begin()->first.first;
  timers_.emplace(std::pair{when, id}, std::move(callback));
  if (earliest) arm_timer();
  return id;
}

void UvRuntime::cancel(TimerId timer) {
  const auto it = due_at_.find(timer);
  if (it == due_at_.end()) return;
  timers_.erase({it->second, timer});
  due_at_.erase(it);
}

void UvRuntime::arm_timer() {
  if (timers_.empty()) return;
  uv_update_time(&loop_);
  const auto wait = std::max(timers_.begin()->first.first - now(), Duration::zero());
  uv_timer_start(
      &timer_, [](uv_timer_t* t) { static_cast<UvRuntime*>(t->data)->fire_due_timers(); },
      to_uv_milliseconds(wait), 0);
}

void UvRuntime::fire_due_timers() {
  const auto limit = now();
  while (!timers_.empty() && timers_.begin()->first.first <= limit) {
    auto node = timers_.extract(timers_.begin());
    due_at_.erase(node.key().second);
    node.mapped()();
  }
  arm_timer();
}

void UvRuntime::post(std::function<void()> callback) {
  posted_.push_back(std::move(callback));
  if (posted_.size() > 1) return;
  // The idle handle keeps the loop from blocking until the queue is empty.
  uv_idle_start(&idle_, [](uv_idle_t*) {});
  uv_check_start(&check_, [](uv_check_t* c) { static_cast<UvRuntime*>(c->data)->run_posted(); });
}

// Posted callbacks post further ones: a heartbeat causes four rounds of messages. Several rounds
// run in one iteration, because polling the sockets costs more than most rounds. Their number is
// limited so that the sockets are not starved.
void UvRuntime::run_posted() {
  for (int round = 0; round < kMaxPostedRounds && !posted_.empty(); ++round) {
    for (auto n = posted_.size(); n > 0; --n) {
      const auto callback = std::move(posted_.front());
      posted_.pop_front();
      callback();
    }
  }
  if (!posted_.empty()) return;
  uv_idle_stop(&idle_);
  uv_check_stop(&check_);
}

Duration UvRuntime::busy_time() const {
  return now() - started_at_ - std::chrono::nanoseconds(uv_metrics_idle_time(&loop_));
}

void UvRuntime::http(const Endpoint& to, HttpRequest request, Duration timeout,
                     std::function<void(HttpResult)> done) {
  client_->request(to, request, timeout, std::move(done));
}

void UvRuntime::send_peer(const std::string& label, const wire::json& message) {
  if (links_) links_->send(label, message);
}
}  // namespace limemast::net

#include "store/request_queue.hpp"

#include <algorithm>

#include "store/protocol.hpp"

namespace limemast::store {
namespace {
constexpr std::size_t kMaxQueuedPerPriority = 2000;

constexpr std::size_t index_of(Priority priority) { return static_cast<std::size_t>(priority); }
}  // namespace

RequestQueue::RequestQueue(net::Runtime& runtime, net::Endpoint endpoint)
    : runtime_(runtime), endpoint_(std::move(endpoint)), requests_(1, 1), writes_(1, 1) {}

void RequestQueue::set_rates(double requests, double writes) {
  const auto now = runtime_.now();
  requests_.set_rate(now, requests, requests);
  writes_.set_rate(now, writes, writes);
}

void RequestQueue::submit(Priority priority, net::HttpRequest request, net::Duration timeout,
                          Done done, double writes) {
  auto& queue = queues_.at(index_of(priority));
  if (queue.size() >= kMaxQueuedPerPriority) {
    runtime_.post([done = std::move(done)] { done({protocol::kTooManyRequests, false, {}}); });
    return;
  }
  queue.push_back({std::move(request), timeout, std::move(done), writes});
  send_all_admitted();
}

net::Duration RequestQueue::request_backlog(Priority least) const {
  double requests = 0;
  for (std::size_t p = 0; p <= index_of(least); ++p)
    requests += static_cast<double>(queues_.at(p).size());
  return net::to_duration(wire::Seconds(requests / requests_.rate()));
}

net::Duration RequestQueue::write_backlog(Priority least) const {
  double writes = 0;
  for (std::size_t p = 0; p <= index_of(least); ++p)
    for (const auto& pending : queues_.at(p)) writes += pending.writes;
  return net::to_duration(wire::Seconds(writes / writes_.rate()));
}

void RequestQueue::send_all_admitted() {
  const auto now = runtime_.now();
  Blocked blocked;
  for (std::size_t p = 0; p < queues_.size(); ++p) {
    auto& queue = queues_.at(p);
    const bool critical = p == index_of(Priority::Critical);
    while (!queue.empty() && (critical || admits(queue.front(), now, blocked)))
      send_front(queue, now);
    // Less important queues must wait too, unless only the write rate blocks this one.
    if (!queue.empty() && !blocked.by_writes_only) break;
  }
  if (blocked.wait != net::Duration::max()) arm_timer(blocked.wait);
}

bool RequestQueue::admits(const Pending& pending, net::Time now, Blocked& blocked) {
  const bool writes = pending.writes > 0;
  if (writes && blocked.by_writes_only) return false;
  const auto for_request = requests_.wait_for(now, 1);
  const auto for_writes = writes ? writes_.wait_for(now, pending.writes) : net::Duration::zero();
  const auto wait = std::max(for_request, for_writes);
  if (wait <= net::Duration::zero()) return true;
  blocked.wait = std::min(blocked.wait, wait);
  blocked.by_writes_only = for_request <= net::Duration::zero();
  return false;
}

void RequestQueue::send_front(Queue& queue, net::Time now) {
  auto pending = std::move(queue.front());
  queue.pop_front();
  requests_.take(now, 1);
  if (pending.writes > 0) writes_.take(now, pending.writes);
  runtime_.http(endpoint_, std::move(pending.request), pending.timeout,
                [this, done = std::move(pending.done)](net::HttpResult result) {
                  if (result.status == protocol::kTooManyRequests)
                    requests_.exhaust(runtime_.now());
                  done(std::move(result));
                });
}

void RequestQueue::arm_timer(net::Duration wait) {
  if (timer_armed_) return;
  timer_armed_ = true;
  runtime_.after(wait, [this] {
    timer_armed_ = false;
    send_all_admitted();
  });
}
}  // namespace limemast::store

#pragma once
#include <map>
#include <memory>
#include <unordered_map>

#include "net/runtime.hpp"

namespace limemast::simulation {
using net::Duration;
using net::Time;
using wire::json;
using namespace std::chrono_literals;

/// Simulated time, event queue and random numbers. Events due at the same time run in the order in
/// which they were scheduled.
class SimulatedWorld {
 public:
  explicit SimulatedWorld(std::uint64_t seed) : random(seed) {}
  Time now() const { return now_; }
  net::WallTime wall() const {
    return net::WallTime(1'700'000'000s) +
           std::chrono::duration_cast<net::WallTime::duration>(now_ - start());
  }
  static Time start() { return Time(1000s); }
  /// Schedules `fire` and returns an id for cancel().
  std::uint64_t after(Duration delay, std::function<void()> fire) {
    const auto id = next_++;
    const auto when = now_ + std::max(delay, Duration::zero());
    events_.emplace(std::pair{when, id}, std::move(fire));
    when_.emplace(id, when);
    return id;
  }
  void cancel(std::uint64_t id) {
    if (auto it = when_.find(id); it != when_.end()) {
      events_.erase({it->second, id});
      when_.erase(it);
    }
  }
  /// Runs the next event that is due by `until`. If there is none, advances the time to `until` and
  /// returns false.
  bool step(Time until) {
    if (events_.empty() || events_.begin()->first.first > until) {
      now_ = until;
      return false;
    }
    auto node = events_.extract(events_.begin());
    now_ = node.key().first;
    when_.erase(node.key().second);
    node.mapped()();
    return true;
  }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<>(low, high)(random);
  }
  /// A random number from 0 to n - 1.
  std::size_t below(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
  }
  /// True with probability `p`.
  bool chance(double p) { return uniform(0, 1) < p; }

  std::mt19937_64 random;

 private:
  Time now_ = start();
  std::uint64_t next_ = 1;
  std::unordered_map<std::uint64_t, Time> when_;
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> events_;
};

inline Duration seconds(double s) { return net::to_duration(wire::Seconds(s)); }
}  // namespace limemast::simulation

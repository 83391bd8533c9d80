#pragma once
// A stand-in of the state service, as PROTOCOL describes it.
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.hpp"

namespace standin {
using nlohmann::json;

struct StoreLimits {
  double rps = 150;
  double write_rps = 60;
  std::size_t value_bytes = 32 * 1024;
  std::size_t txn_ops = 24;
};

/// Tokens per second, with a burst of one second's worth.
class Bucket {
 public:
  explicit Bucket(double rate) : rate_(rate), tokens_(rate), at_(Clock::now()) {}
  bool take(double amount) {
    const auto now = Clock::now();
    tokens_ = std::min(rate_, tokens_ + rate_ * seconds_between(at_, now));
    at_ = now;
    if (tokens_ < amount) return false;
    tokens_ -= amount;
    return true;
  }

 private:
  double rate_;
  double tokens_;
  Time at_;
};

class Store {
 public:
  explicit Store(StoreLimits limits)
      : limits_(limits), requests_(limits.rps), writes_(limits.write_rps) {
    std::thread([this] { end_leases(); }).detach();
  }
  /// Serves one controller on a port of its own, so that it can be refused alone.
  int serve(int controller) {
    servers_.push_back(std::make_unique<Server>(
        0, [this, controller](const Request& r) { return handle(controller, r); }));
    return servers_.back()->port();
  }
  /// 503 for all controllers. Open watches stay open.
  void set_outage(bool on) {
    const std::lock_guard lock(mutex_);
    if (outage_ && !on)
      for (auto& [id, lease] : leases_) lease.ends = Clock::now() + lease.ttl;
    outage_ = on;
    changed_.notify_all();
  }
  void refuse(int controller, bool on) {
    const std::lock_guard lock(mutex_);
    if (on)
      refused_.insert(controller);
    else
      refused_.erase(controller);
    changed_.notify_all();
  }
  /// Holds the requests and responses of one controller; they arrive when it ends.
  void cut(int controller, bool on) {
    const std::lock_guard lock(mutex_);
    if (on)
      cut_.insert(controller);
    else
      cut_.erase(controller);
    changed_.notify_all();
  }
  /// The share of transactions that get no response and are executed `min_s` to `max_s` later.
  void set_late(double share, double min_s, double max_s) {
    const std::lock_guard lock(mutex_);
    late_share_ = share;
    late_min_ = min_s;
    late_max_ = max_s;
  }
  /// Seconds that each response takes.
  void set_latency(double s) { latency_ = s; }
  std::optional<json> value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(key);
    return it == entries_.end() ? std::nullopt : std::optional(it->second.value);
  }
  std::map<int, int> statuses() {
    const std::lock_guard lock(mutex_);
    return statuses_;
  }
  std::vector<std::string> oddities() {
    const std::lock_guard lock(mutex_);
    return oddities_;
  }

 private:
  struct Entry {
    json value;
    std::uint64_t stamp = 0;
    std::uint64_t permit = 0;
  };
  struct Lease {
    std::chrono::nanoseconds ttl{};
    Time ends;
  };
  struct Event {
    std::string key;
    std::uint64_t stamp = 0;
    std::optional<json> value;
  };

  static std::string parameter(const std::string& path, const std::string& name) {
    const auto query = path.find('?');
    auto at = path.find(name + "=", query == std::string::npos ? path.size() : query);
    if (at == std::string::npos) return {};
    at += name.size() + 1;
    return path.substr(at, path.find('&', at) - at);
  }
  Reply reply(int status, const json& body = json::object()) {
    ++statuses_[status];
    return {status, body.dump()};
  }
  void log(Event event) {
    log_.push_back(std::move(event));
    while (log_.size() > 10'000) {
      compacted_ = log_.front().stamp;
      log_.pop_front();
    }
  }
  void remove(const std::string& key, std::uint64_t stamp) {
    if (entries_.erase(key) > 0) log({key, stamp, std::nullopt});
  }
  void revoke(std::uint64_t id) {
    if (leases_.erase(id) == 0) return;
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_)
      if (entry.permit == id) keys.push_back(key);
    if (keys.empty()) return;
    ++epoch_;
    for (const auto& key : keys) remove(key, epoch_);
    changed_.notify_all();
  }
  void end_leases() {
    for (;;) {
      pause(0.02);
      const std::lock_guard lock(mutex_);
      if (outage_) continue;
      std::vector<std::uint64_t> ended;
      for (const auto& [id, lease] : leases_)
        if (lease.ends <= Clock::now()) ended.push_back(id);
      for (const auto id : ended) revoke(id);
    }
  }
  bool down(int controller) const { return outage_ || refused_.contains(controller); }

  Reply handle(int controller, const Request& r) {
    hold_while_cut(controller);
    auto out = answer(controller, r);
    hold_while_cut(controller);
    return out;
  }
  void hold_while_cut(int controller) {
    std::unique_lock lock(mutex_);
    while (cut_.contains(controller)) changed_.wait_for(lock, std::chrono::milliseconds(50));
  }
  Reply answer(int controller, const Request& r) {
    if (latency_ > 0) pause(latency_);
    const auto body = r.body.empty() ? json::object() : json::parse(r.body, nullptr, false);
    const auto path = r.path.substr(0, r.path.find('?'));
    std::unique_lock lock(mutex_);
    if (down(controller)) return reply(503);
    if (body.is_discarded() || !body.is_object()) return reply(400);
    if (!requests_.take(1)) return reply(429);
    if (path == "/changes") return changes(controller, r.path, lock);
    if (path == "/keys") return list(r.path);
    if (path.starts_with("/keys/")) return get(path.substr(6));
    if (path == "/txn") return txn_request(r, body, lock);
    if (path == "/grants" && r.method == "POST") {
      const auto ttl = std::chrono::milliseconds(body.at("ttlMs").get<std::int64_t>());
      const auto id = next_lease_++;
      leases_[id] = {ttl, Clock::now() + ttl};
      return reply(200, {{"permit", id}});
    }
    if (path.starts_with("/grants/")) {
      const auto id = std::strtoull(path.c_str() + 8, nullptr, 10);
      const auto lease = leases_.find(id);
      if (r.method == "DELETE") {
        revoke(id);
        return reply(200);
      }
      if (lease == leases_.end()) return reply(404);
      lease->second.ends = Clock::now() + lease->second.ttl;
      return reply(200);
    }
    return reply(400);
  }
  Reply get(const std::string& key) {
    const auto it = entries_.find(key);
    if (it == entries_.end()) return reply(404, {{"epoch", epoch_}});
    json out{{"key", key}, {"v", it->second.value}, {"stamp", it->second.stamp}};
    if (it->second.permit != 0) out["permit"] = it->second.permit;
    return reply(200, out);
  }
  Reply list(const std::string& path) {
    const auto prefix = parameter(path, "prefix");
    const auto from = parameter(path, "from");
    const auto limit = std::min<std::size_t>(1000, std::stoul(parameter(path, "limit")));
    json entries = json::array();
    std::size_t bytes = 0;
    bool truncated = false;
    for (auto it = entries_.lower_bound(prefix); it != entries_.end(); ++it) {
      if (!it->first.starts_with(prefix)) break;
      if (!from.empty() && it->first <= from) continue;
      json item{{"key", it->first}, {"v", it->second.value}, {"stamp", it->second.stamp}};
      bytes += item.dump().size() + 1;
      if (entries.size() >= limit || bytes > 500 * 1024) {
        truncated = true;
        break;
      }
      entries.push_back(std::move(item));
    }
    return reply(200, {{"entries", entries}, {"truncated", truncated}, {"epoch", epoch_}});
  }
  Reply changes(int controller, const std::string& path, std::unique_lock<std::mutex>& lock) {
    const auto prefix = parameter(path, "prefix");
    const auto from = std::strtoull(parameter(path, "from").c_str(), nullptr, 10);
    const auto wait = std::strtoull(parameter(path, "waitMs").c_str(), nullptr, 10);
    const auto deadline = Clock::now() + std::chrono::milliseconds(wait);
    for (;;) {
      if (!down(controller)) {
        if (from < compacted_) return reply(410);
        json news = json::array();
        for (auto it = log_.rbegin(); it != log_.rend() && it->stamp > from; ++it)
          if (it->key.starts_with(prefix))
            news.push_back(it->value
                               ? json{{"set", it->key}, {"v", *it->value}, {"stamp", it->stamp}}
                               : json{{"remove", it->key}, {"stamp", it->stamp}});
        std::reverse(news.begin(), news.end());
        if (!news.empty() || Clock::now() >= deadline)
          return reply(200, {{"epoch", epoch_}, {"news", news}});
        changed_.wait_until(lock, deadline);
      } else {
        changed_.wait_for(lock, std::chrono::milliseconds(100));
      }
    }
  }
  Reply txn_request(const Request& r, const json& body, std::unique_lock<std::mutex>& lock) {
    const auto& when = body.at("when");
    const auto& writes = body.at("writes");
    bool fits = r.body.size() <= 64 * 1024 && writes.size() <= limits_.txn_ops &&
                when.size() <= 4 * limits_.txn_ops;
    for (const auto& write : writes)
      fits = fits && (!write.contains("v") || write["v"].dump().size() <= limits_.value_bytes);
    if (!fits) {
      oddities_.push_back("transaction over the limits: " + r.body.substr(0, 200));
      return reply(400, {{"error", "too large"}});
    }
    if (!writes.empty() && !writes_.take(static_cast<double>(writes.size()))) return reply(429);
    if (late_share_ > 0 && std::uniform_real_distribution<>(0, 1)(random_) < late_share_) {
      const auto delay = std::uniform_real_distribution<>(late_min_, late_max_)(random_);
      if (delay <= 0) {
        apply(body);
      } else {
        std::thread([this, body, delay] {
          pause(delay);
          const std::lock_guard guard(mutex_);
          apply(body);
        }).detach();
      }
      lock.unlock();
      pause(20);  // the caller has given up by then
      return {0, {}};
    }
    const auto [status, answer] = apply(body);
    return reply(status, answer);
  }
  std::pair<int, json> apply(const json& body) {
    for (const auto& write : body.at("writes"))
      if (const auto permit = write.value("permit", std::uint64_t{0});
          permit != 0 && !leases_.contains(permit))
        return {400, {{"error", "no such lease"}}};
    json failed = json::array();
    for (const auto& condition : body.at("when")) {
      const auto key = condition.at("key").get<std::string>();
      const auto it = entries_.find(key);
      const auto stamp = it == entries_.end() ? 0 : it->second.stamp;
      if (stamp != condition.at("stamp").get<std::uint64_t>()) failed.push_back(key);
    }
    if (!failed.empty()) return {409, {{"failed", failed}, {"epoch", epoch_}}};
    if (body.at("writes").empty()) return {200, {{"epoch", epoch_}}};
    ++epoch_;
    for (const auto& write : body.at("writes")) {
      if (write.contains("remove")) {
        remove(write["remove"].get<std::string>(), epoch_);
        continue;
      }
      const auto key = write.at("set").get<std::string>();
      entries_[key] = {write.at("v"), epoch_, write.value("permit", std::uint64_t{0})};
      log({key, epoch_, write.at("v")});
    }
    changed_.notify_all();
    return {200, {{"epoch", epoch_}}};
  }

  StoreLimits limits_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Event> log_;
  std::uint64_t epoch_ = 0;
  std::uint64_t compacted_ = 0;
  std::uint64_t next_lease_ = 1;
  Bucket requests_;
  Bucket writes_;
  bool outage_ = false;
  std::set<int> refused_;
  std::set<int> cut_;
  double late_share_ = 0;
  double late_min_ = 0;
  double late_max_ = 0;
  std::atomic<double> latency_{0.003};
  std::mt19937_64 random_{std::random_device{}()};
  std::map<int, int> statuses_;
  std::vector<std::string> oddities_;
  std::vector<std::unique_ptr<Server>> servers_;
};
}  // namespace standin

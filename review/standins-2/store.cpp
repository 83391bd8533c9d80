#include "store.hpp"

namespace standins {
namespace {
constexpr std::size_t kKeptChanges = 10'000;
constexpr std::size_t kMaxEntries = 1000;
constexpr std::size_t kMaxListBytes = 500UL * 1024;

std::map<std::string, std::string> query_of(const std::string& path) {
  std::map<std::string, std::string> out;
  auto at = path.find('?');
  while (at != std::string::npos) {
    const auto end = path.find('&', at + 1);
    const auto pair = path.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const auto equals = pair.find('=');
    if (equals != std::string::npos) out[pair.substr(0, equals)] = pair.substr(equals + 1);
    at = end;
  }
  return out;
}
}  // namespace

Store::Store(int nodes) {
  for (int node = 0; node < nodes; ++node) {
    gates_.push_back(std::make_unique<std::atomic<Gate>>(Gate::Open));
    lost_answers_.push_back(std::make_unique<std::atomic<int>>(0));
    servers_.push_back(std::make_unique<HttpServer>(
        [this, node](const Request& request) { return handle(node, request); }));
  }
  std::thread([this] {
    for (;;) {
      sleep_for(0.02);
      expire();
    }
  }).detach();
}

void Store::set_gate(int node, Gate gate) { *gates_[static_cast<std::size_t>(node)] = gate; }

void Store::set_outage(bool outage) {
  const std::lock_guard lock(mutex_);
  outage_ = outage;
  for (auto& [id, grant] : grants_) grant.expires = now() + grant.ttl;
  changed_.notify_all();
}

void Store::lose_answers(int node, int transactions) {
  *lost_answers_[static_cast<std::size_t>(node)] = transactions;
}

std::optional<json> Store::value(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(key);
  return it == entries_.end() ? std::nullopt : std::optional(it->second.value);
}

std::map<std::string, json> Store::list(const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  std::map<std::string, json> out;
  for (auto it = entries_.lower_bound(prefix); it != entries_.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    out[it->first] = it->second.value;
  }
  return out;
}

Response Store::handle(int node, const Request& request) {
  auto& gate = *gates_[static_cast<std::size_t>(node)];
  const Response refused{503, R"({"error":"trouble"})"};
  const auto hang = [&] {
    while (gate == Gate::Hang) sleep_for(0.1);
    return Response{};
  };
  if (gate == Gate::Hang) return hang();
  if (outage_ || gate == Gate::Refuse) return refused;
  const bool watch = request.path.starts_with("/changes");
  sleep_for(delay_);
  if (gate == Gate::Hang) return hang();
  if (outage_ || gate == Gate::Refuse) return refused;
  Response response{400, "{}"};
  if (watch) {
    response = changes(node, query_of(request.path));
  } else if (request.path.starts_with("/keys?")) {
    response = list_keys(query_of(request.path));
  } else if (request.path.starts_with("/keys/")) {
    response = get(request.path.substr(6));
  } else if (request.path == "/txn") {
    const auto body = json::parse(request.body, nullptr, false);
    if (body.is_object()) response = transaction(body);
    auto& lost = *lost_answers_[static_cast<std::size_t>(node)];
    if (lost > 0) {
      --lost;
      record("store: the answer of a transaction of node " + std::to_string(node) +
             " is lost: " + std::to_string(response.status) + " " + request.body);
      sleep_for(5);
      return {};
    }
  } else if (request.path.starts_with("/grants")) {
    response = grants(request);
  }
  if (gate == Gate::Hang) return hang();
  return response;
}

Response Store::get(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(key);
  if (it == entries_.end()) return {404, json{{"epoch", epoch_}}.dump()};
  json out{{"key", key}, {"v", it->second.value}, {"stamp", it->second.stamp}};
  if (it->second.permit > 0) out["permit"] = it->second.permit;
  return {200, out.dump()};
}

Response Store::list_keys(const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(mutex_);
  const auto find = [&](const char* name) {
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
  };
  const auto prefix = find("prefix");
  const auto from = find("from");
  const std::size_t limit =
      std::min(kMaxEntries, find("limit").empty() ? kMaxEntries : std::stoul(find("limit")));
  json entries = json::array();
  bool truncated = false;
  std::size_t bytes = 0;
  for (auto it = entries_.lower_bound(prefix); it != entries_.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    if (!from.empty() && it->first <= from) continue;
    if (entries.size() >= limit || bytes > kMaxListBytes) {
      truncated = true;
      break;
    }
    entries.push_back({{"key", it->first}, {"v", it->second.value}, {"stamp", it->second.stamp}});
    bytes += entries.back().dump().size();
  }
  return {200, json{{"entries", entries}, {"truncated", truncated}, {"epoch", epoch_}}.dump()};
}

Response Store::changes(int node, const std::map<std::string, std::string>& query) {
  const auto prefix = query.at("prefix");
  const std::uint64_t from = std::stoull(query.at("from"));
  const double wait = query.contains("waitMs") ? std::stod(query.at("waitMs")) / 1000 : 0;
  const double until = now() + wait;
  auto& gate = *gates_[static_cast<std::size_t>(node)];
  std::unique_lock lock(mutex_);
  for (;;) {
    if (!log_.empty() && log_.size() >= kKeptChanges && from < log_.front().stamp)
      return {410, "{}"};
    json news = json::array();
    for (const auto& change : log_) {
      if (change.stamp <= from || !change.key.starts_with(prefix)) continue;
      if (change.value)
        news.push_back({{"set", change.key}, {"v", *change.value}, {"stamp", change.stamp}});
      else
        news.push_back({{"remove", change.key}, {"stamp", change.stamp}});
    }
    const bool served = !outage_ && gate == Gate::Open;
    if (served && (!news.empty() || now() >= until))
      return {200, json{{"epoch", epoch_}, {"news", news}}.dump()};
    if (!served && now() >= until + 60) return {};
    changed_.wait_for(lock, std::chrono::milliseconds(20));
  }
}

void Store::apply(const std::string& key, std::optional<json> value, std::uint64_t permit) {
  log_.push_back({key, epoch_, value});
  if (log_.size() > kKeptChanges) log_.pop_front();
  if (on_change) on_change(key, value ? &*value : nullptr);
  if (value)
    entries_[key] = {std::move(*value), epoch_, permit};
  else
    entries_.erase(key);
}

Response Store::transaction(const json& body) {
  const std::lock_guard lock(mutex_);
  const auto no_write = json::array();
  const auto& writes = body.contains("writes") ? body["writes"] : no_write;
  for (const auto& write : writes)
    if (write.contains("set") && write.contains("permit") &&
        !grants_.contains(write["permit"].get<std::uint64_t>()))
      return {400, R"({"error":"no such lease"})"};
  json failed = json::array();
  for (const auto& when : body.value("when", json::array())) {
    const auto it = entries_.find(when.at("key").get<std::string>());
    const std::uint64_t stamp = it == entries_.end() ? 0 : it->second.stamp;
    if (stamp != when.at("stamp").get<std::uint64_t>()) failed.push_back(when["key"]);
  }
  if (!failed.empty()) return {409, json{{"failed", failed}, {"epoch", epoch_}}.dump()};
  if (!writes.empty()) ++epoch_;
  for (const auto& write : writes) {
    if (write.contains("set"))
      apply(write["set"].get<std::string>(), write.at("v"), write.value("permit", 0ULL));
    else if (entries_.contains(write.at("remove").get<std::string>()))
      apply(write["remove"].get<std::string>(), std::nullopt, 0);
  }
  changed_.notify_all();
  return {200, json{{"epoch", epoch_}}.dump()};
}

Response Store::grants(const Request& request) {
  const std::lock_guard lock(mutex_);
  if (request.path == "/grants") {
    const auto body = json::parse(request.body, nullptr, false);
    const double ttl = body.at("ttlMs").get<double>() / 1000;
    const auto id = next_grant_++;
    grants_[id] = {ttl, now() + ttl};
    return {200, json{{"permit", id}}.dump()};
  }
  const auto id = std::stoull(request.path.substr(8));
  const auto it = grants_.find(id);
  if (it == grants_.end()) return {404, R"({"error":"no such lease"})"};
  if (request.method == "DELETE")
    end_grant(id);
  else
    it->second.expires = now() + it->second.ttl;
  return {200, "{}"};
}

void Store::expire() {
  const std::lock_guard lock(mutex_);
  if (outage_) return;
  std::vector<std::uint64_t> ended;
  for (const auto& [id, grant] : grants_)
    if (now() > grant.expires) ended.push_back(id);
  for (const auto id : ended) end_grant(id);
}

void Store::end_grant(std::uint64_t id) {
  grants_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_)
    if (entry.permit == id) keys.push_back(key);
  if (!keys.empty()) ++epoch_;
  for (const auto& key : keys) apply(key, std::nullopt, 0);
  changed_.notify_all();
}
}  // namespace standins

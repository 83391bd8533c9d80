#include "simulation/state_service.hpp"

#include <algorithm>

namespace limemast::simulation {
namespace {
std::string parameter(const std::string& path, const std::string& name) {
  const auto query = path.find('?');
  auto at = path.find(name + "=", query == std::string::npos ? path.size() : query);
  if (at == std::string::npos) return {};
  at += name.size() + 1;
  return path.substr(at, path.find('&', at) - at);
}
net::HttpResult reply(int status, const json& body = json::object()) {
  return {status, true, body.dump()};
}
}  // namespace

void StateService::set_outage(bool on) {
  if (outage_ && !on)
    // After an outage each lease gets its full TTL again.
    for (auto& [id, g] : leases_) g.expires_at = world_.now() + g.ttl;
  outage_ = on;
  if (!on) notify_watches();
}

void StateService::append_to_log(Event event) {
  log_.push_back(std::move(event));
  while (log_.size() > log_size_) {
    compacted_revision_ = log_.front().mod_revision;
    log_.pop_front();
  }
}
void StateService::apply(const std::string& key, json value, std::uint64_t lease,
                         std::uint64_t mod_revision) {
  append_to_log({key, mod_revision, false, value});
  entries_[key] = {std::move(value), mod_revision, lease};
}
void StateService::erase(const std::string& key, std::uint64_t mod_revision) {
  if (entries_.erase(key) > 0) append_to_log({key, mod_revision, true, {}});
}

std::vector<StateService::StoredKey> StateService::content() const {
  std::vector<StoredKey> out;
  for (const auto& [key, e] : entries_) out.push_back({key, e.value, e.mod_revision, e.lease != 0});
  return out;
}

void StateService::restore(const std::vector<StoredKey>& content, std::uint64_t revision,
                           Duration lease_ttl) {
  const auto lease = next_lease_++;
  leases_[lease] = {lease_ttl, world_.now() + lease_ttl};
  for (const auto& k : content) entries_[k.key] = {k.value, k.mod_revision, k.leased ? lease : 0};
  revision_ = compacted_revision_ = revision;
}

void StateService::revoke_lease(std::uint64_t id) {
  if (leases_.erase(id) == 0) return;
  std::vector<std::string> keys;
  for (const auto& [key, e] : entries_)
    if (e.lease == id) keys.push_back(key);
  if (keys.empty()) return;
  ++revision_;
  for (const auto& key : keys) erase(key, revision_);
  notify_watches();
}

void StateService::check_leases() {
  if (outage_) return;
  std::vector<std::uint64_t> ended;
  for (const auto& [id, g] : leases_)
    if (g.expires_at <= world_.now()) ended.push_back(id);
  for (auto id : ended) revoke_lease(id);
}

bool StateService::answer_watch(const Watch& w, bool even_if_empty) {
  if (w.from_revision < compacted_revision_) return w.answer(reply(410)), true;
  json events = json::array();
  for (const auto& e : log_) {
    if (e.mod_revision <= w.from_revision || e.key.compare(0, w.prefix.size(), w.prefix) != 0)
      continue;
    events.push_back(e.removed ? json{{"remove", e.key}, {"stamp", e.mod_revision}}
                               : json{{"set", e.key}, {"v", e.value}, {"stamp", e.mod_revision}});
  }
  if (events.empty() && !even_if_empty) return false;
  w.answer(reply(200, {{"epoch", revision_}, {"news", events}}));
  return true;
}

void StateService::notify_watches() {
  if (outage_) return;
  std::erase_if(watches_, [&](auto& w) { return answer_watch(w.second, false); });
}

void StateService::handle(const net::HttpRequest& r, Answer answer) {
  ++request_count_;
  check_leases();
  const auto body = json::parse(r.body, nullptr, false);
  const auto path = r.path.substr(0, r.path.find('?'));
  if (outage_) return answer(reply(503));
  if (path == "/changes") {
    const auto id = next_watch_++;
    Watch w{parameter(r.path, "prefix"), std::stoull(parameter(r.path, "from")), std::move(answer)};
    if (answer_watch(w, false)) return;
    watches_.emplace(id, std::move(w));
    world_.after(std::chrono::milliseconds(std::stoll("0" + parameter(r.path, "waitMs"))),
                 [this, id] {
                   auto it = watches_.find(id);
                   if (it == watches_.end() || outage_) return;
                   answer_watch(it->second, true);
                   watches_.erase(it);
                 });
  } else if (path == "/keys") {
    const auto prefix = parameter(r.path, "prefix");
    const auto from = parameter(r.path, "from");
    const auto limit = std::stoul(parameter(r.path, "limit"));
    json entries = json::array();
    bool truncated = false;
    for (const auto& [key, e] : entries_) {
      if (key.compare(0, prefix.size(), prefix) != 0 || (!from.empty() && key <= from)) continue;
      if (entries.size() >= limit) {
        truncated = true;
        break;
      }
      entries.push_back({{"key", key}, {"v", e.value}, {"stamp", e.mod_revision}});
    }
    answer(reply(200, {{"entries", entries}, {"truncated", truncated}, {"epoch", revision_}}));
  } else if (path.rfind("/keys/", 0) == 0) {
    auto it = entries_.find(path.substr(6));
    if (it == entries_.end()) return answer(reply(404, {{"epoch", revision_}}));
    json out{{"key", it->first}, {"v", it->second.value}, {"stamp", it->second.mod_revision}};
    if (it->second.lease != 0) out["permit"] = it->second.lease;
    answer(reply(200, out));
  } else if (path == "/txn") {
    txn(body, answer);
  } else if (path == "/grants") {
    const auto ttl = std::chrono::milliseconds(body.at("ttlMs").get<std::int64_t>());
    const auto id = next_lease_++;
    leases_[id] = {ttl, world_.now() + ttl};
    answer(reply(200, {{"permit", id}}));
  } else {
    const auto id = std::stoull(path.substr(8));
    auto it = leases_.find(id);
    if (it == leases_.end()) return answer(reply(404));
    if (r.method == "DELETE")
      revoke_lease(id);
    else
      it->second.expires_at = world_.now() + it->second.ttl;
    answer(reply(200));
  }
}

void StateService::txn(const json& body, const Answer& answer) {
  for (const auto& w : body.at("writes"))
    if (auto p = w.find("permit"); p != w.end() && !leases_.contains(p->get<std::uint64_t>()))
      return answer(reply(400, {{"error", "no such lease"}}));
  for (const auto& w : body.at("writes")) {
    const auto& key = w.contains("remove") ? w["remove"] : w.at("set");
    const auto& when = body.at("when");
    if (std::none_of(when.begin(), when.end(), [&](const json& c) { return c.at("key") == key; }))
      unconditionally_written_keys_.insert(key.get<std::string>());
  }
  write_count_ += body.at("writes").size();
  json failed = json::array();
  for (const auto& c : body.at("when")) {
    auto it = entries_.find(c.at("key").get<std::string>());
    if ((it == entries_.end() ? 0 : it->second.mod_revision) != c.at("stamp").get<std::uint64_t>())
      failed.push_back(c.at("key"));
  }
  if (!failed.empty()) return answer(reply(409, {{"failed", failed}, {"epoch", revision_}}));
  ++revision_;
  for (const auto& w : body.at("writes")) {
    if (w.contains("remove"))
      erase(w["remove"].get<std::string>(), revision_);
    else
      apply(w.at("set").get<std::string>(), w.at("v"), w.value("permit", std::uint64_t{0}),
            revision_);
  }
  answer(reply(200, {{"epoch", revision_}}));
  notify_watches();
}
}  // namespace limemast::simulation

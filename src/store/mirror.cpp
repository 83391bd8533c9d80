#include "store/mirror.hpp"

#include <algorithm>
#include <set>

namespace limemast::store {
namespace {
using namespace std::chrono_literals;
/// Each answer tells how fresh the mirror is, also where nothing changes; membership.hpp says what depends on that.
constexpr auto kWait = 1s;
constexpr auto kWatchTimeout = 8s;
constexpr auto kListTimeout = 5s;
constexpr auto kRefreshTimeout = 1500ms;
constexpr auto kPause = 300ms;
constexpr auto kPage = "500";

/// One change as the service tells it.
bool readable(const json& change) {
  if (!change.is_object()) return false;
  const auto stamp = change.find("stamp");
  const auto text = [&](const char* field) {
    const auto it = change.find(field);
    return it != change.end() && it->is_string();
  };
  return stamp != change.end() && stamp->is_number_unsigned() && (text("remove") || (text("set") && change.contains("v")));
}
}  // namespace

Mirror::Mirror(net::Runtime& runtime, Client& client, std::string prefix)
    : runtime_(runtime), client_(client), prefix_(std::move(prefix)) {}

void Mirror::start(Listener listener) {
  listener_ = std::move(listener);
  list("");
}

const Entry* Mirror::find(const std::string& key) const {
  auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

void Mirror::retry(std::function<void()> again) { runtime_.after(kPause, std::move(again)); }

void Mirror::list(const std::string& from) {
  if (from.empty()) {
    listing_.clear();
    listing_sent_ = runtime_.now();
  }
  std::string path = "/keys?prefix=" + prefix_ + "&limit=" + kPage;
  if (!from.empty()) path += "&from=" + from;
  client_.call(Priority::Vital, {"GET", path, {}}, kListTimeout, [this, from](net::HttpResult r) {
    const auto body = r.status == 200 ? json::parse(r.body, nullptr, false) : json();
    if (!body.is_object() || !body.contains("entries")) return retry([this] { list(""); });
    // Changes are watched from the first page on: what changes while later pages are read is seen again.
    if (from.empty()) listing_epoch_ = body.value("epoch", std::uint64_t{0});
    std::string last;
    try {
      for (const auto& e : body["entries"]) {
        last = e.at("key").get<std::string>();
        listing_[last] = {e.at("v"), e.at("stamp").get<std::uint64_t>()};
      }
    } catch (const json::exception&) {
      return retry([this] { list(""); });
    }
    if (body.value("truncated", false) && !last.empty()) return list(last);

    std::vector<Change> changes;
    for (const auto& [key, entry] : entries_)
      if (!listing_.contains(key)) changes.push_back({key, true});
    for (const auto& [key, entry] : listing_) {
      const auto* old = find(key);
      if (!old || old->stamp != entry.stamp) changes.push_back({key, false});
    }
    entries_ = std::move(listing_);
    listing_.clear();
    epoch_ = listing_epoch_;
    shown_until_ = std::max(shown_until_, listing_sent_);
    synced_ = true;
    listener_(changes);
    watch();
  });
}

void Mirror::watch() {
  const auto wait = std::chrono::milliseconds(kWait).count();
  client_.call(Priority::Vital,
               {"GET", "/changes?prefix=" + prefix_ + "&from=" + std::to_string(epoch_) + "&waitMs=" + std::to_string(wait), {}},
               kWatchTimeout, [this, sent = runtime_.now()](net::HttpResult r) {
                 if (r.status == 410) return list("");
                 if (!take(r.status == 200 ? json::parse(r.body, nullptr, false) : json(), sent)) return retry([this] { watch(); });
                 watch();
               });
}

void Mirror::refresh(std::function<void(bool)> done) {
  if (!synced_) return done(false);
  client_.call(Priority::Vital, {"GET", "/changes?prefix=" + prefix_ + "&from=" + std::to_string(epoch_) + "&waitMs=0", {}}, kRefreshTimeout,
               [this, sent = runtime_.now(), done = std::move(done)](net::HttpResult r) {
                 done(take(r.status == 200 ? json::parse(r.body, nullptr, false) : json(), sent));
               });
}

bool Mirror::take(const json& body, net::Time sent) {
  const auto epoch = body.is_object() ? body.find("epoch") : body.end();
  if (epoch == body.end() || !epoch->is_number_unsigned()) return false;
  std::vector<Change> changes;
  const auto news = body.find("news");
  if (news != body.end() && !std::all_of(news->begin(), news->end(), readable)) return false;
  if (news != body.end()) {
    for (const auto& n : *news) {
      const auto stamp = n.at("stamp").get<std::uint64_t>();
      // Two answers may overlap, and come in any order. What the mirror has passed already must not come back: a key
      // set and removed meanwhile would stay for ever.
      if (stamp <= epoch_) continue;
      const bool removed = n.contains("remove");
      const auto key = n.at(removed ? "remove" : "set").get<std::string>();
      auto it = entries_.find(key);
      if (it != entries_.end() && it->second.stamp >= stamp) continue;
      if (removed) {
        if (it == entries_.end()) continue;
        entries_.erase(it);
      } else {
        entries_[key] = {n.at("v"), stamp};
      }
      changes.push_back({key, removed});
    }
  }
  epoch_ = std::max(epoch_, epoch->get<std::uint64_t>());
  shown_until_ = std::max(shown_until_, sent);
  // One entry a key, in its final state: after a pause one answer may hold a key's birth and its end.
  std::set<std::string> told;
  std::vector<Change> final;
  for (const auto& c : changes)
    if (told.insert(c.key).second) final.push_back({c.key, !entries_.contains(c.key)});
  if (!final.empty()) listener_(final);
  return true;
}
}  // namespace limemast::store

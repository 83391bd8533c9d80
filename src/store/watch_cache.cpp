#include "store/watch_cache.hpp"

#include <algorithm>
#include <set>

#include <spdlog/spdlog.h>

namespace limemast::store {
namespace {
using namespace std::chrono_literals;
/// Maximum wait of a watch request. Each response advances fresh_until(), even without changes, and
/// Membership::may_act() depends on it.
constexpr auto kWatchWait = 1s;
constexpr auto kNoWait = 0s;
constexpr auto kWatchTimeout = 8s;
constexpr auto kListTimeout = 5s;
constexpr auto kRefreshTimeout = 1500ms;
constexpr auto kRetryDelay = 300ms;

/// Applies a change. Returns false if it has no effect on the entries.
bool apply(std::map<std::string, Entry>& entries, const KeyChange& change) {
  const auto it = entries.find(change.key);
  if (it != entries.end() && it->second.mod_revision >= change.mod_revision) return false;
  if (change.value) {
    entries[change.key] = {*change.value, change.mod_revision};
    return true;
  }
  if (it == entries.end()) return false;
  entries.erase(it);
  return true;
}

std::vector<Change> differences(const std::map<std::string, Entry>& before,
                                const std::map<std::string, Entry>& after) {
  std::vector<Change> changes;
  for (const auto& [key, entry] : before)
    if (!after.contains(key)) changes.push_back({key, true});
  for (const auto& [key, entry] : after) {
    const auto old = before.find(key);
    if (old == before.end() || old->second.mod_revision != entry.mod_revision)
      changes.push_back({key, false});
  }
  return changes;
}
}  // namespace

WatchCache::WatchCache(net::Runtime& runtime, Client& client, std::string prefix)
    : runtime_(runtime), client_(client), prefix_(std::move(prefix)) {}

void WatchCache::start(Listener listener) {
  listener_ = std::move(listener);
  restart_listing();
}

const Entry* WatchCache::find(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

void WatchCache::retry_listing() {
  runtime_.after(kRetryDelay, [this] { restart_listing(); });
}

void WatchCache::restart_listing() {
  listing_.clear();
  listing_sent_ = runtime_.now();
  list_page("");
}

void WatchCache::list_page(const std::string& after) {
  client_.list(prefix_, after, [this, first = after.empty()](std::optional<ListPage> page) {
    page ? on_list_page(std::move(*page), first) : retry_listing();
  });
}

void WatchCache::on_list_page(ListPage page, bool first) {
  // Later changes are read from the revision of the first page on, because later pages may be newer
  // than it.
  if (first) listing_revision_ = page.revision;
  const auto last = page.items.empty() ? std::string() : page.items.back().key;
  for (auto& item : page.items) listing_[item.key] = std::move(item.entry);
  if (page.truncated && !last.empty()) return list_page(last);
  first ? install_listing(listing_revision_) : complete_listing();
}

void WatchCache::complete_listing() {
  client_.changes(prefix_, listing_revision_, kNoWait, kListTimeout,
                  [this](const ChangesResult& result) {
                    if (result.status != ChangesStatus::Ok) return retry_listing();
                    for (const auto& change : result.changes) apply(listing_, change);
                    install_listing(result.revision);
                  });
}

void WatchCache::install_listing(Revision revision) {
  // A refresh may have advanced the cache beyond this listing.
  if (revision < revision_) return restart_listing();
  const auto changes = differences(entries_, listing_);
  entries_ = std::move(listing_);
  listing_.clear();
  revision_ = revision;
  fresh_until_ = std::max(fresh_until_, listing_sent_);
  synced_ = true;
  listener_(changes);
  watch();
}

void WatchCache::watch() {
  client_.changes(prefix_, revision_, kWatchWait, kWatchTimeout,
                  [this, sent = runtime_.now()](const ChangesResult& result) {
                    on_watch_result(result, sent);
                  });
}

void WatchCache::on_watch_result(const ChangesResult& result, net::Time sent) {
  if (result.status == ChangesStatus::Compacted) return restart_listing();
  if (apply_changes(result, sent)) return watch();
  runtime_.after(kRetryDelay, [this] { watch(); });
}

void WatchCache::refresh(std::function<void(bool)> done) {
  if (!synced_) return done(false);
  client_.changes(
      prefix_, revision_, kNoWait, kRefreshTimeout,
      [this, sent = runtime_.now(), done = std::move(done)](const ChangesResult& result) {
        const bool applied = apply_changes(result, sent);
        spdlog::debug(
            "linearizable read of {}: {}, revision {}, asked {} ms ago", prefix_,
            applied ? "answered" : "no answer", revision_.value(),
            std::chrono::duration_cast<std::chrono::milliseconds>(runtime_.now() - sent).count());
        done(applied);
      });
}

bool WatchCache::apply_changes(const ChangesResult& result, net::Time sent) {
  if (result.status != ChangesStatus::Ok) return false;
  // Reports one change per key with its final state, because one response may contain both the
  // creation and the deletion of a key.
  std::vector<std::string> changed;
  std::set<std::string> seen;
  for (const auto& change : result.changes) {
    // Responses to watch and refresh requests may overlap and arrive in any order. A change at or
    // below the current revision is skipped; otherwise a key that was set and then deleted could
    // reappear permanently.
    if (change.mod_revision <= revision_) continue;
    if (apply(entries_, change) && seen.insert(change.key).second) changed.push_back(change.key);
  }
  revision_ = std::max(revision_, result.revision);
  fresh_until_ = std::max(fresh_until_, sent);
  std::vector<Change> changes;
  changes.reserve(changed.size());
  for (const auto& key : changed) changes.push_back({key, !entries_.contains(key)});
  if (!changes.empty()) listener_(changes);
  return true;
}
}  // namespace limemast::store

#pragma once
// Local cache of a part of the key-value store, kept up to date by listing and watching.
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store/client.hpp"

namespace limemast::store {
/// A key that changed in the cache.
struct Change {
  std::string key;
  bool removed = false;  ///< true if the key is no longer in the cache
};

/// Cache of all keys under one prefix. Changes are applied in revision order, so the cache may lag
/// behind the store, but a reader that sees a write also sees all earlier writes.
class WatchCache {
 public:
  using Listener = std::function<void(const std::vector<Change>&)>;
  WatchCache(net::Runtime& runtime, Client& client, std::string prefix);
  /// Starts the first listing. `listener` is called after each batch of changes was applied, with
  /// one change per key. Its first call contains all keys of the first listing.
  void start(Listener listener);

  const std::map<std::string, Entry>& entries() const { return entries_; }
  /// Returns nullptr if the key does not exist.
  const Entry* find(const std::string& key) const;
  /// True once the first listing is complete.
  bool synced() const { return synced_; }
  /// Reads all changes up to now. If `done` receives true, the cache contains every write that was
  /// made before this call, as a direct read of each key would.
  void refresh(std::function<void(bool)> done);
  /// Store revision that the cache reflects.
  Revision revision() const { return revision_; }
  /// The cache contains all writes made before this time. It does not advance while watch requests
  /// are unanswered, even if other requests to the store succeed.
  net::Time fresh_until() const { return fresh_until_; }

 private:
  using Entries = std::map<std::string, Entry>;
  void restart_listing();
  void list_page(const std::string& after);
  void on_list_page(ListPage page, bool first);
  /// Applies the changes since the first page to a listing of several pages, which reflects no
  /// single revision, before the listing is installed.
  void complete_listing();
  /// Replaces the entries by the listing at this revision. A listing older than the cache is
  /// discarded and started again.
  void install_listing(Revision revision);
  void watch();
  void on_watch_result(const ChangesResult& result, net::Time sent);
  /// Applies the response to a request that was sent at `sent`. Returns false if the request
  /// failed.
  bool apply_changes(const ChangesResult& result, net::Time sent);
  void retry_listing();

  net::Runtime& runtime_;
  Client& client_;
  std::string prefix_;
  Listener listener_;
  // Invariant: entries, revision and freshness advance together and never go back. A key that the
  // cache has shown, such as an accepted job, disappears only if it was deleted.
  Entries entries_;
  Revision revision_{};
  net::Time fresh_until_{};
  bool synced_ = false;
  // State of the listing in progress.
  Entries listing_;
  Revision listing_revision_{};  ///< revision of its first page
  net::Time listing_sent_{};
};
}  // namespace limemast::store

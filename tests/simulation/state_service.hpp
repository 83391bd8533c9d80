#pragma once
#include <deque>
#include <set>

#include "simulation/simulated_world.hpp"

namespace limemast::simulation {
/// The key-value store as PROTOCOL describes it: keys, conditional transactions, leases, watches
/// and outages.
class StateService {
 public:
  using Answer = std::function<void(net::HttpResult)>;
  explicit StateService(SimulatedWorld& world, std::size_t log_size = 10'000)
      : world_(world), log_size_(log_size) {}

  void handle(const net::HttpRequest& request, Answer answer);
  void set_outage(bool on);
  std::size_t request_count() const { return request_count_; }
  /// The number of puts and deletes in transactions, executed or not, as the service's limit counts
  /// them.
  std::size_t write_count() const { return write_count_; }
  /// Keys that a transaction wrote without a condition on them. Such a transaction would overwrite
  /// newer values if it were executed late.
  const std::set<std::string>& unconditionally_written_keys() const {
    return unconditionally_written_keys_;
  }
  std::size_t keys() const { return entries_.size(); }
  const json* value(const std::string& key) const {
    auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second.value;
  }
  void for_each_key(
      const std::function<void(const std::string& key, const json& value)>& look) const {
    for (const auto& [key, e] : entries_) look(key, e.value);
  }
  /// A key with its value, for copying between state services.
  struct StoredKey {
    std::string key;
    json value;
    std::uint64_t mod_revision = 0;
    bool leased = false;  ///< removed when its lease expires
  };
  std::vector<StoredKey> content() const;
  std::uint64_t revision() const { return revision_; }
  /// Loads the content of another state service. Must precede all requests. Leased keys expire
  /// after `lease_ttl`, because the holders of their leases no longer exist.
  void restore(const std::vector<StoredKey>& content, std::uint64_t revision, Duration lease_ttl);
  /// Writes and removes a key directly, as another client would.
  void put(const std::string& key, json value) {
    apply(key, std::move(value), 0, ++revision_), notify_watches();
  }
  void remove(const std::string& key) { erase(key, ++revision_), notify_watches(); }

 private:
  struct Entry {
    json value;
    std::uint64_t mod_revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Duration ttl{};
    Time expires_at{};
  };
  struct Watch {
    std::string prefix;
    std::uint64_t from_revision = 0;
    Answer answer;
  };
  struct Event {
    std::string key;
    std::uint64_t mod_revision = 0;
    bool removed = false;
    json value;
  };
  void apply(const std::string& key, json value, std::uint64_t lease, std::uint64_t mod_revision);
  void erase(const std::string& key, std::uint64_t mod_revision);
  void append_to_log(Event event);
  void revoke_lease(std::uint64_t id);
  void check_leases();
  void notify_watches();
  /// Answers the watch if it has changes or its position was compacted; true if it was answered.
  bool answer_watch(const Watch& w, bool even_if_empty);
  void txn(const json& body, const Answer& answer);

  SimulatedWorld& world_;
  std::size_t log_size_;
  std::size_t request_count_ = 0;
  std::size_t write_count_ = 0;
  std::set<std::string> unconditionally_written_keys_;
  bool outage_ = false;
  std::uint64_t revision_ = 0;
  std::uint64_t next_lease_ = 1;
  std::uint64_t next_watch_ = 1;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::map<std::uint64_t, Watch> watches_;
  std::deque<Event> log_;
  std::uint64_t compacted_revision_ = 0;  ///< changes up to this revision are no longer in the log
};
}  // namespace limemast::simulation

#include "store/watch_cache.hpp"

#include <gtest/gtest.h>

#include "simulation/state_service.hpp"

namespace limemast::store {
namespace {
using namespace simulation;
using namespace std::chrono_literals;

/// A runtime in which only the store responds, and whose connection to the store can be cut.
class StoreOnlyRuntime final : public net::Runtime {
 public:
  StoreOnlyRuntime(SimulatedWorld& world, StateService& service)
      : world_(world), service_(service), random_(1) {}
  net::Time now() const override { return world_.now(); }
  net::WallTime wall() const override { return world_.wall(); }
  std::mt19937_64& random() override { return random_; }
  TimerId after(net::Duration delay, std::function<void()> fire) override {
    return world_.after(delay, std::move(fire));
  }
  void cancel(TimerId id) override { world_.cancel(id); }
  void post(std::function<void()> fire) override { world_.after(0s, std::move(fire)); }
  void http(const net::Endpoint&, net::HttpRequest request, net::Duration timeout,
            std::function<void(net::HttpResult)> done) override {
    auto once = std::make_shared<std::function<void(net::HttpResult)>>(std::move(done));
    auto finish = [once](net::HttpResult result) {
      if (*once) std::exchange(*once, nullptr)(std::move(result));
    };
    world_.after(timeout, [finish] { finish({0, true, {}}); });
    if (cut) return;
    ++requests;
    world_.after(kLatency, [this, request, finish] {
      service_.handle(request,
                      [this, finish, latency = answer_latency(request)](net::HttpResult result) {
                        if (!cut) world_.after(latency, [finish, result] { finish(result); });
                      });
    });
  }
  net::Duration busy_time() const override { return {}; }
  void send_peer(const std::string&, const wire::json&) override {}
  bool cut = false;
  net::Duration watch_latency = kLatency;  ///< latency of responses to watch requests
  net::Duration list_latency = kLatency;   ///< latency of responses to list requests
  std::size_t requests = 0;

 private:
  static constexpr net::Duration kLatency = 5ms;
  net::Duration answer_latency(const net::HttpRequest& request) const {
    if (request.path.starts_with("/keys?")) return list_latency;
    const bool waits =
        request.path.starts_with("/changes") && request.path.find("waitMs=0") == std::string::npos;
    return waits ? watch_latency : kLatency;
  }

  SimulatedWorld& world_;
  StateService& service_;
  std::mt19937_64 random_;
};

class WatchCacheTest : public testing::Test {
 protected:
  void SetUp() override {
    settings_.controller_count = 1;
    settings_.store_requests_per_s = 100;
    settings_.store_writes_per_s = 100;
    client_ = std::make_unique<Client>(runtime_, settings_);
    watch_cache_ = std::make_unique<WatchCache>(runtime_, *client_, "w/");
    watch_cache_->start([this](const std::vector<Change>& changes) {
      for (const auto& c : changes) {
        // The reported change must match the cache, because the listener looks up the key.
        EXPECT_EQ(c.removed, watch_cache_->find(c.key) == nullptr) << c.key;
        changes_.push_back(c);
      }
    });
  }
  void run(net::Duration time) {
    for (const auto until = world_.now() + time; world_.step(until);) {
    }
  }
  SimulatedWorld world_{1};
  StateService service_{world_, 20};
  StoreOnlyRuntime runtime_{world_, service_};
  wire::Settings settings_;
  std::unique_ptr<Client> client_;
  std::unique_ptr<WatchCache> watch_cache_;
  std::vector<Change> changes_;
};

TEST_F(WatchCacheTest, FollowsPutsAndDeletes) {
  service_.put("w/a", 1);
  service_.put("other", 1);
  run(1s);
  EXPECT_TRUE(watch_cache_->synced());

  service_.put("w/a", 2);
  service_.put("w/b", 3);
  run(1s);
  service_.remove("w/a");
  run(1s);

  EXPECT_EQ(watch_cache_->find("w/a"), nullptr);
  ASSERT_NE(watch_cache_->find("w/b"), nullptr);
  EXPECT_EQ(watch_cache_->entries().size(), 1U);
}

// Guards against a crash when one response contains both the creation and the deletion of a key.
TEST_F(WatchCacheTest, ReportsOneChangePerKeyAfterAPause) {
  run(1s);

  runtime_.cut = true;
  run(10s);
  service_.put("w/short-lived", 1);
  service_.remove("w/short-lived");
  service_.put("w/back", 1);
  service_.remove("w/back");
  service_.put("w/back", 2);

  runtime_.cut = false;
  changes_.clear();
  run(15s);

  ASSERT_EQ(changes_.size(), 2U);
  EXPECT_EQ(watch_cache_->find("w/short-lived"), nullptr);
  ASSERT_NE(watch_cache_->find("w/back"), nullptr);
  EXPECT_EQ(watch_cache_->find("w/back")->value, 2);
}

// User queries are answered from the cache, so a refresh must make it as recent as a direct read.
TEST_F(WatchCacheTest, RefreshShowsAllEarlierWrites) {
  run(1s);
  runtime_.watch_latency = 2s;
  service_.put("w/a", 1);
  service_.put("elsewhere", 1);

  std::optional<bool> fresh;
  watch_cache_->refresh([&](bool ok) {
    fresh = ok;
    EXPECT_NE(watch_cache_->find("w/a"), nullptr);
  });
  run(50ms);
  EXPECT_EQ(fresh, true);

  runtime_.cut = true;
  watch_cache_->refresh([&](bool ok) { fresh = ok; });
  run(3s);
  EXPECT_EQ(fresh, false);
}

// A delayed watch response contains the put of a key whose deletion a refresh has already shown.
// The key must not reappear.
TEST_F(WatchCacheTest, OlderResponseDoesNotRestoreADeletedKey) {
  run(1s);
  runtime_.watch_latency = 2s;
  service_.put("w/a", 1);
  run(100ms);
  service_.remove("w/a");
  service_.put("w/b", 1);
  watch_cache_->refresh([](bool ok) { EXPECT_TRUE(ok); });
  run(10s);

  EXPECT_EQ(watch_cache_->find("w/a"), nullptr);
  EXPECT_NE(watch_cache_->find("w/b"), nullptr);
}

// Reads for user queries must overtake a burst of submissions that waits for the write rate,
// without slowing down the writes.
TEST_F(WatchCacheTest, ReadsOvertakeQueuedWritesWithoutSlowingThem) {
  run(1s);

  std::size_t written = 0, read = 0;
  for (int i = 0; i < 300; ++i) {
    client_->txn(Priority::UserWrite, {}, {{"x/" + std::to_string(i), json(i)}},
                 [&](TxnResult) { ++written; });
    client_->get(Priority::UserRead, "x/0", [&](GetResult) { ++read; });
  }
  run(1200ms);
  EXPECT_GT(written, 150U);
  run(9s);
  EXPECT_EQ(written, 300U);
  EXPECT_EQ(read, 300U);
}

TEST_F(WatchCacheTest, ListsAgainAfterTheHistoryWasCompacted) {
  service_.put("w/old", 1);
  run(1s);
  runtime_.cut = true;
  run(10s);
  service_.remove("w/old");
  for (int i = 0; i < 50; ++i) service_.put("w/n" + std::to_string(i), i);
  runtime_.cut = false;
  run(15s);

  EXPECT_EQ(watch_cache_->find("w/old"), nullptr);
  EXPECT_EQ(watch_cache_->entries().size(), 50U);
}

// Guards against a listing that is older than a refresh removing a newly accepted job, whose tasks
// were then stopped as if the job had ended.
TEST_F(WatchCacheTest, OlderListingDoesNotRemoveNewerKeys) {
  run(300ms);  // the open watch request ends after one second
  auto elsewhere = [&](int n) {
    for (int i = 0; i < n; ++i) service_.put("elsewhere", i);
  };
  elsewhere(10);
  watch_cache_->refresh([](bool ok) { EXPECT_TRUE(ok); });
  run(20ms);
  runtime_.list_latency = 1s;
  elsewhere(15);  // the open watch request is now behind the history, the last refresh is not
  run(30ms);
  service_.put("w/accepted", 1);
  watch_cache_->refresh([](bool ok) { EXPECT_TRUE(ok); });
  run(20ms);
  ASSERT_NE(watch_cache_->find("w/accepted"), nullptr);

  const auto revision = watch_cache_->revision();
  changes_.clear();
  for (int i = 0; i < 40; ++i) {
    run(100ms);
    ASSERT_NE(watch_cache_->find("w/accepted"), nullptr);
    EXPECT_GE(watch_cache_->revision(), revision);
  }
  EXPECT_TRUE(changes_.empty());

  service_.put("w/later", 1);
  run(3s);
  EXPECT_NE(watch_cache_->find("w/later"), nullptr);
}

// Writes occur between the pages of a listing. A reader that sees one of them must also see all
// earlier ones.
TEST_F(WatchCacheTest, ListingOfSeveralPagesShowsOneRevision) {
  for (int i = 0; i < 700; ++i) service_.put("w/" + std::to_string(1000 + i), 1);
  run(12ms);  // the first page was read and the second is requested
  ASSERT_FALSE(watch_cache_->synced());

  service_.put("w/1001", 2);
  service_.remove("w/1002");
  service_.put("w/1690", 2);
  while (!watch_cache_->synced()) run(1ms);

  ASSERT_NE(watch_cache_->find("w/1690"), nullptr);
  EXPECT_EQ(watch_cache_->find("w/1690")->value, 2);
  EXPECT_EQ(watch_cache_->find("w/1001")->value, 2);
  EXPECT_EQ(watch_cache_->find("w/1002"), nullptr);
}
}  // namespace
}  // namespace limemast::store

// Controllers start with the store content of an earlier version: they know the status of every
// recorded job, and open jobs continue.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "compat/fault_day.hpp"
#include "compat/golden.hpp"
#include "compat/traffic.hpp"
#include "simulation/scenarios.hpp"

namespace limemast::compat {
namespace {
using namespace std::chrono_literals;
using simulation::StateService;

/// A job that was submitted during the recorded day.
struct RecordedJob {
  wire::JobSpec spec;
  bool accepted = false;
  std::string final_status;  ///< the end of which the user was told, or empty
};

class StoreUpgrade : public testing::Test {
 protected:
  StoreUpgrade() {
    spdlog::set_level(spdlog::level::off);
    std::uint64_t revision = 0;
    for (const auto& line : read_lines(std::filesystem::path(COMPAT_GOLDEN) / kStoreFile)) {
      if (line.contains("epoch")) revision = line["epoch"].get<std::uint64_t>();
      if (line.contains("job")) read_job(line);
      if (line.contains("key")) read_key(line);
    }
    day_.cluster().stop_arrivals();
    day_.cluster().state().restore(store_content_, revision, kRemainingLeaseTime);
  }
  void read_job(const ordered_json& line) {
    std::string error;
    const auto spec = wire::parse_submission(json::parse(line.at("spec").dump()), error);
    ASSERT_TRUE(spec) << error;
    jobs_.push_back({*spec, line.at("accepted").get<bool>(), line.at("final").get<std::string>()});
  }
  void read_key(const ordered_json& line) {
    store_content_.push_back(
        {line.at("key").get<std::string>(), json::parse(line.at("value").dump()),
         line.at("stamp").get<std::uint64_t>(), line.at("granted").get<bool>()});
  }
  bool has(const std::string& key) const {
    return std::any_of(store_content_.begin(), store_content_.end(),
                       [&](const auto& entry) { return entry.key == key; });
  }
  /// Queries the status of a job at one controller; the status code is 0 without a response.
  net::HttpResponse query_status(const std::string& uid, std::size_t node) {
    auto out = std::make_shared<net::HttpResponse>();
    out->status = 0;
    day_.cluster().ask(node, {"GET", "/submissions/" + uid, {}},
                       [out](net::HttpResponse r) { *out = std::move(r); });
    day_.cluster().run(1s);
    return *out;
  }
  /// Marks the tasks that the progress records list as complete, because they do not run again.
  void mark_completed_tasks() {
    for (const auto& entry : store_content_) {
      if (!entry.key.starts_with("progress/")) continue;
      for (const auto& part : entry.value) {
        const auto bytes = from_hex(part.at(2).get<std::string>());
        for (std::uint32_t i = 0; i < 8 * bytes.size(); ++i)
          if (bytes[i / 8] >> (i % 8) & 1)
            day_.cluster().invariants().completed(part.at(0).get<std::string>(), i);
      }
    }
  }

  /// Returns the status code of the response.
  int end_drain(const std::string& id) {
    auto status = std::make_shared<int>(0);
    day_.cluster().ask(0, {"DELETE", "/operator/v1/drains/" + id, {}},
                       [status](const net::HttpResponse& r) { *status = r.status; });
    day_.cluster().run(3s);
    return *status;
  }

  static constexpr const char* kJobInDrainedZone = "wk-000009";
  static constexpr auto kRemainingLeaseTime = 10s;  ///< of the earlier controllers' leases
  simulation::SimulatedWorld world_{kStoreSeed};
  FaultDay day_{world_, kStoreSeed, nullptr};
  std::vector<StateService::StoredKey> store_content_;
  std::vector<RecordedJob> jobs_;
};

TEST_F(StoreUpgrade, RecordedStoreHasEveryKindOfRecord) {
  std::set<std::string> prefixes;
  for (const auto& entry : store_content_) prefixes.insert(prefix_of_key(entry.key));
  for (const char* prefix : {"w/generation", "w/leader", "w/catalog", "w/node/", "w/machine/",
                             "w/open/", "w/drain/", "final/", "progress/"})
    EXPECT_TRUE(prefixes.contains(prefix)) << prefix;
}

TEST_F(StoreUpgrade, EveryRecordedJobHasAStatus) {
  day_.cluster().run(40s);
  ASSERT_EQ(day_.cluster().up_controllers(), 3u);
  std::size_t ended = 0, open = 0;
  for (const auto& job : jobs_) {
    const bool in_store = has("w/open/" + job.spec.uid) || has("final/" + job.spec.uid);
    EXPECT_TRUE(in_store || !job.accepted)
        << job.spec.uid << " was accepted but is not in the store";
    const auto answer = query_status(job.spec.uid, ended % 3);
    EXPECT_EQ(answer.status, in_store ? 200 : 404) << job.spec.uid;
    if (answer.status != 200) continue;
    const auto phase = json::parse(answer.body).at("phase").get<std::string>();
    if (has("final/" + job.spec.uid)) {
      EXPECT_TRUE(phase == "done" || phase == "cancelled") << job.spec.uid << ' ' << phase;
      ++ended;
    } else {
      ++open;
    }
    if (!job.final_status.empty()) {
      EXPECT_EQ(phase, job.final_status) << job.spec.uid;
    }
  }
  EXPECT_GT(ended, 5u);
  EXPECT_GT(open, 5u);
}

TEST_F(StoreUpgrade, OpenJobsContinue) {
  std::vector<std::string> arrays, services;
  for (const auto& job : jobs_) {
    if (!has("w/open/" + job.spec.uid)) continue;
    day_.cluster().submit(job.spec);
    (job.spec.service ? services : arrays).push_back(job.spec.uid);
  }
  mark_completed_tasks();
  ASSERT_GT(arrays.size(), 3u);
  ASSERT_GE(services.size(), 1u);
  // The recorded drain remains in effect: a job that requires the drained zone waits for its end.
  constexpr int kMaxRunS = 200;
  std::set<std::string> services_seen_running;
  const auto run_until_finished = [&](int max_s) {
    for (int i = 0; i < max_s && !day_.cluster().unfinished().empty(); ++i) {
      day_.cluster().run(1s);
      for (const auto& [uid, running] : day_.cluster().running()) services_seen_running.insert(uid);
    }
  };
  run_until_finished(kMaxRunS);
  EXPECT_EQ(day_.cluster().unfinished(), std::vector<std::string>{kJobInDrainedZone});
  EXPECT_EQ(end_drain("zone/a"), 200);
  run_until_finished(kMaxRunS);
  EXPECT_EQ(day_.cluster().unfinished(), std::vector<std::string>());
  std::size_t running_or_cancelled = 0;
  for (const auto& uid : services)
    running_or_cancelled +=
        services_seen_running.contains(uid) || day_.cluster().final_phase(uid) == "cancelled";
  EXPECT_EQ(running_or_cancelled, services.size());
  EXPECT_EQ(simulation::violations(day_.cluster().invariants()), "");
}
}  // namespace
}  // namespace limemast::compat

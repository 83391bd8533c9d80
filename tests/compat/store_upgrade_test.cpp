// Controllers start on what those of an earlier version left in the store: every job that stands
// there is answered for, and those that were not over go on.
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

/// A job of the recorded day, and what its user had been told by its end.
struct RecordedJob {
  wire::JobSpec spec;
  bool accepted = false;
  std::string final;
};

class StoreOfAnEarlierVersion : public testing::Test {
 protected:
  StoreOfAnEarlierVersion() {
    spdlog::set_level(spdlog::level::off);
    std::uint64_t revision = 0;
    for (const auto& line : read_lines(std::filesystem::path(COMPAT_GOLDEN) / kStoreFile)) {
      if (line.contains("epoch")) revision = line["epoch"].get<std::uint64_t>();
      if (line.contains("job")) read_job(line);
      if (line.contains("key")) read_key(line);
    }
    day_.cluster().stop_arrivals();
    day_.cluster().state().restore(content_, revision, kLeftLeases);
  }
  void read_job(const ordered_json& line) {
    std::string error;
    const auto spec = wire::parse_submission(json::parse(line.at("spec").dump()), error);
    ASSERT_TRUE(spec) << error;
    jobs_.push_back({*spec, line.at("accepted").get<bool>(), line.at("final").get<std::string>()});
  }
  void read_key(const ordered_json& line) {
    content_.push_back({line.at("key").get<std::string>(), json::parse(line.at("value").dump()),
                        line.at("stamp").get<std::uint64_t>(), line.at("granted").get<bool>()});
  }
  bool has(const std::string& key) const {
    return std::any_of(content_.begin(), content_.end(),
                       [&](const auto& kept) { return kept.key == key; });
  }
  /// What one controller answers about a job.
  net::HttpResponse ask(const std::string& uid, std::size_t node) {
    auto out = std::make_shared<net::HttpResponse>();
    out->status = 0;
    day_.cluster().ask(node, {"GET", "/submissions/" + uid, {}},
                       [out](net::HttpResponse r) { *out = std::move(r); });
    day_.cluster().run(1s);
    return *out;
  }
  /// Tasks that the record of progress calls complete are not run again.
  void take_progress() {
    for (const auto& kept : content_) {
      if (!kept.key.starts_with("progress/")) continue;
      for (const auto& piece : kept.value) {
        const auto bytes = from_hex(piece.at(2).get<std::string>());
        for (std::uint32_t i = 0; i < 8 * bytes.size(); ++i)
          if (bytes[i / 8] >> (i % 8) & 1)
            day_.cluster().invariants().completed(piece.at(0).get<std::string>(), i);
      }
    }
  }

  int end_drain(const std::string& id) {
    auto status = std::make_shared<int>(0);
    day_.cluster().ask(0, {"DELETE", "/operator/v1/drains/" + id, {}},
                       [status](const net::HttpResponse& r) { *status = r.status; });
    day_.cluster().run(3s);
    return *status;
  }

  static constexpr const char* kBoundToDrainedZone = "wk-000009";
  static constexpr auto kLeftLeases = 10s;  ///< what the earlier controllers' leases have left
  simulation::SimulatedWorld world_{kStoreSeed};
  FaultDay day_{world_, kStoreSeed, nullptr};
  std::vector<StateService::StoredKey> content_;
  std::vector<RecordedJob> jobs_;
};

TEST_F(StoreOfAnEarlierVersion, HoldsEveryKindOfRecord) {
  std::set<std::string> prefixes;
  for (const auto& kept : content_) prefixes.insert(prefix_of_key(kept.key));
  for (const char* prefix : {"w/generation", "w/leader", "w/catalog", "w/node/", "w/machine/",
                             "w/open/", "w/drain/", "final/", "progress/"})
    EXPECT_TRUE(prefixes.contains(prefix)) << prefix;
}

TEST_F(StoreOfAnEarlierVersion, EveryJobInItIsAnsweredFor) {
  day_.cluster().run(40s);
  ASSERT_EQ(day_.cluster().up_controllers(), 3u);
  std::size_t over = 0, open = 0;
  for (const auto& job : jobs_) {
    const bool in_store = has("w/open/" + job.spec.uid) || has("final/" + job.spec.uid);
    EXPECT_TRUE(in_store || !job.accepted) << job.spec.uid << " was accepted and is not recorded";
    const auto answer = ask(job.spec.uid, over % 3);
    EXPECT_EQ(answer.status, in_store ? 200 : 404) << job.spec.uid;
    if (answer.status != 200) continue;
    const auto phase = json::parse(answer.body).at("phase").get<std::string>();
    if (has("final/" + job.spec.uid)) {
      EXPECT_TRUE(phase == "done" || phase == "cancelled") << job.spec.uid << ' ' << phase;
      ++over;
    } else {
      ++open;
    }
    if (!job.final.empty()) {
      EXPECT_EQ(phase, job.final) << job.spec.uid;
    }
  }
  EXPECT_GT(over, 5u);
  EXPECT_GT(open, 5u);
}

TEST_F(StoreOfAnEarlierVersion, JobsThatWereOpenGoOn) {
  std::vector<std::string> arrays, services;
  for (const auto& job : jobs_) {
    if (!has("w/open/" + job.spec.uid)) continue;
    day_.cluster().submit(job.spec);
    (job.spec.service ? services : arrays).push_back(job.spec.uid);
  }
  take_progress();
  ASSERT_GT(arrays.size(), 3u);
  ASSERT_GE(services.size(), 1u);
  // The drain that stands in the store holds: who is bound to that zone waits for its end.
  std::set<std::string> services_seen;
  const auto run = [&](int most_s) {
    for (int i = 0; i < most_s && !day_.cluster().unfinished().empty(); ++i) {
      day_.cluster().run(1s);
      for (const auto& [uid, running] : day_.cluster().running()) services_seen.insert(uid);
    }
  };
  run(200);
  EXPECT_EQ(day_.cluster().unfinished(), std::vector<std::string>{kBoundToDrainedZone});
  EXPECT_EQ(end_drain("zone/a"), 200);
  run(200);
  EXPECT_EQ(day_.cluster().unfinished(), std::vector<std::string>());
  std::size_t going_on = 0;
  for (const auto& uid : services)
    going_on += services_seen.contains(uid) || day_.cluster().final_phase(uid) == "cancelled";
  EXPECT_EQ(going_on, services.size());
  EXPECT_EQ(simulation::violations(day_.cluster().invariants()), "");
}
}  // namespace
}  // namespace limemast::compat

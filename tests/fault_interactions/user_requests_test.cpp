// What users are told when they ask, cancel and resubmit at the worst moments, and when they are
// wrong.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
class ConcurrentStatusQueries : public FaultInteraction {};

// Users ask at all controllers within milliseconds, again and again, and repeat the submission,
// right after a job was accepted, ended or confirmed as cancelled; some cancel at once. No
// controller answers something older, whatever else happens.
TEST_P(ConcurrentStatusQueries, AreAnsweredInOrderByAllControllers) {
  cluster_.query_concurrently(400s, 0.3);
  cluster_.cancel_at_end(0.5, 400s);
  std::vector<std::string> all;
  for (int round = 0; round < 6; ++round) {
    for (auto& uid : arrays(6, 2, s(3, 15))) all.push_back(uid);
    const auto doomed = services(3, 2);
    cluster_.run(seconds(s(1, 6)));
    switch ((round + GetParam()) % 6) {
      case 0:
        cluster_.crash(leader(), seconds(s(0.02, 3)));
        break;
      case 1:
        cluster_.reject_at_store(leader(), 8s);
        break;
      case 2:
        cluster_.slow_state_service(seconds(s(0.1, 0.8)), 10s);
        break;
      case 3: {
        const auto node = world_.below(2) ? leader() : world_.below(3);
        for (auto side : {Side::State, Side::Peers})
          cluster_.cut(node, side, world_.chance(0.5), 18s);
        break;
      }
      case 4:
        cluster_.freeze(world_.below(3), seconds(s(1, 5)));
        break;
      default:
        break;
    }
    cluster_.run(seconds(s(0, 2)));
    cancel(doomed);
    cluster_.run(seconds(s(4, 10)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  const auto over = [&](const auto& uid) { return !cluster_.final_phase(uid).empty(); };
  EXPECT_LT(until(150s, [&] { return std::all_of(all.begin(), all.end(), over); }), 150s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConcurrentStatusQueries, testing::Range<std::uint64_t>(1, 7));

class CancelAtJobEnd : public FaultInteraction {};

// A cancellation, a question or a repeated submission meets the end of a job's last task, with no
// other trouble: each job has one end, told alike by all.
TEST_P(CancelAtJobEnd, HasOneOutcomeForAll) {
  cluster_.cancel_at_end(0.6, 200s);
  cluster_.query_concurrently(200s);
  std::vector<std::string> jobs;
  for (int i = 0; i < 40; ++i) {
    for (auto& uid : arrays(1, 1 + static_cast<std::uint32_t>(world_.below(3)), s(2, 10)))
      jobs.push_back(uid);
    cluster_.run(seconds(s(0.3, 1.5)));
    for (std::size_t n = 0; n < 3; ++n)
      cluster_.query_status(jobs[world_.below(jobs.size())], n),
          cluster_.resubmit(jobs[world_.below(jobs.size())], n);
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(until(60s,
                  [&] {
                    return std::all_of(jobs.begin(), jobs.end(), [&](const auto& uid) {
                      return !cluster_.final_phase(uid).empty();
                    });
                  }),
            60s);
  EXPECT_LT(cluster_.longest_cancellation(), 3s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelAtJobEnd, testing::Range<std::uint64_t>(1, 7));

/// What users send that is wrong.
class InvalidRequests : public FaultInteraction {
 protected:
  int answer(std::size_t node, const std::string& method, const std::string& path,
             const std::string& body) {
    int status = 0;
    cluster_.ask(node, {method, path, body},
                 [&](const net::HttpResponse& r) { status = r.status; });
    cluster_.run(2s);
    return status;
  }
  int submitted(std::size_t node, const wire::JobSpec& spec) {
    return answer(node, "POST", "/submissions", wire::to_json(spec).dump());
  }
};

// Each reason for which a job can never run, at every controller; and a job that is known is
// refused at none, whatever it knows of types by then.
TEST_P(InvalidRequests, AreRejectedWithTheRightStatus) {
  const auto good = plain(cluster_, false, 2, "red", 58);
  const std::pair<const char*, std::function<void(wire::JobSpec&)>> never[] = {
      {"unknown team", [](auto& s) { s.team = "green"; }},
      {"larger than any machine", [](auto& s) { s.cpus = 17; }},
      {"more memory than any machine", [](auto& s) { s.ram_gb = 65; }},
      {"accelerators that none has", [](auto& s) { s.accelerators = 1; }},
      {"a type that does not exist", [](auto& s) { s.types = std::vector<std::string>{"huge"}; }},
      {"no type at all", [](auto& s) { s.types = std::vector<std::string>{}; }},
      {"a zone that does not exist", [](auto& s) { s.zone = "z"; }},
      {"a service over its team's limit", [](auto& s) { s.service = true, s.tasks = 400; }},
  };
  for (const auto& [what, spoil] : never)
    for (std::size_t node = 0; node < 3; ++node) {
      auto spec = plain(cluster_, false, 2, "red", 58);
      spoil(spec);
      EXPECT_EQ(submitted(node, spec), 422) << what;
      EXPECT_EQ(answer(node, "GET", "/submissions/" + spec.uid, ""), 404) << what;
      EXPECT_EQ(answer(node, "POST", "/submissions/" + spec.uid + "/abort", ""), 404) << what;
    }
  for (std::size_t node = 0; node < 3; ++node) {
    EXPECT_EQ(answer(node, "POST", "/submissions", "{"), 400);
    EXPECT_EQ(answer(node, "POST", "/submissions", "[]"), 400);
  }
  cluster_.submit(good);
  cluster_.run(3s);
  // The types of which the cloud told once are gone.
  cluster_.state().put(cluster::keys::kCatalog,
                       {{"flavors", json::array({{{"name", "tiny"},
                                                  {"cpus", 1},
                                                  {"accelerators", 0},
                                                  {"ramGb", 1},
                                                  {"localGb", 1},
                                                  {"fetchGbPerS", 1},
                                                  {"hourly", 1},
                                                  {"lowPrice", 1},
                                                  {"readyS", 1},
                                                  {"districts", {"a"}}}})}});
  cluster_.run(2s);
  auto fresh = plain(cluster_, false, 2, "red", 58);
  for (std::size_t node = 0; node < 3; ++node) {
    EXPECT_EQ(submitted(node, fresh), 422);
    EXPECT_EQ(submitted(node, good), 200);
  }
  cluster_.cancel(good.uid);
  cluster_.run(5s);
  for (std::size_t node = 0; node < 3; ++node) {
    EXPECT_EQ(submitted(node, good), 200);
    EXPECT_EQ(answer(node, "POST", "/submissions/" + good.uid + "/abort", ""), 200);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, InvalidRequests, testing::Range<std::uint64_t>(1, 3));

/// The rates of the smallest deployment.
class SmallJobsAtHighRate : public FaultInteraction {
 protected:
  static wire::Settings small() {
    auto s = settings();
    s.store_requests_per_s = 80;
    s.store_writes_per_s = 30;
    return s;
  }
  SmallJobsAtHighRate() : FaultInteraction(small()) {}
};

// One-task jobs, four a second for three minutes, a quarter of them cancelled: all are accepted or
// turned away at once, none waits behind newer ones without bound, and what it costs is counted.
TEST_P(SmallJobsAtHighRate, AreAcceptedAndDoneAtBoundedCost) {
  constexpr int kJobs = 720;
  std::vector<std::string> kept, doomed;
  const auto handled = cluster_.state().request_count();
  const auto written = cluster_.state().write_count();
  for (int i = 0; i < kJobs; ++i) {
    const auto uid = submit(cluster_, plain(cluster_, false, 1, i % 2 ? "red" : "blue", s(2, 8)));
    (i % 4 == 0 ? doomed : kept).push_back(uid);
    if (i % 4 == 0) world_.after(seconds(s(0.05, 5)), [this, uid] { cluster_.cancel(uid); });
    cluster_.run(250ms);
    if (i == 300) cluster_.crash(world_.below(3), seconds(s(0.02, 3)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(until(60s, [&] { return all_done(kept); }), 60s);
  for (const auto& uid : doomed) EXPECT_FALSE(cluster_.final_phase(uid).empty()) << uid;
  // One write for the acceptance, two for the end; the rest are machines, progress and the run that
  // ended.
  EXPECT_LT(static_cast<double>(cluster_.state().write_count() - written) / kJobs, 3.3);
  // Each change also answers the watches of three controllers, once a second a renewal and a watch
  // for each come in addition.
  EXPECT_LT(static_cast<double>(cluster_.state().request_count() - handled) / kJobs, 12.5);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SmallJobsAtHighRate, testing::Range<std::uint64_t>(1, 4));
}  // namespace
}  // namespace limemast

// Responses to status queries, cancellations, resubmissions and invalid requests, also while faults
// occur.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
class ConcurrentStatusQueries : public FaultInteraction {};

// Users query all controllers and resubmit within milliseconds after a job was accepted, finished
// or confirmed as cancelled, and some cancel at once. No controller may answer with an older state.
TEST_P(ConcurrentStatusQueries, NeverReturnAnOlderState) {
  cluster_.query_concurrently(400s, 0.3);
  cluster_.cancel_at_end(0.5, 400s);
  std::vector<std::string> all;
  for (int round = 0; round < 6; ++round) {
    for (auto& uid : submit_arrays(6, 2, uniform(3, 15))) all.push_back(uid);
    const auto to_cancel = submit_services(3, 2);
    cluster_.run(seconds(uniform(1, 6)));
    switch ((round + GetParam()) % 6) {
      case 0:
        cluster_.crash(leader(), seconds(uniform(0.02, 3)));
        break;
      case 1:
        cluster_.reject_at_store(leader(), 8s);
        break;
      case 2:
        cluster_.slow_state_service(seconds(uniform(0.1, 0.8)), 10s);
        break;
      case 3: {
        const auto controller = world_.below(2) ? leader() : world_.below(3);
        for (auto side : {Side::State, Side::Peers})
          cluster_.cut(controller, side, world_.chance(0.5), 18s);
        break;
      }
      case 4: {
        const auto freeze_time = seconds(uniform(1, 5));
        cluster_.freeze(world_.below(3), freeze_time);
        break;
      }
      default:
        break;
    }
    cluster_.run(seconds(uniform(0, 2)));
    cancel(to_cancel);
    cluster_.run(seconds(uniform(4, 10)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(run_until(150s, [&] { return all_ended(all); }), 150s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConcurrentStatusQueries, testing::Range<std::uint64_t>(1, 7));

class CancelAtJobEnd : public FaultInteraction {};

// A cancellation, status query or resubmission coincides with the completion of a job's last task.
// All controllers must report the same outcome for the job.
TEST_P(CancelAtJobEnd, HasTheSameOutcomeAtAllControllers) {
  cluster_.cancel_at_end(0.6, 200s);
  cluster_.query_concurrently(200s);
  std::vector<std::string> jobs;
  for (int i = 0; i < 40; ++i) {
    const auto estimate_s = uniform(2, 10);
    const auto tasks = 1 + static_cast<std::uint32_t>(world_.below(3));
    for (auto& uid : submit_arrays(1, tasks, estimate_s)) jobs.push_back(uid);
    cluster_.run(seconds(uniform(0.3, 1.5)));
    for (std::size_t controller = 0; controller < 3; ++controller)
      cluster_.query_status(jobs[world_.below(jobs.size())], controller),
          cluster_.resubmit(jobs[world_.below(jobs.size())], controller);
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(run_until(60s,
                      [&] {
                        return std::all_of(jobs.begin(), jobs.end(), [&](const auto& uid) {
                          return !cluster_.final_phase(uid).empty();
                        });
                      }),
            60s);
  EXPECT_LT(cluster_.longest_cancellation(), 3s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelAtJobEnd, testing::Range<std::uint64_t>(1, 7));

/// Requests that users send with invalid contents.
class InvalidRequests : public FaultInteraction {
 protected:
  int response_status(std::size_t controller, const std::string& method, const std::string& path,
                      const std::string& body) {
    int status = 0;
    cluster_.ask(controller, {method, path, body},
                 [&](const net::HttpResponse& r) { status = r.status; });
    cluster_.run(2s);
    return status;
  }
  int submission_status(std::size_t controller, const wire::JobSpec& spec) {
    return response_status(controller, "POST", "/submissions", wire::to_json(spec).dump());
  }
};

// Every controller rejects a job that can never run, and accepts the resubmission of a known job
// even if its machine type is no longer in the catalog.
TEST_P(InvalidRequests, AreRejectedWithTheRightStatus) {
  const auto known_job = plain(cluster_, false, 2, "red", 58);
  const std::pair<const char*, std::function<void(wire::JobSpec&)>> rejected[] = {
      {"unknown team", [](auto& spec) { spec.team = "green"; }},
      {"larger than any machine", [](auto& spec) { spec.cpus = 17; }},
      {"more memory than any machine", [](auto& spec) { spec.ram_gb = 65; }},
      {"accelerators that no machine has", [](auto& spec) { spec.accelerators = 1; }},
      {"a type that does not exist",
       [](auto& spec) { spec.types = std::vector<std::string>{"huge"}; }},
      {"no type at all", [](auto& spec) { spec.types = std::vector<std::string>{}; }},
      {"a zone that does not exist", [](auto& spec) { spec.zone = "z"; }},
      {"a service over its team's quota limit",
       [](auto& spec) { spec.service = true, spec.tasks = 400; }},
  };
  for (const auto& [what, invalidate] : rejected)
    for (std::size_t controller = 0; controller < 3; ++controller) {
      auto spec = plain(cluster_, false, 2, "red", 58);
      invalidate(spec);
      EXPECT_EQ(submission_status(controller, spec), 422) << what;
      EXPECT_EQ(response_status(controller, "GET", "/submissions/" + spec.uid, ""), 404) << what;
      EXPECT_EQ(response_status(controller, "POST", "/submissions/" + spec.uid + "/abort", ""), 404)
          << what;
    }
  for (std::size_t controller = 0; controller < 3; ++controller) {
    EXPECT_EQ(response_status(controller, "POST", "/submissions", "{"), 400);
    EXPECT_EQ(response_status(controller, "POST", "/submissions", "[]"), 400);
  }
  cluster_.submit(known_job);
  cluster_.run(3s);
  // The cloud's catalog no longer offers the previous machine types.
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
  auto new_job = plain(cluster_, false, 2, "red", 58);
  for (std::size_t controller = 0; controller < 3; ++controller) {
    EXPECT_EQ(submission_status(controller, new_job), 422);
    EXPECT_EQ(submission_status(controller, known_job), 200);
  }
  cluster_.cancel(known_job.uid);
  cluster_.run(5s);
  for (std::size_t controller = 0; controller < 3; ++controller) {
    EXPECT_EQ(submission_status(controller, known_job), 200);
    EXPECT_EQ(response_status(controller, "POST", "/submissions/" + known_job.uid + "/abort", ""),
              200);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, InvalidRequests, testing::Range<std::uint64_t>(1, 3));

/// The store request rates of the smallest deployment.
class SmallJobsAtHighRate : public FaultInteraction {
 protected:
  static wire::Settings smallest_store_rates() {
    auto settings = default_settings();
    settings.store_requests_per_s = 80;
    settings.store_writes_per_s = 30;
    return settings;
  }
  SmallJobsAtHighRate() : FaultInteraction(smallest_store_rates()) {}
};

// Four one-task jobs are submitted per second for three minutes and a quarter of them cancelled.
// All must end in time, with a bounded number of store requests per job.
TEST_P(SmallJobsAtHighRate, AreCompletedAtBoundedStoreLoad) {
  constexpr int kJobs = 720;
  std::vector<std::string> uncancelled, to_cancel;
  const auto handled_before = cluster_.state().request_count();
  const auto written_before = cluster_.state().write_count();
  for (int i = 0; i < kJobs; ++i) {
    const auto uid =
        submit(cluster_, plain(cluster_, false, 1, i % 2 ? "red" : "blue", uniform(2, 8)));
    (i % 4 == 0 ? to_cancel : uncancelled).push_back(uid);
    if (i % 4 == 0) world_.after(seconds(uniform(0.05, 5)), [this, uid] { cluster_.cancel(uid); });
    cluster_.run(250ms);
    if (i == 300) {
      const auto restart_after = seconds(uniform(0.02, 3));
      cluster_.crash(world_.below(3), restart_after);
    }
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(run_until(60s, [&] { return all_done(uncancelled); }), 60s);
  for (const auto& uid : to_cancel) EXPECT_FALSE(cluster_.final_phase(uid).empty()) << uid;
  // One write for the acceptance and two for the completion; the remainder covers machines,
  // progress records and the controller restart.
  EXPECT_LT(static_cast<double>(cluster_.state().write_count() - written_before) / kJobs, 3.3);
  // Each change also answers the watches of three controllers; each controller additionally sends
  // one keep-alive and one watch request per second.
  EXPECT_LT(static_cast<double>(cluster_.state().request_count() - handled_before) / kJobs, 12.5);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SmallJobsAtHighRate, testing::Range<std::uint64_t>(1, 4));
}  // namespace
}  // namespace limemast

#include "machines/registry.hpp"

#include <gtest/gtest.h>

#include "simulation/simulated_cluster.hpp"

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;

const cluster::ControllerId kController("node-0", 1);

class RegistryTest : public testing::Test {
 protected:
  void SetUp() override {
    wire::MachineType type;
    type.name = "small";
    type.cpus = 8;
    type.ram_gb = 16;
    registry_.set_types({type});
  }
  /// Adds the job to the job directory; each of its tasks takes 2 CPUs and 1 GB.
  void put_job(const std::string& uid, bool is_long) {
    wire::JobSpec spec;
    spec.uid = uid;
    spec.team = "red";
    spec.workload = "w";
    spec.image = "img";
    spec.tasks = 100;
    spec.cpus = 2;
    spec.ram_gb = 1;
    job_directory_.upsert(
        uid, {cluster::JobDirectory::record(spec, kController, ids::EpochNumber(1), is_long, {}),
              store::Revision(1)});
  }
  simulation::SimulatedWorld world_{1};
  wire::Settings settings_ = simulation::settings_for_tests();
  /// A runtime that does nothing: there are no other members, and no timer fires.
  struct Runtime final : net::Runtime {
    net::Time now() const override { return {}; }
    net::WallTime wall() const override { return {}; }
    std::mt19937_64& random() override { return random_; }
    TimerId after(net::Duration, std::function<void()>) override { return 0; }
    void cancel(TimerId) override {}
    void post(std::function<void()>) override {}
    void http(const net::Endpoint&, net::HttpRequest, net::Duration,
              std::function<void(net::HttpResult)>) override {}
    net::Duration busy_time() const override { return {}; }
    void send_peer(const std::string&, const wire::json&) override {}
    std::mt19937_64 random_{1};
  } runtime_;
  store::Client client_{runtime_, settings_};
  store::WatchCache watch_cache_{runtime_, client_, "w/"};
  cluster::Membership membership_{runtime_, settings_, client_, watch_cache_};
  cluster::JobDirectory job_directory_{membership_};
  Registry registry_{job_directory_};
};

/// Applies random heartbeats of machines with tasks of twelve jobs, some of which are unknown at
/// first, and recomputes the registry's figures from all newest heartbeats.
class RegistryRandomHistoryTest : public RegistryTest {
 protected:
  static constexpr unsigned kJobs = 12;
  static std::string uid_of(std::uint64_t job) { return "wk-00000" + std::to_string(100 + job); }

  wire::Heartbeat random_heartbeat(int step) {
    auto& random = world_.random;
    wire::Heartbeat heartbeat;
    heartbeat.machine = "m" + std::to_string(step / 100 * 10 + static_cast<int>(random() % 20));
    if (registry_.removed(heartbeat.machine)) return heartbeat;
    heartbeat.type = heartbeat.machine.back() == '7' ? "strange" : "small";
    heartbeat.zone = "a";
    heartbeat.sequence = ++sequences_[heartbeat.machine];
    for (auto count = random() % 4; count > 0; --count)
      heartbeat.tasks.push_back(
          {uid_of(random() % kJobs), static_cast<std::uint32_t>(random() % 100), random() % 3,
           static_cast<wire::TaskPhase>(random() % 5), wire::ExitCause::None});
    return heartbeat;
  }

  void expect_recomputed_resources(const std::string& machine, const MachineStatus& status) {
    const bool type_known = status.heartbeat.type == "small";
    Resources free = type_known ? Resources{8, 16, 0} : Resources{};
    bool has_long_tasks = false;
    bool unknown = !type_known;
    for (const auto& task : status.heartbeat.tasks) {
      if (task.exited()) continue;
      const auto* job = job_directory_.find(task.uid);
      unknown = unknown || !job;
      if (!job) continue;
      free -= Resources::of(job->spec);
      has_long_tasks = has_long_tasks || job->is_long;
    }
    if (unknown) free = {};
    EXPECT_DOUBLE_EQ(registry_.free_resources(status).cpus, free.cpus) << machine;
    EXPECT_DOUBLE_EQ(registry_.free_resources(status).ram_gb, free.ram_gb) << machine;
    EXPECT_EQ(registry_.has_long_tasks(status), has_long_tasks && type_known) << machine;
  }

  void expect_recomputed_running_counts() {
    std::map<std::string, std::uint32_t> running;
    for (const auto& [machine, status] : registry_.machine_statuses())
      for (const auto& task : status.heartbeat.tasks)
        running[task.uid] += task.phase == wire::TaskPhase::Running;
    for (unsigned job = 0; job < kJobs; ++job)
      EXPECT_EQ(registry_.running_tasks(uid_of(job)), running[uid_of(job)]) << uid_of(job);
  }

  std::map<std::string, std::uint64_t> sequences_;
};

TEST_F(RegistryRandomHistoryTest, IncrementalFiguresEqualRecomputedFigures) {
  unsigned known_jobs = 0;
  for (int step = 0; step < 2000; ++step) {
    SCOPED_TRACE("step " + std::to_string(step));
    if (known_jobs < kJobs && step % 40 == 0) {
      put_job(uid_of(known_jobs), known_jobs % 3 == 0);
      ++known_jobs;
    }
    const auto heartbeat = random_heartbeat(step);
    if (registry_.removed(heartbeat.machine)) continue;

    ASSERT_TRUE(registry_.update(heartbeat, kController, world_.now()));
    if (world_.random() % 50 == 0) registry_.remove(heartbeat.machine);

    for (const auto& [machine, status] : registry_.machine_statuses())
      expect_recomputed_resources(machine, status);
    expect_recomputed_running_counts();
    if (HasFailure()) return;
  }
}

// Two records may name a machine that was attached to two controllers in turn.
TEST_F(RegistryTest, MachineIsUnregisteredWithItsLastRecord) {
  EXPECT_TRUE(
      registry_.apply_registration_record("w/machine/a", {{"m1", false}, {"m2", true}}).empty());
  EXPECT_TRUE(
      registry_.apply_registration_record("w/machine/b", {{"m2", true}, {"m3", false}}).empty());
  EXPECT_EQ(registry_.apply_registration_record("w/machine/a", {}), std::vector<std::string>{"m1"});
  ASSERT_TRUE(registry_.registered("m2"));
  EXPECT_TRUE(registry_.registrations().at("m2").spot);
  EXPECT_FALSE(registry_.registrations().at("m3").spot);
  EXPECT_EQ(registry_.records_of("m2").size(), 1u);
  EXPECT_EQ(registry_.apply_registration_record("w/machine/b", {{"m3", false}}),
            std::vector<std::string>{"m2"});
  EXPECT_FALSE(registry_.registered("m2"));
  EXPECT_TRUE(registry_.registered("m3"));
}
}  // namespace
}  // namespace limemast::machines

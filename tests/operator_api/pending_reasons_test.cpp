// One scenario per pending reason: the job reports the reason while it waits, and starts once the
// reason no longer applies.
#include "operator_api/console_cluster.hpp"

namespace limemast {
namespace {
using namespace simulation;

/// Seeds with which the cloud starts machines in the zones that the scenarios need, such as a spare
/// machine in the drained zone.
constexpr std::uint64_t kSeed = 21;
constexpr std::uint64_t kDrainSeed = 26;

class PendingReasonTest : public OperatedCluster {
 protected:
  explicit PendingReasonTest(std::uint64_t seed = kSeed) : OperatedCluster(seed) {}
  explicit PendingReasonTest(wire::Settings settings)
      : OperatedCluster(kSeed, std::move(settings)) {}
  json job_view(const std::string& uid, std::size_t node = 0) {
    return SimApi(cluster_, node).get("jobs/" + uid);
  }
  std::string cause(const std::string& uid, std::size_t node = 0) {
    const auto j = job_view(uid, node);
    return j.is_object() ? j.value("cause", "") : "(none)";
  }
  /// Runs until the job reports this cause; false if it does not within `patience`.
  bool waits_for_cause(const std::string& uid, const std::string& wanted, Duration patience = 60s) {
    for (const auto end = world_.now() + patience; world_.now() < end; cluster_.run(200ms))
      if ((last_cause_ = cause(uid)) == wanted) return true;
    return false;
  }
  bool keeps_cause(const std::string& uid, const std::string& wanted, Duration time) {
    for (const auto end = world_.now() + time; world_.now() < end; cluster_.run(500ms))
      if ((last_cause_ = cause(uid)) != wanted) return false;
    return true;
  }
  unsigned running(const std::string& uid) {
    const auto j = job_view(uid);
    return j.is_object() ? j.value("running", 0u) : 0;
  }
  bool starts_running(const std::string& uid, Duration patience = 60s) {
    for (const auto end = world_.now() + patience; world_.now() < end; cluster_.run(200ms)) {
      const auto j = job_view(uid);
      if (!j.is_object() || j.value("running", 0) > 0) return true;
    }
    return false;
  }
  void cancel(const std::string& uid) {
    int status = 0;
    cluster_.invariants().asked_to_cancel(uid);
    for (int i = 0; i < 20 && status != 200; ++i) {
      cluster_.ask(0, {"POST", "/submissions/" + uid + "/abort", {}},
                   [&](net::HttpResponse r) { status = r.status; });
      cluster_.run(500ms);
    }
    EXPECT_EQ(status, 200);
  }
  std::string last_cause_;
};

TEST_F(PendingReasonTest, NoMachineThenBootingThenImage) {
  const auto s = service(1, 4, "c");
  cluster_.run(40s);  // the machines of the first job are returned
  cluster_.cloud_outage(30s);
  cluster_.submit(s);
  ASSERT_TRUE(waits_for_cause(s.uid, "no_machine")) << last_cause_;
  EXPECT_TRUE(keeps_cause(s.uid, "no_machine", 15s)) << last_cause_;
  ASSERT_TRUE(waits_for_cause(s.uid, "booting")) << last_cause_;
  EXPECT_GE(job_view(s.uid).value("expectedInS", -1.0), 0);
  ASSERT_TRUE(waits_for_cause(s.uid, "image")) << last_cause_;
  EXPECT_TRUE(starts_running(s.uid));
  EXPECT_FALSE(job_view(s.uid).contains("cause"));
}

class NoShortPartitionTest : public PendingReasonTest {
 protected:
  static wire::Settings settings_without_short_partition() {
    auto s = settings_with_operators();
    s.tuning.short_share = 0;
    return s;
  }
  NoShortPartitionTest() : PendingReasonTest(settings_without_short_partition()) {}
};
TEST_F(NoShortPartitionTest, NoCapacityAndHigherRank) {
  // A service occupies all four small machines of zone a; two arrays of equal rank wait for them.
  const auto holder = service(4, 8, "a");
  auto first = job(1, 8);
  auto second = first;
  second.uid = cluster_.random_job().uid;
  for (auto* s : {&first, &second}) s->zone = "a";
  auto held = holder;
  held.types = {"small"};
  first.types = second.types = {"small"};
  cluster_.submit(held);
  ASSERT_TRUE(starts_running(held.uid));
  cluster_.run(30s);
  cluster_.submit(first);
  ASSERT_TRUE(waits_for_cause(first.uid, "higher_rank")) << last_cause_;
  EXPECT_TRUE(keeps_cause(first.uid, "higher_rank", 5s)) << last_cause_;
  cancel(held.uid);
  EXPECT_TRUE(starts_running(first.uid));

  auto filler = first;
  filler.uid = cluster_.random_job().uid;
  filler.tasks = 3;
  cluster_.submit(filler);
  ASSERT_TRUE(starts_running(filler.uid));
  cluster_.run(20s);
  cluster_.submit(second);
  ASSERT_TRUE(waits_for_cause(second.uid, "room")) << last_cause_;
  EXPECT_EQ(job_view(second.uid).value("place", 0), job_view(second.uid).value("of", -1))
      << "the last job of the queue";
  EXPECT_EQ(job_view(second.uid).value("line", ""), "placement");
  cancel(filler.uid);
  EXPECT_TRUE(starts_running(second.uid));
}

TEST_F(PendingReasonTest, ShortPart) {
  // The only machine with capacity is reserved for short jobs until a spot machine replaces it.
  auto held = service(3, 8, "a");
  auto s = service(1, 8, "a");
  held.types = s.types = {"small"};
  cluster_.submit(held);
  ASSERT_TRUE(starts_running(held.uid));
  cluster_.run(40s);
  cluster_.submit(s);
  ASSERT_TRUE(waits_for_cause(s.uid, "short_part")) << last_cause_;
  EXPECT_TRUE(keeps_cause(s.uid, "short_part", 10s)) << last_cause_;
  auto spot = job(16, 4);
  spot.spot = true;
  spot.estimate = wire::Seconds(30);
  cluster_.submit(spot);
  EXPECT_TRUE(starts_running(s.uid)) << cause(s.uid);
}

class LimitedTeamTest : public PendingReasonTest {
 protected:
  static wire::Settings settings_with_team_limit() {
    auto s = settings_with_operators();
    s.teams["red"] = {40, 60, 0, 0};
    return s;
  }
  LimitedTeamTest() : PendingReasonTest(settings_with_team_limit()) {}
};
TEST_F(LimitedTeamTest, TeamLimit) {
  const auto held = service(15, 4, "");
  cluster_.submit(held);
  ASSERT_TRUE(starts_running(held.uid));
  cluster_.run(40s);
  const auto s = service(1, 4, "");
  cluster_.submit(s);
  ASSERT_TRUE(waits_for_cause(s.uid, "team_limit")) << last_cause_;
  EXPECT_TRUE(keeps_cause(s.uid, "team_limit", 10s)) << last_cause_;
  cancel(held.uid);
  EXPECT_TRUE(starts_running(s.uid));
}

TEST_F(NoShortPartitionTest, OthersGuarantee) {
  // All spot machines of zone a are in use. The ordinary machine there is reserved for services of
  // the team with the guarantee, so the guest team's job must not use it.
  cluster_.run(80s);  // the machines of the first job are returned
  auto spot = job(24, 4);
  spot.spot = true;
  spot.zone = "a";
  cluster_.submit(spot);
  for (int i = 0; i < 60 && running(spot.uid) < 24; ++i) cluster_.run(1s);
  auto empty_in_a = [&] {
    bool out = false;
    const auto all = SimApi(cluster_, 0).get("machines");
    for (const auto& m : all.at("machines"))
      out =
          out || (m.value("zone", "") == "a" && !m.value("spot", true) && m.value("tasks", 1) == 0);
    return out;
  };
  // A service makes the autoscaler launch spare machines in all zones. The service itself must not
  // occupy the machine in zone a.
  for (int i = 0; i < 8 && !empty_in_a(); ++i) {
    const auto small = service(1, 2, "");
    cluster_.submit(small);
    ASSERT_TRUE(starts_running(small.uid));
    cluster_.run(30s);
    if (!empty_in_a()) cancel(small.uid);
  }
  ASSERT_TRUE(empty_in_a());
  auto guest = job(1, 4);
  guest.team = "blue";
  guest.spot = true;
  guest.zone = "a";
  cluster_.submit(guest);
  ASSERT_TRUE(waits_for_cause(guest.uid, "others_guarantee")) << last_cause_;
  cancel(spot.uid);
  EXPECT_TRUE(starts_running(guest.uid));
}

TEST_F(PendingReasonTest, ZoneRule) {
  // Only zone b has free capacity, beside a service, but the array must stay in the zone of its
  // first tasks.
  auto s = job(10, 4);
  s.one_zone = true;
  s.types = {"small"};
  auto beside = service(1, 2, "b");
  beside.types = {"small"};
  cluster_.submit(beside);
  ASSERT_TRUE(starts_running(beside.uid));
  cluster_.submit(s);
  ASSERT_TRUE(waits_for_cause(s.uid, "zone_rule", 120s)) << last_cause_;
  // When its own tasks end, capacity becomes free in that zone.
  for (int i = 0; i < 200 && cluster_.unfinished().size() > 0; ++i) cluster_.run(5s);
  EXPECT_TRUE(cluster_.unfinished().empty());
}

class PendingReasonDrainTest : public PendingReasonTest {
 protected:
  PendingReasonDrainTest() : PendingReasonTest(kDrainSeed) {}
};

TEST_F(PendingReasonDrainTest, DrainUntilItEnds) {
  const auto held = service(1, 2, "a");
  cluster_.submit(held);
  ASSERT_TRUE(starts_running(held.uid));
  SimApi api(cluster_, 1);
  EXPECT_EQ(api.send("PUT", "drains/zone/a", R"({"note":"new switch"})"), 201);
  cluster_.run(2s);
  const auto s = service(1, 2, "a");
  cluster_.submit(s);
  ASSERT_TRUE(waits_for_cause(s.uid, "drain")) << last_cause_;
  EXPECT_TRUE(keeps_cause(s.uid, "drain", 10s)) << last_cause_;
  EXPECT_EQ(api.send("DELETE", "drains/zone/a"), 200);
  EXPECT_TRUE(starts_running(s.uid));
}

TEST_F(PendingReasonTest, BackingOffAfterFailures) {
  auto s = job(6, 4);
  s.estimate = wire::Seconds(10);
  // For 40 s every machine fails the tasks that it starts.
  const auto held = service(6, 2, "");
  cluster_.submit(held);
  ASSERT_TRUE(starts_running(held.uid));
  cluster_.run(30s);
  for (int i = 0; i < 200; ++i) cluster_.make_machine_faulty(40s);
  cluster_.submit(s);
  ASSERT_TRUE(waits_for_cause(s.uid, "backing_off")) << last_cause_;
  cluster_.run(40s);
  for (int i = 0; i < 100 && !cluster_.unfinished().empty(); ++i) cluster_.run(5s);
  EXPECT_TRUE(cluster_.unfinished().empty());
}

TEST_F(PendingReasonTest, FailoverOwnerUnresponsiveAndStoreUnreachable) {
  const auto held = service(2, 2, "");
  cluster_.submit(held);
  ASSERT_TRUE(starts_running(held.uid));
  cluster_.run(20s);
  const auto leader = cluster_.leader();
  const auto other = (leader + 1) % 3;
  // A machine that hangs keeps the new leader behind the failover barrier.
  const auto s = service(1, 4, "");
  cluster_.hang_random_machine(40s);
  cluster_.submit(s);
  cluster_.crash(leader, 120s);
  bool takeover = false, silent = false;
  for (int i = 0; i < 300 && !(takeover && silent); ++i) {
    const auto j = job_view(held.uid, other);
    const auto now = cause(s.uid, other);
    takeover = takeover || now == "takeover";
    silent = silent || now == "owner_silent" ||
             (j.is_object() && j.value("cause", "") == "owner_silent");
    cluster_.run(200ms);
  }
  EXPECT_TRUE(silent) << "while the crashed leader is still a member";
  EXPECT_TRUE(takeover) << "while a machine has not reported its tasks";
  bool ran = false;
  for (int i = 0; i < 600 && !ran; ++i, cluster_.run(200ms)) {
    const auto j = job_view(s.uid, other);
    ran = j.is_object() && j.value("running", 0) > 0;
  }
  EXPECT_TRUE(ran);

  // A controller that the key-value store refuses until its lease has expired reports `state_away`
  // for its own jobs.
  const auto now_leads = cluster_.leader();
  const auto waits = service(8, 16, "");
  cluster_.submit(waits);
  cluster_.run(2s);
  cluster_.cut(now_leads, SimulatedCluster::Side::State, false, 60s);
  bool away = false;
  for (int i = 0; i < 250 && !away; ++i, cluster_.run(200ms))
    away = cause(waits.uid, now_leads) == "state_away";
  EXPECT_TRUE(away);
}
}  // namespace
}  // namespace limemast

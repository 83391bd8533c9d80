// A state for each cause: the job waits for it, says so, and starts once it is removed.
#include "operator_api/console_cluster.hpp"

namespace limemast {
namespace {
using namespace simulation;

/// Where machines come up decides whether a scene can be set at all (a spare one in the zone that
/// is drained); by these seeds they do.
constexpr std::uint64_t kSeed = 21;
constexpr std::uint64_t kDrainSeed = 26;

class Causes : public OperatedCluster {
 protected:
  explicit Causes(std::uint64_t seed = kSeed) : OperatedCluster(seed) {}
  explicit Causes(wire::Settings settings) : OperatedCluster(kSeed, std::move(settings)) {}
  json look(const std::string& uid, std::size_t node = 0) {
    return SimApi(cluster_, node).get("jobs/" + uid);
  }
  std::string cause(const std::string& uid, std::size_t node = 0) {
    const auto j = look(uid, node);
    return j.is_object() ? j.value("cause", "") : "(none)";
  }
  /// Runs until the job says this cause; false after `patience`.
  bool comes_to(const std::string& uid, const std::string& wanted, Duration patience = 60s) {
    for (const auto end = world_.now() + patience; world_.now() < end; cluster_.run(200ms))
      if ((seen_ = cause(uid)) == wanted) return true;
    return false;
  }
  bool stays(const std::string& uid, const std::string& wanted, Duration time) {
    for (const auto end = world_.now() + time; world_.now() < end; cluster_.run(500ms))
      if ((seen_ = cause(uid)) != wanted) return false;
    return true;
  }
  unsigned running(const std::string& uid) {
    const auto j = look(uid);
    return j.is_object() ? j.value("running", 0u) : 0;
  }
  bool runs(const std::string& uid, Duration patience = 60s) {
    for (const auto end = world_.now() + patience; world_.now() < end; cluster_.run(200ms)) {
      const auto j = look(uid);
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
  std::string seen_;
};

TEST_F(Causes, NoMachineThenBootingThenImage) {
  const auto s = service(1, 4, "c");
  cluster_.run(40s);  // what came for the first job goes back
  cluster_.cloud_outage(30s);
  cluster_.submit(s);
  ASSERT_TRUE(comes_to(s.uid, "no_machine")) << seen_;
  EXPECT_TRUE(stays(s.uid, "no_machine", 15s)) << seen_;
  ASSERT_TRUE(comes_to(s.uid, "booting")) << seen_;
  EXPECT_GE(look(s.uid).value("expectedInS", -1.0), 0);
  ASSERT_TRUE(comes_to(s.uid, "image")) << seen_;
  EXPECT_TRUE(runs(s.uid));
  EXPECT_FALSE(look(s.uid).contains("cause"));
}

class NoShortPart : public Causes {
 protected:
  static wire::Settings without() {
    auto s = settings_with_operators();
    s.tuning.short_share = 0;
    return s;
  }
  NoShortPart() : Causes(without()) {}
};
TEST_F(NoShortPart, RoomAndHigherRank) {
  // All four small machines of zone a, held by a service; behind it two arrays of the same
  // standing.
  const auto holder = service(4, 8, "a");
  auto first = job(1, 8);
  auto second = first;
  second.uid = cluster_.random_job().uid;
  for (auto* s : {&first, &second}) s->zone = "a";
  auto held = holder;
  held.types = {"small"};
  first.types = second.types = {"small"};
  cluster_.submit(held);
  ASSERT_TRUE(runs(held.uid));
  cluster_.run(30s);
  cluster_.submit(first);
  ASSERT_TRUE(comes_to(first.uid, "higher_rank")) << seen_;
  EXPECT_TRUE(stays(first.uid, "higher_rank", 5s)) << seen_;
  cancel(held.uid);
  EXPECT_TRUE(runs(first.uid));

  auto filler = first;
  filler.uid = cluster_.random_job().uid;
  filler.tasks = 3;
  cluster_.submit(filler);
  ASSERT_TRUE(runs(filler.uid));
  cluster_.run(20s);
  cluster_.submit(second);
  ASSERT_TRUE(comes_to(second.uid, "room")) << seen_;
  EXPECT_EQ(look(second.uid).value("place", 0), look(second.uid).value("of", -1))
      << "the last that came";
  EXPECT_EQ(look(second.uid).value("line", ""), "placement");
  cancel(filler.uid);
  EXPECT_TRUE(runs(second.uid));
}

TEST_F(Causes, ShortPart) {
  // The one machine with room is kept for short jobs, until a spot machine takes its place.
  auto held = service(3, 8, "a");
  auto s = service(1, 8, "a");
  held.types = s.types = {"small"};
  cluster_.submit(held);
  ASSERT_TRUE(runs(held.uid));
  cluster_.run(40s);
  cluster_.submit(s);
  ASSERT_TRUE(comes_to(s.uid, "short_part")) << seen_;
  EXPECT_TRUE(stays(s.uid, "short_part", 10s)) << seen_;
  auto spot = job(16, 4);
  spot.spot = true;
  spot.estimate = wire::Seconds(30);
  cluster_.submit(spot);
  EXPECT_TRUE(runs(s.uid)) << cause(s.uid);
}

class LimitedTeam : public Causes {
 protected:
  static wire::Settings limited() {
    auto s = settings_with_operators();
    s.teams["red"] = {40, 60, 0, 0};
    return s;
  }
  LimitedTeam() : Causes(limited()) {}
};
TEST_F(LimitedTeam, TeamLimit) {
  const auto held = service(15, 4, "");
  cluster_.submit(held);
  ASSERT_TRUE(runs(held.uid));
  cluster_.run(40s);
  const auto s = service(1, 4, "");
  cluster_.submit(s);
  ASSERT_TRUE(comes_to(s.uid, "team_limit")) << seen_;
  EXPECT_TRUE(stays(s.uid, "team_limit", 10s)) << seen_;
  cancel(held.uid);
  EXPECT_TRUE(runs(s.uid));
}

TEST_F(NoShortPart, OthersGuarantee) {
  // Spot machines of zone a are all in use; the ordinary one there is kept for services to come,
  // which guests must leave.
  cluster_.run(80s);  // what came for the first job goes back
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
  // A service makes spare machines come to all zones; it must not itself be where the guest may go.
  for (int i = 0; i < 8 && !empty_in_a(); ++i) {
    const auto small = service(1, 2, "");
    cluster_.submit(small);
    ASSERT_TRUE(runs(small.uid));
    cluster_.run(30s);
    if (!empty_in_a()) cancel(small.uid);
  }
  ASSERT_TRUE(empty_in_a());
  auto guest = job(1, 4);
  guest.team = "blue";
  guest.spot = true;
  guest.zone = "a";
  cluster_.submit(guest);
  ASSERT_TRUE(comes_to(guest.uid, "others_guarantee")) << seen_;
  cancel(spot.uid);
  EXPECT_TRUE(runs(guest.uid));
}

TEST_F(Causes, ZoneRule) {
  // Room beside a service in zone b only, but the array must stay where its first tasks are.
  auto s = job(10, 4);
  s.one_zone = true;
  s.types = {"small"};
  auto beside = service(1, 2, "b");
  beside.types = {"small"};
  cluster_.submit(beside);
  ASSERT_TRUE(runs(beside.uid));
  cluster_.submit(s);
  ASSERT_TRUE(comes_to(s.uid, "zone_rule", 120s)) << seen_;
  // Its own tasks' ends make room in the one zone.
  for (int i = 0; i < 200 && cluster_.unfinished().size() > 0; ++i) cluster_.run(5s);
  EXPECT_TRUE(cluster_.unfinished().empty());
}

class DrainCauses : public Causes {
 protected:
  DrainCauses() : Causes(kDrainSeed) {}
};

TEST_F(DrainCauses, DrainAndItsEnd) {
  const auto held = service(1, 2, "a");
  cluster_.submit(held);
  ASSERT_TRUE(runs(held.uid));
  SimApi api(cluster_, 1);
  EXPECT_EQ(api.send("PUT", "drains/zone/a", R"({"note":"new switch"})"), 201);
  cluster_.run(2s);
  const auto s = service(1, 2, "a");
  cluster_.submit(s);
  ASSERT_TRUE(comes_to(s.uid, "drain")) << seen_;
  EXPECT_TRUE(stays(s.uid, "drain", 10s)) << seen_;
  EXPECT_EQ(api.send("DELETE", "drains/zone/a"), 200);
  EXPECT_TRUE(runs(s.uid));
}

TEST_F(Causes, BackingOffAfterFailures) {
  auto s = job(6, 4);
  s.estimate = wire::Seconds(10);
  // Every machine that is up fails what it starts for a while.
  const auto held = service(6, 2, "");
  cluster_.submit(held);
  ASSERT_TRUE(runs(held.uid));
  cluster_.run(30s);
  for (int i = 0; i < 200; ++i) cluster_.make_machine_faulty(40s);
  cluster_.submit(s);
  ASSERT_TRUE(comes_to(s.uid, "backing_off")) << seen_;
  cluster_.run(40s);
  for (int i = 0; i < 100 && !cluster_.unfinished().empty(); ++i) cluster_.run(5s);
  EXPECT_TRUE(cluster_.unfinished().empty());
}

TEST_F(Causes, TakeoverOwnerSilentAndStateAway) {
  const auto held = service(2, 2, "");
  cluster_.submit(held);
  ASSERT_TRUE(runs(held.uid));
  cluster_.run(20s);
  const auto leader = cluster_.leader();
  const auto other = (leader + 1) % 3;
  // A machine whose silence keeps the new leader from knowing what is where.
  const auto s = service(1, 4, "");
  cluster_.hang_random_machine(40s);
  cluster_.submit(s);
  cluster_.crash(leader, 120s);
  bool takeover = false, silent = false;
  for (int i = 0; i < 300 && !(takeover && silent); ++i) {
    const auto j = look(held.uid, other);
    const auto now = cause(s.uid, other);
    takeover = takeover || now == "takeover";
    silent = silent || now == "owner_silent" ||
             (j.is_object() && j.value("cause", "") == "owner_silent");
    cluster_.run(200ms);
  }
  EXPECT_TRUE(silent) << "while its leader is dead and still counted";
  EXPECT_TRUE(takeover) << "while a machine has not shown what it holds";
  bool ran = false;
  for (int i = 0; i < 600 && !ran; ++i, cluster_.run(200ms)) {
    const auto j = look(s.uid, other);
    ran = j.is_object() && j.value("running", 0) > 0;
  }
  EXPECT_TRUE(ran);

  // Refused by the state service past its grant, a controller says of its own jobs that nothing can
  // be decided.
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

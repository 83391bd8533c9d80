#include "cases.hpp"

#include "deployment.hpp"

namespace standins {
namespace {
/// The rule allows a job to wait this long.
constexpr double kLongestWait = 90;
constexpr double kWaitMargin = 0.5;

DeploymentSettings mapvault(const CaseArguments& arguments) {
  DeploymentSettings settings;
  settings.command = arguments.command;
  settings.directory = arguments.directory;
  settings.districts = {"taipei-north", "tainan-south"};
  settings.workers = {3, 27};
  settings.cancel_s = 47;
  settings.teams = json::array({{{"name", "cartography-desk"},
                                 {"cpus", 0.0},
                                 {"cpus_max", 0.0},
                                 {"gpus", 0.0},
                                 {"gpus_max", 0.0}}});
  settings.state = {{"rps", 120.0}, {"write_rps", 30.0}, {"value_kb", 8.0}, {"txn_ops", 12}};
  settings.cloud.types = {{"banyan", 16, 64}};
  settings.cloud.boot_s = 35;
  return settings;
}

json team(const std::string& name, double cpus, double cpus_max) {
  return {{"name", name}, {"cpus", cpus}, {"cpus_max", cpus_max}, {"gpus", 0.0}, {"gpus_max", 0.0}};
}

DeploymentSettings waterworks(const CaseArguments& arguments) {
  DeploymentSettings settings;
  settings.command = arguments.command;
  settings.directory = arguments.directory;
  settings.workers = {2, 12};
  settings.cancel_s = 37;
  settings.teams = json::array(
      {team("water-assets", 192, 576), team("corrosion-lab", 8, 16), team("transit-survey", 0, 0)});
  settings.cloud.types = {{"cedar", 8, 16}, {"fir", 16, 64}};
  settings.cloud.boot_s = 20;
  settings.cloud.list_lag_s = 8;
  return settings;
}

Job array(const std::string& uid, int tasks, double estimate, double run_s, const json& more) {
  Job job;
  job.body = submission(uid, tasks, 4.0, estimate, more);
  job.run_s = run_s;
  return job;
}

/// Waits until `tasks` tasks of the job are on machines.
bool wait_for_tasks(Deployment& deployment, const Job& job, int tasks, double timeout) {
  const auto uid = job.body["uid"].get<std::string>();
  for (const double until = now() + timeout; now() < until; sleep_for(0.05)) {
    int on_machines = 0;
    for (int n = 0; n < job.body["shards"].get<int>(); ++n)
      on_machines += !deployment.world().machines_of(uid + "/" + std::to_string(n)).empty();
    if (on_machines >= tasks) return true;
  }
  Record::get().cannot_run(uid + " has not begun");
  return false;
}

Job tile_server(const std::string& uid, int replicas, const json& more = json::object()) {
  json fields{{"workload", "tile-server"},
              {"owner", "cartography-desk"},
              {"shape", "daemon"},
              {"rank", "production"},
              {"ramGb", 5.0},
              {"apart", true}};
  fields.update(more);
  Job job;
  job.body = submission(uid, replicas, 2.0, 0.0, fields);
  return job;
}

std::string uid_of(int number) {
  auto digits = std::to_string(number);
  return "wk-" + std::string(6 - digits.size(), '0') + digits;
}

/// The deployment of the run. It is never destroyed, since threads of its stand-ins use it until
/// the program ends.
Deployment* current = nullptr;
Deployment& deploy(const DeploymentSettings& settings) {
  current = new Deployment(settings);
  return *current;
}

bool start_all(Deployment& deployment, std::size_t machines) {
  for (int node = 0; node < Deployment::kNodes; ++node) deployment.start(node);
  return deployment.wait_until_ready(machines, 25);
}

/// Watches a job that nothing keeps from running. Breaks the rule if no task of it has begun for 90
/// s while some machine that it may use had room all the time.
void watch_waiting(Deployment& deployment, const Job& job, const std::set<std::string>& districts) {
  const auto uid = job.body["uid"].get<std::string>();
  const double since = now();
  double next_question = now();
  while (now() < since + kLongestWait + kWaitMargin) {
    if (!deployment.world().machines_of(uid + "/0").empty()) {
      record(uid + " has begun");
      return;
    }
    std::string with_room;
    for (auto* worker : deployment.cloud().workers())
      if (districts.contains(worker->district()) &&
          (!worker->spot() || job.body["reclaimable"].get<bool>()) && worker->has_room_for(job))
        with_room += " " + worker->name();
    if (with_room.empty()) {
      record("no machine has room for " + uid);
      return;
    }
    if (now() >= next_question) {
      next_question = now() + 5;
      record("machines with room for " + uid + ":" + with_room);
      deployment.poll(uid, 0);
    }
    sleep_for(0.1);
  }
  Record::get().broken("left_waiting", uid + " has waited for 90 s while a machine had room");
}
}  // namespace

// Services of one class fill a zone. One that needs another replica there waits; the next one,
// which fits into the other zone, must not.
void full_zone_blocks_services(const CaseArguments& arguments) {
  auto settings = mapvault(arguments);
  settings.cloud.capacity = {{"taipei-north", 3}, {"tainan-south", 1}};
  auto& deployment = deploy(settings);
  auto& cloud = deployment.cloud();
  cloud.add("banyan", "taipei-north", 0);
  cloud.add("banyan", "taipei-north", 1);
  auto& south = cloud.add("banyan", "tainan-south", 2);
  cloud.add("banyan", "taipei-north", 0, true);
  if (!start_all(deployment, 4)) return;
  // The burst doubles the services that come; half of them fill half of the machine in the south.
  const int usual = 4;
  const int coming = arguments.trouble ? 2 * usual : usual;
  for (int number = 1; number <= coming; ++number)
    deployment.submit(tile_server(uid_of(number), 1, {{"district", "tainan-south"}}), number % 3);
  const double until = now() + 12;
  while (south.live_tasks() < static_cast<std::size_t>(coming) && now() < until) sleep_for(0.1);
  if (south.live_tasks() < static_cast<std::size_t>(coming))
    return Record::get().cannot_run("the services in the south have not begun");
  const auto spread = tile_server("wk-000101", 3);
  if (!deployment.submit(spread, 1)) return Record::get().cannot_run("not accepted");
  sleep_for(3);
  record("the burst is over");
  const auto single = tile_server("wk-000102", 1);
  if (!deployment.submit(single, 2)) return Record::get().cannot_run("not accepted");
  watch_waiting(deployment, single, {"taipei-north", "tainan-south"});
}

// A leader is cut from the state service and the other controllers. A worker rejects one of its
// direct commands with 409; the report in that answer shows the token of its successor.
void deposed_leader_learns_token(const CaseArguments& arguments) {
  DeploymentSettings settings;
  settings.command = arguments.command;
  settings.directory = arguments.directory;
  settings.workers = {5, 26.5};
  settings.cancel_s = 51.5;
  settings.teams = json::array(
      {{{"name", "assets"}, {"cpus", 500.0}, {"cpus_max", 0.0}, {"gpus", 0.0}, {"gpus_max", 0.0}}});
  settings.state = {{"rps", 400.0}, {"write_rps", 150.0}, {"value_kb", 32.0}, {"txn_ops", 24}};
  settings.cloud.types = {{"fir", 16, 64}, {"oak", 60, 600}};
  settings.cloud.boot_s = 20;
  auto& deployment = deploy(settings);
  auto& cloud = deployment.cloud();
  for (int node = 0; node < Deployment::kNodes; ++node) deployment.start(node);
  for (double until = now() + 10; deployment.leader() < 0 && now() < until;) sleep_for(0.1);
  sleep_for(1);
  const int leader = deployment.leader();
  if (leader < 0) return Record::get().cannot_run("no leader");
  const auto second = static_cast<std::size_t>((leader + 1) % 3);
  const auto third = static_cast<std::size_t>((leader + 2) % 3);
  auto& machine = cloud.add("fir", "fraser", static_cast<std::size_t>(leader));
  cloud.add("fir", "kootenay", second, true);
  if (!deployment.wait_until_ready(2, 25)) return;
  sleep_for(4.5);
  const auto submit = [&](const std::string& uid, int tasks, double cpus, double estimate,
                          const json& more, double fails_after) {
    Job job;
    job.body = submission(uid, tasks, cpus, estimate, more);
    job.run_s = 500;
    job.fails = fails_after > 0;
    job.fails_after_s = fails_after;
    if (!deployment.submit(job, static_cast<int>(second))) Record::get().cannot_run("no " + uid);
    return job;
  };
  submit("wk-000001", 4, 4, 300, {{"rank", "low"}, {"reclaimable", true}}, 0);
  sleep_for(3);
  // One machine more than there are tasks: a start that is refused finds room elsewhere.
  constexpr int kTasks = 7;
  constexpr int kOthers = kTasks + 1;
  for (int n = 0; n < kOthers; ++n)
    cloud.add("fir", n % 2 ? "kootenay" : "burrard", n % 2 ? second : third);
  if (!deployment.wait_until_ready(2 + kOthers, 25)) return;
  sleep_for(2.5);
  const json production{{"shape", "daemon"}, {"rank", "production"}};
  submit("wk-000002", kOthers, 12, 0, production, 0);
  sleep_for(5);
  const json urgent{{"rank", "urgent"}};
  const auto with_ram = [](double gb) { return json{{"rank", "urgent"}, {"ramGb", gb}}; };
  const double begin = now();
  const double cut = begin + 24.4;
  std::vector<Job> failing;
  failing.push_back(submit("wk-000011", kTasks, 3, 100, urgent, 0.3));
  sleep_for(begin + 9.1 - now());
  failing.push_back(submit("wk-000012", kTasks, 3, 100, urgent, 1.5));
  sleep_for(begin + 9.3 - now());
  // Each of these has room for one task on each machine beside those before it.
  failing.push_back(submit("wk-000013", kTasks, 0.3, 100, with_ram(32), 1.5));
  sleep_for(begin + 9.6 - now());
  failing.push_back(submit("wk-000014", kTasks, 0.3, 100, with_ram(20), 1.5));
  sleep_for(begin + 9.9 - now());
  failing.push_back(submit("wk-000015", kTasks, 0.3, 100, with_ram(7), 1.5));
  sleep_for(begin + 16 - now());
  submit("wk-000003", kOthers, 4, 0, production, 0);
  for (auto job : failing) {
    job.fails_after_s = 60;
    deployment.world().add_job(job.body["uid"], job);
  }
  sleep_for(cut - now());
  record("leader " + std::to_string(deployment.leader()) + ", machine at node " +
         std::to_string(machine.node()));
  if (arguments.trouble) {
    deployment.store().set_gate(leader, Store::Gate::Hang);
    deployment.set_links(leader, Proxy::Mode::Hold);
    record("CUT: the leader is cut from the state service and the other controllers");
  }
  sleep_for(0.5);
  cloud.add("oak", "burrard", third, false, 15);
  while (now() < cut + 27 && !Record::get().any_broken()) sleep_for(0.1);
}

// In a quiet time the leader cordons a machine that still runs a task. Then jobs come more often.
void cordon_outlasts_quiet_time(const CaseArguments& arguments) {
  auto settings = waterworks(arguments);
  settings.cloud.capacity = {{"fraser", 2}};
  settings.cloud.spot_capacity = 2;
  auto& deployment = deploy(settings);
  auto& cloud = deployment.cloud();
  cloud.add("cedar", "fraser", 0, true);
  cloud.add("fir", "fraser", 1, true);
  if (!start_all(deployment, 2)) return;
  const double up = now();
  const json sync{{"workload", "gis-sync"}, {"owner", "water-assets"}, {"reclaimable", true}};
  auto on_cedar = sync;
  on_cedar["flavors"] = {"cedar"};
  auto on_fir = sync;
  on_fir["flavors"] = {"fir"};
  const auto first = array("wk-000001", 1, 50, 300, on_cedar);
  const auto second = array("wk-000002", 2, 50, 300, on_fir);
  deployment.submit(first, 0);
  deployment.submit(second, 1);
  if (!wait_for_tasks(deployment, first, 1, 10) || !wait_for_tasks(deployment, second, 2, 10))
    return;
  sleep_for(up + 22 - now());
  if (arguments.trouble) {
    const auto burst = array("wk-000003", 2, 50, 300, sync);
    deployment.submit(burst, 2);
    if (!wait_for_tasks(deployment, burst, 2, 6)) return;
    record("the burst is over");
  }
  const auto last = array("wk-000004", 1, 50, 300, sync);
  if (!deployment.submit(last, 0)) return Record::get().cannot_run("not accepted");
  watch_waiting(deployment, last, {"fraser"});
}

// A team is at its limit and has more short work. Another team's work must not wait for that.
void limited_team_blocks_guests(const CaseArguments& arguments) {
  auto settings = waterworks(arguments);
  settings.districts = {"fraser"};
  settings.cloud.capacity = {{"fraser", 3}};
  auto& deployment = deploy(settings);
  auto& cloud = deployment.cloud();
  for (std::size_t node = 0; node < 3; ++node) cloud.add("fir", "fraser", node);
  if (!start_all(deployment, 3)) return;
  const json lab{{"workload", "gis-sync"}, {"owner", "corrosion-lab"}};
  const auto usual = array("wk-000001", 4, 50, 300, lab);
  deployment.submit(usual, 0);
  if (!wait_for_tasks(deployment, usual, 4, 10)) return;
  if (arguments.trouble) {
    deployment.submit(array("wk-000002", 12, 50, 300, lab), 1);
    sleep_for(3);
    record("the burst is over");
  }
  const auto guest =
      array("wk-000003", 1, 100, 100,
            {{"workload", "backfill-reindex"}, {"owner", "transit-survey"}, {"rank", "low"}});
  if (!deployment.submit(guest, 2)) return Record::get().cannot_run("not accepted");
  watch_waiting(deployment, guest, {"fraser"});
}

// Cheap machines are taken back in a wave. The work of a guest team that ran there may use ordinary
// machines too, of which two are empty.
void guests_shun_ordinary_machines(const CaseArguments& arguments) {
  auto settings = waterworks(arguments);
  settings.cloud.capacity = {{"fraser", 1}, {"kootenay", 3}, {"burrard", 1}};
  auto& deployment = deploy(settings);
  auto& cloud = deployment.cloud();
  cloud.add("fir", "fraser", 0);
  cloud.add("fir", "kootenay", 1);
  cloud.add("fir", "burrard", 2);
  const auto cheap_one = cloud.add("fir", "kootenay", 0, true).name();
  const auto cheap_two = cloud.add("fir", "kootenay", 1, true).name();
  if (!start_all(deployment, 5)) return;
  Job feed = tile_server("wk-000001", 8,
                         {{"workload", "assetfeed"},
                          {"owner", "water-assets"},
                          {"apart", false},
                          {"district", "fraser"}});
  deployment.submit(feed, 0);
  if (!wait_for_tasks(deployment, feed, 8, 10)) return;
  sleep_for(2.5);
  const auto guest = array("wk-000002", 1, 300, 300,
                           {{"workload", "backfill-reindex"},
                            {"owner", "transit-survey"},
                            {"rank", "low"},
                            {"reclaimable", true}});
  if (!deployment.submit(guest, 2)) return Record::get().cannot_run("not accepted");
  if (!wait_for_tasks(deployment, guest, 1, 6)) return;
  if (arguments.trouble) {
    cloud.take_away(cheap_one);
    cloud.take_away(cheap_two);
    record("the wave is over");
    // The leader needs this long to prove that the machines are gone.
    sleep_for(15);
  }
  watch_waiting(deployment, guest, {"kootenay", "burrard"});
}

// Machines hang while tasks are being started on them, and the users cancel these jobs.
void stop_overtakes_start(const CaseArguments& arguments) {
  auto settings = waterworks(arguments);
  settings.districts = {"fraser"};
  constexpr int kMachines = 8;
  settings.cloud.capacity = {{"fraser", kMachines}};
  auto& deployment = deploy(settings);
  for (std::size_t n = 0; n < kMachines; ++n) deployment.cloud().add("fir", "fraser", n % 3);
  if (!start_all(deployment, kMachines)) return;
  const json sync{{"workload", "gis-sync"}, {"owner", "water-assets"}};
  // Fetches the image on each machine.
  const auto first = array("wk-000001", 4 * kMachines, 50, 1, sync);
  deployment.submit(first, 0);
  for (const double until = now() + 20; deployment.world().final_phase("wk-000001").empty();) {
    if (now() > until) return Record::get().cannot_run("the first job has not ended");
    deployment.poll("wk-000001", 0);
    sleep_for(0.5);
  }
  sleep_for(3);
  deployment.world().count_starts_after_cancellation();
  constexpr double kHang = 5;
  for (int round = 0; round < 6 && !Record::get().any_broken(); ++round) {
    if (arguments.trouble) {
      record("all machines hang");
      for (auto* worker : deployment.cloud().workers()) worker->hang(kHang);
    }
    std::vector<std::string> uids;
    for (int n = 0; n < 6; ++n) {
      const auto job = array(uid_of(100 * (round + 1) + n), 2, 50, 30, sync);
      deployment.submit(job, n % 3);
      uids.push_back(job.body["uid"]);
    }
    sleep_for(1);
    for (const auto& uid : uids) deployment.cancel(uid, -1);
    sleep_for(kHang + 3);
  }
}

// A machine hangs while the connections between controllers are refused, and the user cancels the
// service on it.
void silence_is_forgotten(const CaseArguments& arguments) {
  auto settings = waterworks(arguments);
  settings.districts = {"fraser"};
  constexpr int kMachines = 5;
  settings.cloud.capacity = {{"fraser", kMachines}};
  auto& deployment = deploy(settings);
  for (std::size_t n = 0; n < kMachines; ++n) deployment.cloud().add("fir", "fraser", n % 3);
  if (!start_all(deployment, kMachines)) return;
  sleep_for(2.5);
  for (int number = 1; number <= kMachines - 1; ++number) {
    const auto feed = tile_server(
        uid_of(number), 1, {{"workload", "assetfeed"}, {"owner", "water-assets"}, {"cpus", 12.0}});
    deployment.submit(feed, number % 3);
    if (!wait_for_tasks(deployment, feed, 1, 10)) return;
  }
  const int leader = deployment.leader();
  const auto on = deployment.world().machines_of("wk-000001/0");
  if (leader < 0 || on.empty()) return Record::get().cannot_run("no leader or no machine");
  if (arguments.trouble) {
    record("machine " + *on.begin() + " hangs; connections between controllers are refused");
    deployment.cloud().worker(*on.begin())->hang(60);
    for (int node = 0; node < Deployment::kNodes; ++node)
      deployment.set_links(node, Proxy::Mode::Reset);
  }
  const double begin = now();
  sleep_for(0.5);
  if (!deployment.cancel("wk-000001", leader)) return Record::get().cannot_run("not cancelled");
  sleep_for(begin + 40 - now());
  for (int node = 0; node < Deployment::kNodes; ++node)
    deployment.set_links(node, Proxy::Mode::Pass);
  record("connections between controllers are accepted again");
  while (now() < begin + 60 && !Record::get().any_broken()) sleep_for(0.1);
}

bool play(const std::string& name, const CaseArguments& arguments) {
  const std::map<std::string, void (*)(const CaseArguments&)> cases{
      {"full-zone", full_zone_blocks_services},   {"learned-token", deposed_leader_learns_token},
      {"cordon", cordon_outlasts_quiet_time},     {"limited-team", limited_team_blocks_guests},
      {"guests", guests_shun_ordinary_machines},  {"overtaken-start", stop_overtakes_start},
      {"forgotten-silence", silence_is_forgotten}};
  const auto it = cases.find(name);
  if (it == cases.end()) return false;
  it->second(arguments);
  for (int node = 0; current && node < Deployment::kNodes; ++node) current->kill_node(node);
  return true;
}
}  // namespace standins

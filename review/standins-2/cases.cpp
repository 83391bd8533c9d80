#include "cases.hpp"

#include "deployment.hpp"

namespace standins {
namespace {
/// The rule allows a job to wait this long.
constexpr double kLongestWait = 90;
constexpr double kWaitMargin = 2;

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
  settings.cloud.types = {{"fir", 16, 64}, {"oak", 60, 256}};
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
  constexpr int kOthers = 7;
  for (int n = 0; n < kOthers; ++n)
    cloud.add("fir", n % 2 ? "kootenay" : "burrard", n % 2 ? second : third);
  if (!deployment.wait_until_ready(2 + kOthers, 25)) return;
  sleep_for(2.5);
  const json production{{"shape", "daemon"}, {"rank", "production"}};
  submit("wk-000002", kOthers, 12, 0, production, 0);
  sleep_for(5);
  const json urgent{{"rank", "urgent"}};
  const double begin = now();
  const double cut = begin + 24.4;
  std::vector<Job> failing;
  failing.push_back(submit("wk-000011", kOthers, 3, 100, urgent, 0.3));
  sleep_for(begin + 9.1 - now());
  failing.push_back(submit("wk-000012", kOthers, 3, 100, urgent, 1.5));
  sleep_for(begin + 9.4 - now());
  failing.push_back(submit("wk-000013", kOthers, 0.6, 100, urgent, 1.5));
  sleep_for(begin + 9.7 - now());
  failing.push_back(submit("wk-000014", kOthers, 0.4, 100, urgent, 1.5));
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

bool play(const std::string& name, const CaseArguments& arguments) {
  const std::map<std::string, void (*)(const CaseArguments&)> cases{
      {"full-zone", full_zone_blocks_services}, {"learned-token", deposed_leader_learns_token}};
  const auto it = cases.find(name);
  if (it == cases.end()) return false;
  it->second(arguments);
  for (int node = 0; current && node < Deployment::kNodes; ++node) current->kill_node(node);
  return true;
}
}  // namespace standins

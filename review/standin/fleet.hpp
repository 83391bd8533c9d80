#pragma once
// Stand-ins of the cloud and of its workers, and the ledger that checks the rules of PROTOCOL.
#include <memory>

#include "store.hpp"

namespace standin {
struct Flavor {
  std::string name;
  double cpus = 8;
  double ram_gb = 16;
  double ready_s = 2;
  double fetch_gb_per_s = 1;
  std::vector<std::string> districts;
};
struct Team {
  double cpus = 0;
  double cpus_max = 0;
};
struct World {
  std::vector<std::string> zones{"fraser", "kootenay", "burrard"};
  std::vector<Flavor> flavors;
  std::map<std::string, Team> teams;
  double report_s = 2;
  double lease_s = 12;
  double cancel_s = 37;
  double list_lag_s = 8;
  double cloud_rps = 3;
  std::vector<std::string> labels;
  std::vector<int> serve_ports;
};

/// Appends lines to record.txt with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(std::fopen(path.c_str(), "w")) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    std::fprintf(out_, "%9.3f %s\n", seconds_between(start_, Clock::now()), text.c_str());
    std::fflush(out_);
  }
  double now() const { return seconds_between(start_, Clock::now()); }

 private:
  std::mutex mutex_;
  std::FILE* out_;
  Time start_ = Clock::now();
};

/// What users know of their jobs and what workers run, with the rules that hold between the two.
class Ledger {
 public:
  struct Job {
    json spec;
    double run_s = 0;
    bool accepted = false;
    bool cancel_asked = false;
    std::string final_phase;
    std::optional<Time> cancelled_at;
    std::set<std::uint32_t> completed;
    std::map<std::uint32_t, std::map<std::string, std::string>> on;  ///< machine -> zone
  };
  Ledger(const World& world, Record& record) : world_(world), record_(record) {}

  void add(const json& spec, double run_s) {
    const std::lock_guard lock(mutex_);
    auto& job = jobs_[spec.at("uid").get<std::string>()];
    job.spec = spec;
    job.run_s = run_s;
  }
  /// What a worker knows of a job.
  struct Description {
    std::string bundle;
    double size_gb = 0;
    double cpus = 0;
    double snapshot_every_s = 0;
    double snapshot_cost_s = 0;
    double run_s = 0;
    std::uint32_t shards = 0;
  };
  std::optional<Description> find(const std::string& uid) {
    const std::lock_guard lock(mutex_);
    const auto it = jobs_.find(uid);
    if (it == jobs_.end()) return std::nullopt;
    const auto& spec = it->second.spec;
    return Description{spec["bundle"],         spec["sizeGb"],        spec["cpus"],
                       spec["snapshotEveryS"], spec["snapshotCostS"], it->second.run_s,
                       spec["shards"]};
  }
  /// Tasks that a worker killed since its lease had expired.
  void lost_by_lease(const std::string& uid, int count) {
    const std::lock_guard lock(mutex_);
    lost_[uid] += count;
  }
  std::map<std::string, int> lost_by_lease() {
    const std::lock_guard lock(mutex_);
    return lost_;
  }
  std::set<std::string> machines_of(const std::string& uid) {
    const std::lock_guard lock(mutex_);
    std::set<std::string> out;
    for (const auto& [index, machines] : jobs_.at(uid).on)
      for (const auto& [machine, zone] : machines) out.insert(machine);
    return out;
  }
  std::optional<double> cancelled_for(const std::string& uid) {
    const std::lock_guard lock(mutex_);
    const auto& at = jobs_.at(uid).cancelled_at;
    return at ? std::optional(seconds_between(*at, Clock::now())) : std::nullopt;
  }
  std::size_t completed_tasks(const std::string& uid) {
    const std::lock_guard lock(mutex_);
    return jobs_.at(uid).completed.size();
  }
  std::size_t tasks_on_machines(const std::string& uid) {
    const std::lock_guard lock(mutex_);
    return jobs_.at(uid).on.size();
  }
  std::string final_phase(const std::string& uid) {
    const std::lock_guard lock(mutex_);
    return jobs_.at(uid).final_phase;
  }
  void ask_cancel(const std::string& uid) {
    const std::lock_guard lock(mutex_);
    jobs_[uid].cancel_asked = true;
  }
  /// A task got its image: it is on the machine from now on.
  void started(const std::string& uid, std::uint32_t index, const std::string& machine,
               const std::string& flavor, const std::string& zone, bool spot) {
    const std::lock_guard lock(mutex_);
    auto& job = jobs_.at(uid);
    const auto name = uid + "/" + std::to_string(index);
    ++starts_;
    auto& places = job.on[index];
    if (!places.empty() && !places.contains(machine))
      broken("ran_twice", name + " starts on " + machine + " and is on " + places.begin()->first);
    if (job.cancelled_at && seconds_between(*job.cancelled_at, Clock::now()) > world_.cancel_s)
      broken("ran_cancelled", name + " starts on " + machine);
    const auto& flavors = job.spec["flavors"];
    if (flavors.is_array() && std::count(flavors.begin(), flavors.end(), flavor) == 0)
      broken("wrong_place", name + " on " + flavor);
    if (job.spec["district"].is_string() && job.spec["district"] != zone)
      broken("wrong_place", name + " in " + zone);
    if (spot && !job.spec["reclaimable"].get<bool>()) broken("wrong_place", name + " on spot");
    check_zones(job, index, name, zone);
    const auto team = job.spec["owner"].get<std::string>();
    if (places.emplace(machine, zone).second) used_[team] += job.spec["cpus"].get<double>();
    if (const auto most = world_.teams.at(team).cpus_max; most > 0 && used_[team] > most + 1e-3)
      broken("quota", team + " uses " + std::to_string(used_[team]) + " with " + name);
  }
  void ended(const std::string& uid, std::uint32_t index, const std::string& machine,
             bool completed) {
    const std::lock_guard lock(mutex_);
    auto& job = jobs_.at(uid);
    if (completed) job.completed.insert(index);
    const auto it = job.on.find(index);
    if (it == job.on.end() || it->second.erase(machine) == 0) return;
    used_[job.spec["owner"].get<std::string>()] -= job.spec["cpus"].get<double>();
    if (it->second.empty()) job.on.erase(it);
    if (job.cancelled_at && seconds_between(*job.cancelled_at, Clock::now()) > world_.cancel_s)
      broken("ran_cancelled", uid + "/" + std::to_string(index) + " was on " + machine + " for " +
                                  std::to_string(seconds_between(*job.cancelled_at, Clock::now())) +
                                  " s after its user was told");
  }
  bool completed(const std::string& uid, std::uint32_t index) {
    const std::lock_guard lock(mutex_);
    return jobs_.at(uid).completed.contains(index);
  }
  /// What was certain when a request was sent.
  struct Known {
    bool accepted = false;
    std::string final_phase;
  };
  Known known(const std::string& uid) {
    const std::lock_guard lock(mutex_);
    const auto it = jobs_.find(uid);
    return it == jobs_.end() ? Known{} : Known{it->second.accepted, it->second.final_phase};
  }
  void answered(const std::string& what, const std::string& uid, const Known& then,
                const Reply& reply) {
    const std::lock_guard lock(mutex_);
    const auto it = jobs_.find(uid);
    if (it == jobs_.end()) {
      if (reply.status == 200) broken("invented", uid);
      return;
    }
    auto& job = it->second;
    if (then.accepted &&
        (reply.status == 404 || (what == "submit" && (reply.status == 400 || reply.status == 422))))
      broken("forgotten", uid + ": " + what + " got " + std::to_string(reply.status));
    if (reply.status != 200 && reply.status != 201) return;
    if (what == "submit" || what == "poll") job.accepted = true;
    const auto body = json::parse(reply.body, nullptr, false);
    const auto phase = body.is_object() ? body.value("phase", "") : "";
    const bool final = phase == "done" || phase == "cancelled";
    if (!then.final_phase.empty() && phase != then.final_phase)
      broken("went_back", uid + ": " + then.final_phase + ", then " + phase);
    if (!final) return;
    if (!job.final_phase.empty() && phase != job.final_phase)
      broken("went_back", uid + ": " + job.final_phase + " and " + phase);
    if (phase == "done" && job.completed.size() != job.spec["shards"].get<std::size_t>())
      broken("not_done", uid);
    if (phase == "cancelled" && !job.cancel_asked) broken("went_back", uid + " was not cancelled");
    if (phase == "cancelled" && !job.cancelled_at) job.cancelled_at = Clock::now();
    job.final_phase = phase;
  }
  /// Looks for tasks that are still on machines too long after a confirmed cancellation.
  void check_cancelled() {
    const std::lock_guard lock(mutex_);
    for (const auto& [uid, job] : jobs_) {
      if (!job.cancelled_at || late_.contains(uid)) continue;
      if (seconds_between(*job.cancelled_at, Clock::now()) <= world_.cancel_s) continue;
      for (const auto& [index, machines] : job.on) {
        late_.insert(uid);
        broken("ran_cancelled",
               uid + "/" + std::to_string(index) + " is still on " + machines.begin()->first);
      }
    }
  }
  void broken(const std::string& rule, const std::string& what) {
    ++broken_[rule];
    record_.line("BROKEN " + rule + ": " + what);
  }
  std::map<std::string, int> all_broken() {
    const std::lock_guard lock(mutex_);
    return broken_;
  }
  int starts() {
    const std::lock_guard lock(mutex_);
    return starts_;
  }

 private:
  void check_zones(const Job& job, std::uint32_t index, const std::string& name,
                   const std::string& zone) {
    const bool same = job.spec["samePlace"].get<bool>();
    const bool apart = job.spec["apart"].get<bool>();
    if (!same && !apart) return;
    std::map<std::string, std::uint32_t> zones;
    for (const auto& [other, machines] : job.on)
      if (other != index)
        for (const auto& [m, z] : machines) ++zones[z];
    ++zones[zone];
    const auto shards = job.spec["shards"].get<std::uint32_t>();
    if (same && zones.size() > 1) broken("wrong_place", name + " in a second zone, " + zone);
    if (apart && zones[zone] > (shards + 1) / 2)
      broken("wrong_place", name + " is one too many in " + zone);
  }

  const World& world_;
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, double> used_;
  std::map<std::string, int> broken_;
  std::map<std::string, int> lost_;
  std::set<std::string> late_;
  int starts_ = 0;
};

/// One machine's worker.
class Worker {
 public:
  struct Task {
    std::string uid;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    std::string phase;
    std::string cause;
    bool kept = false;
    Time changes;  ///< when the image is there, the run ends or the save is done
  };
  Worker(const World& world, Record& record, Ledger& ledger, std::string name, const Flavor& flavor,
         std::string zone, bool spot, std::size_t target)
      : world_(world),
        record_(record),
        ledger_(ledger),
        name_(std::move(name)),
        flavor_(flavor),
        zone_(std::move(zone)),
        spot_(spot),
        target_(target),
        server_(0, [this](const Request& r) { return serve(r); }),
        renewed_(Clock::now()) {
    std::thread([this] { run_tasks(); }).detach();
    std::thread([this] { report_all(); }).detach();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  /// The machine is gone with all that is on it.
  void end() {
    const std::lock_guard lock(mutex_);
    if (gone_) return;
    gone_ = true;
    drop_all();
    server_.stop();
  }
  /// While it hangs, it executes and answers nothing.
  void hang(bool on) {
    const std::lock_guard lock(mutex_);
    if (on) hung_since_ = Clock::now();
    if (!on) {
      const auto held = Clock::now() - hung_since_;
      for (auto& task : tasks_) task.changes += held;
    }
    hung_ = on;
    record_.line(name_ + (on ? " hangs" : " goes on"));
  }
  /// It cannot reach controllers; direct commands reach it.
  void mute(bool on) { mute_ = on; }
  std::uint64_t tenure() {
    const std::lock_guard lock(mutex_);
    return tenure_;
  }
  std::size_t live_tasks() {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        tasks_.begin(), tasks_.end(), [](const Task& t) { return t.phase != "exited"; }));
  }
  std::size_t largest_report() const { return largest_report_; }
  std::size_t largest_orders() const { return largest_orders_; }

 private:
  void wait_while_hung(std::unique_lock<std::mutex>& lock) {
    while (hung_ && !gone_) {
      lock.unlock();
      pause(0.01);
      lock.lock();
    }
    check_lease();
  }
  void drop_all() {
    for (const auto& task : tasks_)
      if (task.phase == "running" || task.phase == "saving")
        ledger_.ended(task.uid, task.index, name_, false);
    tasks_.clear();
  }
  void check_lease() {
    if (gone_ || seconds_between(renewed_, Clock::now()) <= world_.lease_s) return;
    std::map<std::string, int> lost;
    for (const auto& task : tasks_)
      if (task.phase != "exited") ++lost[task.uid];
    for (const auto& [uid, count] : lost) {
      record_.line(name_ + " lease expired: kills " + std::to_string(count) + " tasks of " + uid);
      ledger_.lost_by_lease(uid, count);
    }
    if (lost.empty()) record_.line(name_ + " lease expired: no tasks");
    drop_all();
    ++tenure_;
    renewed_ = Clock::now();
    changed_ = true;
  }
  void run_tasks() {
    for (;;) {
      pause(0.01);
      const std::lock_guard lock(mutex_);
      if (gone_) return;
      if (hung_) continue;
      check_lease();
      const auto now = Clock::now();
      for (auto& task : tasks_) {
        if (task.phase == "exited" || now < task.changes) continue;
        if (task.phase == "fetching") {
          const auto job = ledger_.find(task.uid);
          images_.insert(job->bundle);
          ledger_.started(task.uid, task.index, name_, flavor_.name, zone_, spot_);
          if (ledger_.completed(task.uid, task.index)) {
            exit(task, "done");
          } else {
            task.phase = "running";
            task.changes = now + span(job->run_s);
          }
        } else {
          task.kept = task.phase == "saving";
          exit(task, task.phase == "saving" ? "halted" : "done");
        }
        changed_ = true;
      }
    }
  }
  void exit(Task& task, const std::string& cause) {
    if (task.phase != "exited") ledger_.ended(task.uid, task.index, name_, cause == "done");
    task.phase = "exited";
    task.cause = cause;
    changed_ = true;
  }
  std::string report() {
    json shards = json::array();
    for (const auto& task : tasks_) {
      json entry{{"shard", task.uid + "/" + std::to_string(task.index)},
                 {"tryNo", task.attempt},
                 {"phase", task.phase}};
      if (task.phase == "exited") entry["cause"] = task.cause;
      if (task.kept) entry["kept"] = true;
      shards.push_back(std::move(entry));
    }
    const json body{{"host", name_},     {"address", address()}, {"flavor", flavor_.name},
                    {"district", zone_}, {"reclaimable", spot_}, {"tenure", tenure_},
                    {"tick", ++tick_},   {"mandate", mandate_},  {"warningS", nullptr},
                    {"shards", shards}};
    return body.dump();
  }
  void raise_mandate(std::uint64_t mandate) {
    if (mandate > mandate_) changed_ = true;
    mandate_ = std::max(mandate_, mandate);
  }
  void report_all() {
    std::map<std::size_t, std::unique_ptr<Client>> clients;
    std::mt19937_64 random{std::random_device{}()};
    auto next = Clock::now();
    auto last = Clock::now() - span(10);
    for (;;) {
      pause(0.01);
      std::unique_lock lock(mutex_);
      if (gone_) return;
      if (hung_) continue;
      const auto now = Clock::now();
      if (now < next && !(changed_ && seconds_between(last, now) >= 0.5 && now >= not_before_))
        continue;
      changed_ = false;
      check_lease();
      const auto body = report();
      const auto tenure = tenure_;
      const auto target = target_;
      largest_report_ = std::max<std::size_t>(largest_report_, body.size());
      last = now;
      if (mute_) {
        target_ = (target_ + 1) % world_.serve_ports.size();
        next = not_before_ = now + span(1);
        continue;
      }
      lock.unlock();
      auto& client = clients[target];
      if (!client) client = std::make_unique<Client>(world_.serve_ports[target]);
      const auto reply = client->call("POST", "/hello", body, 4);
      lock.lock();
      wait_while_hung(lock);
      if (gone_) return;
      const auto answered = Clock::now();
      const bool in_time = seconds_between(now, answered) <= 4;
      next =
          answered + span(world_.report_s * std::uniform_real_distribution<>(0.75, 1.25)(random));
      not_before_ = answered;
      if (in_time && reply.status == 200) {
        const auto answer = json::parse(reply.body, nullptr, false);
        if (tenure != tenure_ || !answer.is_object() || !answer.contains("mandate")) continue;
        const auto mandate = answer["mandate"].get<std::uint64_t>();
        if (mandate < mandate_) continue;
        largest_orders_ = std::max<std::size_t>(largest_orders_, reply.body.size());
        raise_mandate(mandate);
        renewed_ = now;
        execute(answer["orders"], "in a response");
        continue;
      }
      record_.line(name_ + " report of " + std::to_string(body.size()) + " bytes to " +
                   world_.labels[target] + " got " + std::to_string(reply.status));
      const auto answer = json::parse(reply.body, nullptr, false);
      const auto home = answer.is_object() ? answer.value("home", "") : "";
      const auto there = static_cast<std::size_t>(
          std::find(world_.labels.begin(), world_.labels.end(), home) - world_.labels.begin());
      if (reply.status == 421 && there < world_.labels.size() && there != target) {
        client->disconnect();
        target_ = there;
        next = answered + span(std::uniform_real_distribution<>(0, 0.5)(random));
      } else {
        client->disconnect();
        target_ = (target + 1) % world_.serve_ports.size();
        next = answered + span(1);
        not_before_ = next;
      }
    }
  }
  Reply serve(const Request& r) {
    std::unique_lock lock(mutex_);
    wait_while_hung(lock);
    if (gone_) return {0, {}};
    if (r.path == "/show") return {200, report()};
    if (r.path != "/orders") return {404, "{}"};
    largest_orders_ = std::max<std::size_t>(largest_orders_, r.body.size());
    if (r.body.size() > 64 * 1024) {
      record_.line(name_ + " refuses a request of " + std::to_string(r.body.size()) + " bytes");
      return {413, "{}"};
    }
    const auto body = json::parse(r.body, nullptr, false);
    if (!body.is_object() || !body.contains("mandate") || !body.contains("tenure"))
      return {400, "{}"};
    if (body["mandate"].get<std::uint64_t>() < mandate_ ||
        body["tenure"].get<std::uint64_t>() != tenure_)
      return {409, report()};
    raise_mandate(body["mandate"].get<std::uint64_t>());
    execute(body["orders"], "directly");
    return {200, report()};
  }
  double free_cpus() {
    double free = flavor_.cpus;
    for (const auto& task : tasks_)
      if (task.phase != "exited") free -= cpus_.at(task.uid);
    return free;
  }
  void execute(const json& orders, const char* how) {
    for (const auto& order : orders) {
      const auto verb = order.at("verb").get<std::string>();
      const auto shard = order.at("shard").get<std::string>();
      const auto attempt = order.at("tryNo").get<std::uint64_t>();
      const auto slash = shard.find('/');
      const auto uid = shard.substr(0, slash);
      const auto index =
          static_cast<std::uint32_t>(std::strtoul(shard.c_str() + slash + 1, nullptr, 10));
      const auto it = std::find_if(tasks_.begin(), tasks_.end(), [&](const Task& t) {
        return t.attempt == attempt && t.index == index && t.uid == uid;
      });
      if (verb == "run" && it == tasks_.end()) {
        run(uid, index, attempt);
      } else if (verb == "kill" && it != tasks_.end() && it->phase != "exited") {
        kill(*it, order.value("windDownS", 0.0));
      } else if (verb == "clear" && it != tasks_.end() && it->phase == "exited") {
        tasks_.erase(it);
      }
      if (verbose) record_.line(name_ + " " + verb + " " + shard + " " + how);
    }
  }
  void run(const std::string& uid, std::uint32_t index, std::uint64_t attempt) {
    Task task{uid, index, attempt, "fetching", {}, false, Clock::now()};
    const auto job = ledger_.find(uid);
    const bool twice = std::any_of(tasks_.begin(), tasks_.end(), [&](const Task& t) {
      return t.uid == uid && t.index == index && t.phase != "exited";
    });
    if (job) cpus_[uid] = job->cpus;
    changed_ = true;
    if (!job || index >= job->shards)
      task.cause = "no_such";
    else if (twice)
      task.cause = "in_use";
    else if (free_cpus() + 1e-6 < cpus_[uid])
      task.cause = "full";
    if (!task.cause.empty())
      task.phase = "exited";
    else if (!images_.contains(job->bundle))
      task.changes += span(job->size_gb / flavor_.fetch_gb_per_s);
    tasks_.push_back(task);
  }
  void kill(Task& task, double wind_down_s) {
    const auto job = ledger_.find(task.uid);
    const double cost = job->snapshot_cost_s;
    if (task.phase == "running" && job->snapshot_every_s > 0 && wind_down_s >= cost && cost > 0) {
      task.phase = "saving";
      task.changes = Clock::now() + span(cost);
      changed_ = true;
    } else if (task.phase != "saving" || wind_down_s == 0) {
      exit(task, "halted");
    }
  }

 public:
  bool verbose = false;

 private:
  const World& world_;
  Record& record_;
  Ledger& ledger_;
  std::string name_;
  Flavor flavor_;
  std::string zone_;
  bool spot_;
  std::mutex mutex_;
  std::vector<Task> tasks_;
  std::map<std::string, double> cpus_;
  std::set<std::string> images_;
  std::uint64_t tenure_ = 1;
  std::uint64_t tick_ = 0;
  std::uint64_t mandate_ = 0;
  std::size_t target_ = 0;
  bool changed_ = false;
  bool hung_ = false;
  bool gone_ = false;
  std::atomic<bool> mute_{false};
  std::atomic<std::size_t> largest_report_{0};
  std::atomic<std::size_t> largest_orders_{0};
  Time hung_since_;
  Time not_before_;
  Server server_;
  Time renewed_;
};

/// The cloud's interface. All machines come up after `ready_s`.
class Cloud {
 public:
  Cloud(const World& world, Record& record, Ledger& ledger, std::map<std::string, int> capacity)
      : world_(world),
        record_(record),
        ledger_(ledger),
        capacity_(std::move(capacity)),
        server_(0, [this](const Request& r) { return handle(r); }) {}
  int port() const { return server_.port(); }
  std::vector<std::shared_ptr<Worker>> workers() {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<Worker>> out;
    for (const auto& [name, machine] : machines_)
      if (machine.worker && !machine.gone && !machine.died) out.push_back(machine.worker);
    return out;
  }
  /// The machine stops with all that is on it. It stays listed as running for 30 s, then as failed.
  void stop(const std::string& host) {
    const std::lock_guard lock(mutex_);
    auto& machine = machines_.at(host);
    record_.line(host + " stops with " + std::to_string(machine.worker->live_tasks()) + " tasks");
    machine.died = Clock::now();
    machine.worker->end();
  }
  /// How many more machines can be rented of `flavor/zone` or `flavor/zone/spot`.
  int left(const std::string& kind) {
    const std::lock_guard lock(mutex_);
    return capacity_[kind];
  }
  void set_verbose() { verbose_ = true; }
  void set_outage(bool on) { outage_ = on; }
  int released() const { return released_; }

 private:
  struct Machine {
    const Flavor* flavor = nullptr;
    std::string zone;
    bool spot = false;
    Time rented;
    std::optional<Time> up;
    std::optional<Time> died;
    std::optional<Time> gone;
    std::shared_ptr<Worker> worker;
  };
  Reply handle(const Request& r) {
    pause(0.05);
    const auto path = r.path.substr(0, r.path.find('?'));
    const auto body = r.body.empty() ? json::object() : json::parse(r.body, nullptr, false);
    if (outage_) return {503, json{{"error", "trouble"}}.dump()};
    const std::lock_guard lock(mutex_);
    if (path == "/catalog") {
      json flavors = json::array();
      for (const auto& f : world_.flavors)
        flavors.push_back({{"name", f.name},
                           {"cpus", f.cpus},
                           {"accelerators", 0},
                           {"ramGb", f.ram_gb},
                           {"localGb", 70.0},
                           {"fetchGbPerS", f.fetch_gb_per_s},
                           {"hourly", 0.38},
                           {"lowPrice", 0.1},
                           {"readyS", f.ready_s},
                           {"districts", f.districts}});
      return {200, json{{"flavors", flavors}}.dump()};
    }
    if (path == "/machines" && r.method == "POST") return hire(body);
    if (path == "/machines/release") return release(body);
    if (path == "/machines") return list(r.path);
    return {400, "{}"};
  }
  Reply hire(const json& body) {
    const auto name = body.at("hire").get<std::string>();
    if (const auto it = hires_.find(name); it != hires_.end()) return {200, it->second};
    const auto flavor = body.at("flavor").get<std::string>();
    const auto zone = body.at("district").get<std::string>();
    const bool spot = body.at("reclaimable").get<bool>();
    auto& left = capacity_[flavor + "/" + zone + (spot ? "/spot" : "")];
    const int count = std::min(left, body.at("howMany").get<int>());
    if (count == 0) return {503, json{{"error", "no capacity"}}.dump()};
    left -= count;
    json hosts = json::array();
    for (int i = 0; i < count; ++i) {
      char host[16];
      std::snprintf(host, sizeof host, "n-%06d", ++last_);
      auto& machine = machines_[host];
      for (const auto& f : world_.flavors)
        if (f.name == flavor) machine.flavor = &f;
      machine.zone = zone;
      machine.spot = spot;
      machine.rented = Clock::now();
      hosts.push_back(host);
      std::thread([this, host = std::string(host)] { boot(host); }).detach();
    }
    record_.line("cloud: hire " + name + ": " + hosts.dump() + " " + flavor + " in " + zone +
                 (spot ? " spot" : ""));
    hires_[name] = json{{"hosts", hosts}}.dump();
    return {200, hires_[name]};
  }
  void boot(const std::string& host) {
    double ready = 0;
    {
      const std::lock_guard lock(mutex_);
      ready = machines_.at(host).flavor->ready_s;
    }
    pause(ready);
    const std::lock_guard lock(mutex_);
    auto& machine = machines_.at(host);
    if (machine.gone) return;
    machine.up = Clock::now();
    machine.worker =
        std::make_shared<Worker>(world_, record_, ledger_, host, *machine.flavor, machine.zone,
                                 machine.spot, (++next_target_) % world_.labels.size());
    machine.worker->verbose = verbose_;
    kept_.push_back(machine.worker);  // its threads use it until the process ends
  }
  Reply release(const json& body) {
    for (const auto& host : body.at("hosts")) {
      const auto it = machines_.find(host.get<std::string>());
      if (it == machines_.end() || it->second.gone) continue;
      auto& machine = it->second;
      record_.line("cloud: release " + it->first +
                   (machine.worker
                        ? " with " + std::to_string(machine.worker->live_tasks()) + " live tasks"
                        : ""));
      machine.gone = Clock::now();
      ++capacity_[machine.flavor->name + "/" + machine.zone + (machine.spot ? "/spot" : "")];
      ++released_;
      if (machine.worker) machine.worker->end();
    }
    return {200, "{}"};
  }
  Reply list(const std::string& path) {
    const auto at = Clock::now() - span(world_.list_lag_s);
    const auto found = path.find("from=");
    const auto from =
        found == std::string::npos ? "" : path.substr(found + 5, path.find('&', found) - found - 5);
    json hosts = json::array();
    for (const auto& [name, machine] : machines_) {
      if (name <= from || machine.rented > at || (machine.gone && *machine.gone <= at)) continue;
      const bool up = machine.up && *machine.up <= at;
      hosts.push_back({{"uid", name},
                       {"address", machine.worker ? machine.worker->address() : "127.0.0.1:1"},
                       {"flavor", machine.flavor->name},
                       {"district", machine.zone},
                       {"reclaimable", machine.spot},
                       {"phase", machine.died && *machine.died + span(30) <= at ? "failed"
                                 : up                                           ? "running"
                                                                                : "booting"},
                       {"heldS", seconds_between(machine.rented, at)}});
    }
    return {200, json{{"hosts", hosts}, {"truncated", false}}.dump()};
  }

  const World& world_;
  Record& record_;
  Ledger& ledger_;
  std::mutex mutex_;
  std::map<std::string, int> capacity_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> hires_;
  std::vector<std::shared_ptr<Worker>> kept_;
  int last_ = 0;
  std::size_t next_target_ = 0;
  bool verbose_ = false;
  std::atomic<bool> outage_{false};
  std::atomic<int> released_{0};
  Server server_;
};
}  // namespace standin

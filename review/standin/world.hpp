#pragma once
// A small deployment on loopback: settings of three controllers, the stand-ins around them, users.
#include <fstream>

#include <signal.h>

#include "fleet.hpp"

namespace standin {
/// Forwards connections to a port. While it holds, bytes wait and arrive afterwards; while it
/// refuses, connections are reset.
class Proxy {
 public:
  enum class Mode { Pass, Hold, Refuse };
  explicit Proxy(int to) : to_(to) {
    fd_ = listen_on(port_);
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_; }
  void set(Mode mode) { mode_ = mode; }

 private:
  static void reset(int fd) {
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  void accept_all() {
    for (;;) {
      const int from = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (from < 0) continue;
      std::thread([this, from] { forward(from); }).detach();
    }
  }
  void forward(int from) {
    while (mode_ == Mode::Hold) pause(0.01);
    const int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(to_);
    if (mode_ == Mode::Refuse ||
        connect(to, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      reset(from);
      close(from);
      close(to);
      return;
    }
    const int one = 1;
    setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    std::atomic<bool> ended{false};
    std::thread back([&] { pump(to, from, ended); });
    pump(from, to, ended);
    back.join();
    if (mode_ == Mode::Refuse) {
      reset(from);
      reset(to);
    }
    close(from);
    close(to);
  }
  void pump(int from, int to, std::atomic<bool>& ended) {
    char buffer[16384];
    while (!ended && mode_ != Mode::Refuse) {
      if (!wait_for(from, POLLIN, Clock::now() + span(0.05))) continue;
      const auto n = recv(from, buffer, sizeof buffer, MSG_DONTWAIT);
      if (n < 0 && errno == EAGAIN) continue;
      while (mode_ == Mode::Hold) pause(0.005);
      if (n <= 0 ||
          !send_all(to, std::string(buffer, static_cast<std::size_t>(n)), Clock::now() + span(60)))
        break;
    }
    ended = true;
    shutdown(to, SHUT_RDWR);
  }
  int to_;
  int port_ = 0;
  int fd_ = -1;
  std::atomic<Mode> mode_{Mode::Pass};
};

/// A user's job. The defaults are those of a short batch job.
struct JobShape {
  std::string workload = "gis-sync";
  std::string team = "water-assets";
  std::string shape = "batch";
  std::string rank = "standard";
  int shards = 1;
  double cpus = 2;
  double ram_gb = 1;
  std::string bundle = "img-01";
  double size_gb = 0.5;
  bool same_place = false;
  bool apart = false;
  bool reclaimable = false;
  std::string district;  ///< empty: any
  double expect_s = 20;
  double snapshot_every_s = 0;
  double snapshot_cost_s = 0;
  double run_s = 20;  ///< how long its tasks really run; workers alone know it
};

class Deployment {
 public:
  Deployment(World w, StoreLimits limits, std::map<std::string, int> capacity, std::string dir,
             const std::string& record_path)
      : dir(std::move(dir)),
        record(record_path),
        world(std::move(w)),
        store(limits),
        ledger(world, record),
        limits_(limits) {
    world.labels = {"drover-0", "drover-1", "drover-2"};
    std::vector<int> reserved;
    for (int i = 0; i < 6; ++i) {
      int port = 0;
      reserved.push_back(listen_on(port));
      (i < 3 ? direct_ports_ : back_ports_).push_back(port);
    }
    for (const int fd : reserved) close(fd);
    for (std::size_t i = 0; i < 3; ++i) {
      worker_links.push_back(std::make_unique<Proxy>(direct_ports_[i]));
      user_links.push_back(std::make_unique<Proxy>(direct_ports_[i]));
      world.serve_ports.push_back(worker_links.back()->port());
      store_ports_.push_back(store.serve(static_cast<int>(i)));
      for (std::size_t j = 0; j < 3; ++j)
        peer_links[{i, j}] = std::make_unique<Proxy>(back_ports_[j]);
    }
    cloud = std::make_unique<Cloud>(world, record, ledger, std::move(capacity));
    for (std::size_t i = 0; i < 3; ++i) write_settings(i);
    std::ofstream(this->dir + "/settings-written") << "1\n";
    std::thread([this] {
      while (record.now() < 112) {
        pause(0.1);
        ledger.check_cancelled();
      }
      give_up("it took too long");
    }).detach();
  }

  /// Waits until all controllers are ready. Returns false if they are not after `s` seconds.
  bool wait_ready(double s) {
    const auto end = Clock::now() + span(s);
    std::size_t ready = 0;
    while (Clock::now() < end) {
      ready = 0;
      for (std::size_t i = 0; i < 3; ++i) {
        Client client(user_links[i]->port());
        if (client.call("GET", "/ready", "", 1).status == 200) ++ready;
      }
      if (ready == 3) return true;
      pause(0.2);
    }
    record.line("only " + std::to_string(ready) + " controllers are ready");
    return false;
  }
  pid_t pid(std::size_t controller) const {
    std::ifstream in(dir + "/pid-" + std::to_string(controller));
    pid_t pid = 0;
    in >> pid;
    return pid;
  }
  void signal_controller(std::size_t controller, int number) {
    const auto target = pid(controller);
    record.line("signal " + std::to_string(number) + " to " + world.labels[controller]);
    if (target > 1) ::kill(target, number);
  }
  /// The label of the controller that leads; empty if there is none.
  std::optional<std::size_t> leader() {
    const auto value = store.value("w/leader");
    if (!value) return std::nullopt;
    for (std::size_t i = 0; i < 3; ++i)
      if (value->dump().find(world.labels[i]) != std::string::npos) return i;
    return std::nullopt;
  }

  /// The links between controllers, all of them.
  void set_peer_links(Proxy::Mode mode) {
    record.line(mode == Proxy::Mode::Pass ? "controllers reach each other again"
                                          : "connections between controllers are refused");
    for (auto& [ends, link] : peer_links) link->set(mode);
  }
  std::shared_ptr<Worker> worker(const std::string& name) {
    for (auto& worker : cloud->workers())
      if (worker->name() == name) return worker;
    return nullptr;
  }
  /// Waits until that many tasks of the job are on machines.
  bool wait_running(const std::string& uid, std::size_t tasks, double s) {
    const auto end = Clock::now() + span(s);
    while (Clock::now() < end) {
      if (ledger.tasks_on_machines(uid) >= tasks) return true;
      pause(0.1);
    }
    record.line(uid + ": only " + std::to_string(ledger.tasks_on_machines(uid)) +
                " tasks are on machines");
    return false;
  }
  /// Writes the result and ends the process: 1 if a rule was broken, else 0.
  [[noreturn]] void finish() {
    const auto all = ledger.all_broken();
    for (const auto& [rule, count] : all)
      record.line("result: " + rule + " broken, " + std::to_string(count) + " times");
    if (all.empty()) record.line("result: no rule broken");
    std::fflush(nullptr);
    _exit(all.empty() ? 0 : 1);
  }
  /// The case could not be set up.
  [[noreturn]] void give_up(const std::string& why) {
    record.line("result: could not run: " + why);
    std::fflush(nullptr);
    _exit(2);
  }

  std::string add_job(const JobShape& j) {
    char uid[20];
    std::snprintf(uid, sizeof uid, "wk-%06d", ++last_job_);
    const json spec{{"uid", uid},
                    {"workload", j.workload},
                    {"owner", j.team},
                    {"shape", j.shape},
                    {"rank", j.rank},
                    {"shards", j.shards},
                    {"cpus", j.cpus},
                    {"accelerators", 0.0},
                    {"ramGb", j.ram_gb},
                    {"bundle", j.bundle},
                    {"sizeGb", j.size_gb},
                    {"flavors", nullptr},
                    {"district", j.district.empty() ? json() : json(j.district)},
                    {"samePlace", j.same_place},
                    {"apart", j.apart},
                    {"reclaimable", j.reclaimable},
                    {"expectS", j.expect_s},
                    {"snapshotEveryS", j.snapshot_every_s},
                    {"snapshotCostS", j.snapshot_cost_s},
                    {"dueS", nullptr}};
    const std::lock_guard lock(mutex_);
    ledger.add(spec, j.run_s);
    specs_[uid] = spec.dump();
    return uid;
  }
  /// One request of a user to one controller.
  Reply request(std::size_t controller, const std::string& what, const std::string& uid) {
    std::string body;
    {
      const std::lock_guard lock(mutex_);
      body = specs_.contains(uid) ? specs_[uid] : std::string();
    }
    const auto then = ledger.known(uid);
    if (what == "abort") ledger.ask_cancel(uid);
    Client client(user_links[controller]->port());
    const auto reply = what == "submit" ? client.call("POST", "/submissions", body, 5)
                       : what == "poll"
                           ? client.call("GET", "/submissions/" + uid, "", 2)
                           : client.call("POST", "/submissions/" + uid + "/abort", "", 5);
    record.line("user: " + what + " " + uid + " at " + world.labels[controller] + ": " +
                std::to_string(reply.status) + " " + reply.body);
    ledger.answered(what, uid, then, reply);
    return reply;
  }
  /// Repeats a request at one controller after the other until it gets 200 or 201, for 60 s.
  bool insist(const std::string& what, const std::string& uid, std::size_t first = 0) {
    const auto end = Clock::now() + span(60);
    for (std::size_t i = first; Clock::now() < end; ++i) {
      const auto reply = request(i % 3, what, uid);
      if (reply.status == 200 || reply.status == 201) return true;
      if (reply.status == 400 || reply.status == 422) return false;
      pause(1);
    }
    return false;
  }

  std::string dir;
  Record record;
  World world;
  Store store;
  Ledger ledger;
  std::unique_ptr<Cloud> cloud;
  std::vector<std::unique_ptr<Proxy>> worker_links;
  std::vector<std::unique_ptr<Proxy>> user_links;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<Proxy>> peer_links;

 private:
  void write_settings(std::size_t i) {
    json others = json::array();
    for (std::size_t j = 0; j < 3; ++j)
      if (j != i)
        others.push_back({{"label", world.labels[j]},
                          {"domain", world.zones[j % world.zones.size()]},
                          {"endpoint", "127.0.0.1:" + std::to_string(peer_links[{i, j}]->port())}});
    json teams = json::array();
    for (const auto& [name, team] : world.teams)
      teams.push_back({{"name", name},
                       {"cpus", team.cpus},
                       {"cpus_max", team.cpus_max},
                       {"gpus", 0.0},
                       {"gpus_max", 0.0}});
    const json settings{{"label", world.labels[i]},
                        {"domain", world.zones[i % world.zones.size()]},
                        {"serve_on", "127.0.0.1:" + std::to_string(direct_ports_[i])},
                        {"back", "127.0.0.1:" + std::to_string(back_ports_[i])},
                        {"others", others},
                        {"outside",
                         {{"cloud", "127.0.0.1:" + std::to_string(cloud->port())},
                          {"state", "127.0.0.1:" + std::to_string(store_ports_[i])}}},
                        {"settings",
                         {{"size", 3},
                          {"zones", world.zones},
                          {"teams", teams},
                          {"objectives", json::array()},
                          {"workers",
                           {{"report_s", world.report_s},
                            {"lease_s", world.lease_s},
                            {"gang_wait_s", 30.0},
                            {"gang_peer_s", 4.0},
                            {"cancel_s", world.cancel_s}}},
                          {"state",
                           {{"rps", limits_.rps},
                            {"write_rps", limits_.write_rps},
                            {"value_kb", static_cast<double>(limits_.value_bytes) / 1024},
                            {"txn_ops", limits_.txn_ops}}},
                          {"cloud", {{"rps", world.cloud_rps}, {"list_lag_s", world.list_lag_s}}},
                          {"limits", {{"cpu", 0.12}, {"mem_mb", 72.0}, {"max_connections", 1500}}},
                          {"skew_ms", 1000.0}}}};
    std::ofstream(dir + "/settings-" + std::to_string(i) + ".json") << settings.dump(1) << "\n";
  }

  StoreLimits limits_;
  std::mutex mutex_;
  std::map<std::string, std::string> specs_;
  int last_job_ = 0;
  std::vector<int> direct_ports_;
  std::vector<int> back_ports_;
  std::vector<int> store_ports_;
};

inline bool with_trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

/// The settings of the water utility's deployment, as BRIEF has them. Machines boot faster.
inline World waterworks() {
  World w;
  w.teams = {{"water-assets", {192, 576}}, {"corrosion-lab", {288, 672}}};
  w.flavors = {{"cedar", 8, 16, 2, 0.5, {"fraser", "burrard"}},
               {"fir", 16, 64, 2, 0.5, {"fraser", "kootenay", "burrard"}}};
  return w;
}

/// The settings of the map archive's deployment, as BRIEF has them. Machines boot faster.
inline World mapvault() {
  World w;
  w.zones = {"taipei-north", "tainan-south"};
  w.teams = {{"cartography-desk", {0, 0}}};
  w.flavors = {{"banyan", 16, 64, 2, 0.5, {"taipei-north", "tainan-south"}},
               {"camphor", 32, 128, 2, 0.5, {"taipei-north", "tainan-south"}}};
  w.report_s = 3;
  w.lease_s = 27;
  w.cancel_s = 47;
  w.list_lag_s = 5;
  w.cloud_rps = 8;
  return w;
}
inline StoreLimits mapvault_store() { return {120, 30, 8 * 1024, 12}; }
}  // namespace standin

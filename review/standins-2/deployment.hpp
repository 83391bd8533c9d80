#pragma once
// Three controllers as processes of their own, started with the command of the deploy file, and the
// users who talk to them.
#include <sys/types.h>

#include "cloud.hpp"
#include "store.hpp"

namespace standins {
struct DeploymentSettings {
  std::string command;    ///< `run` of the deploy file; the settings file is appended
  std::string directory;  ///< a temporary directory for settings and logs
  std::vector<std::string> districts{"fraser", "kootenay", "burrard"};
  WorkerSettings workers;
  double cancel_s = 37;
  json teams;
  json state{{"rps", 150.0}, {"write_rps", 60.0}, {"value_kb", 32.0}, {"txn_ops", 24}};
  CloudSettings cloud;
  std::string log_level = "error";
};

class Deployment {
 public:
  static constexpr int kNodes = 3;
  explicit Deployment(DeploymentSettings settings);
  ~Deployment();
  void start(int node);
  void signal(int node, int number) const;
  /// Kills the process and waits for its end.
  void kill_node(int node);
  /// Whether the process has ended by itself.
  bool ended(int node);
  int serve_port(int node) const { return serve_[static_cast<std::size_t>(node)]; }
  bool ready(int node) const;
  /// Waits until all controllers are ready and `machines` machines are registered.
  bool wait_until_ready(std::size_t machines, double timeout);
  /// The controller that leads according to the store; -1 if there is none.
  int leader();
  /// The link from one controller to another.
  Proxy& link(int from, int to);
  /// Cuts a controller from the other controllers, in both directions.
  void set_links(int node, Proxy::Mode mode);
  void set_links(int a, int b, Proxy::Mode mode);

  World& world() { return world_; }
  Store& store() { return store_; }
  Cloud& cloud() { return *cloud_; }

  // Users.

  /// Submits until the job is accepted or the time is over.
  bool submit(const Job& job, int node, double timeout = 60);
  /// Asks to cancel until it is answered; `node` -1: at each node in turn.
  bool cancel(const std::string& uid, int node, double timeout = 60);
  Response poll(const std::string& uid, int node, double timeout = 2);

 private:
  void write_settings(int node) const;
  std::string path(int node, const std::string& extension) const;
  DeploymentSettings settings_;
  World world_;
  Store store_;
  std::vector<int> serve_, back_;
  std::vector<pid_t> pids_;
  std::map<std::pair<int, int>, std::unique_ptr<Proxy>> links_;
  std::unique_ptr<Cloud> cloud_;
};
}  // namespace standins

#pragma once
// A worker and its machine, by PROTOCOL-limemast.md.
#include <condition_variable>
#include <memory>

#include "world.hpp"

namespace standins {
struct MachineType {
  std::string name;
  double cpus = 16;
  double ram_gb = 64;
};

struct WorkerSettings {
  double report_s = 2;
  double lease_s = 12;
};

class Worker {
 public:
  /// `nodes`: the ports of the controllers, in the order in which the worker tries them.
  Worker(World& world, std::string name, MachineType type, std::string district, bool spot,
         WorkerSettings settings, std::vector<int> nodes, std::size_t first_node);
  const std::string& name() const { return name_; }
  const MachineType& type() const { return type_; }
  const std::string& district() const { return district_; }
  bool spot() const { return spot_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }
  /// Whether the worker can open connections to this controller.
  void set_reaches(std::size_t node, bool reaches) { *reaches_[node] = reaches; }
  /// Whether direct commands reach the worker; otherwise they get no response.
  void set_deaf(bool deaf) { deaf_ = deaf; }
  /// The machine hangs: nothing runs and nothing is answered.
  void hang(double seconds) { hangs_until_ = now() + seconds; }
  /// The machine is gone, with everything on it.
  void take_away();
  std::size_t node() const { return node_; }
  /// Number of the session; it grows when the lease has expired.
  std::uint64_t session();
  /// Size of the last report that a controller refused with 413; 0 if none was.
  std::size_t refused_as_too_large() const { return too_large_; }
  /// Size of the largest response or direct request that a controller has sent.
  std::size_t largest_message() const { return largest_message_; }
  std::size_t live_tasks();
  /// Whether the machine has free resources for a task of the job.
  bool has_room_for(const Job& job);

 private:
  struct Task {
    std::string shard;
    std::uint64_t attempt = 0;
    std::string phase;
    std::string cause;
    bool kept = false;
    double until = 0;  ///< when the phase ends
    Job job;
  };
  Response serve(const Request& request);
  void report_loop();
  void task_loop();
  void report_once();
  void apply(const json& orders);
  void run(const std::string& shard, std::uint64_t attempt);
  void stop(Task& task, double wind_down);
  void exit(Task& task, const std::string& cause, bool kept = false);
  void advance_tasks();
  void check_lease();
  json report();
  bool hangs() const { return now() < hangs_until_; }
  void changed() { change_ = true; }

  World& world_;
  const std::string name_;
  const MachineType type_;
  const std::string district_;
  const bool spot_;
  const WorkerSettings settings_;
  const std::vector<int> nodes_;
  std::vector<std::unique_ptr<std::atomic<bool>>> reaches_;
  std::atomic<std::size_t> node_;
  std::atomic<bool> deaf_{false};
  std::atomic<bool> gone_{false};
  std::atomic<bool> change_{false};
  std::atomic<double> hangs_until_{0};
  std::atomic<std::size_t> too_large_{0};
  std::atomic<std::size_t> largest_message_{0};

  std::mutex mutex_;
  std::vector<Task> tasks_;
  std::set<std::string> images_;
  std::uint64_t tenure_ = 1;
  std::uint64_t tick_ = 0;
  std::uint64_t mandate_ = 0;
  double last_answered_sent_ = 0;  ///< or the beginning of the session
  double next_report_ = 0;
  double last_report_ = -1;
  double last_token_change_ = -100;
  std::unique_ptr<HttpServer> server_;
};
}  // namespace standins

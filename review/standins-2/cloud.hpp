#pragma once
// The cloud, by PROTOCOL-limemast.md: catalogue, rentals, list and releases.
#include "worker.hpp"

namespace standins {
struct CloudSettings {
  std::vector<MachineType> types;
  std::vector<std::string> districts;
  double boot_s = 3;
  double list_lag_s = 5;
  std::map<std::string, std::size_t> capacity;  ///< machines that a district can have at once
  std::size_t spot_capacity = 0;                ///< spot machines among those of all districts
  WorkerSettings workers;
};

class Cloud {
 public:
  Cloud(World& world, CloudSettings settings, std::vector<int> nodes);
  int port() const { return server_->port(); }
  /// Adds a machine that is up and reports to this controller.
  Worker& add(const std::string& type, const std::string& district, std::size_t node,
              bool spot = false, double held_s = 100);
  std::vector<Worker*> workers();
  Worker* worker(const std::string& name);
  /// The machine is taken away without a notice.
  void take_away(const std::string& name);
  void set_spot_capacity(std::size_t capacity) { spot_capacity_ = capacity; }
  void set_outage(bool outage) { outage_ = outage; }

 private:
  struct Machine {
    std::string type;
    std::string district;
    bool spot = false;
    double rented_at = 0;
    double up_at = 0;
    double gone_at = -1;
    std::unique_ptr<Worker> worker;
  };
  Response handle(const Request& request);
  Response hire(const json& body);
  Response release(const json& body);
  Response list(const std::string& path);
  const MachineType& type(const std::string& name) const;
  std::string next_name();
  void boot_loop();

  World& world_;
  CloudSettings settings_;
  std::vector<int> nodes_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> hires_;  ///< the answers
  unsigned next_ = 1;
  std::atomic<std::size_t> spot_capacity_;
  std::atomic<bool> outage_{false};
  std::unique_ptr<HttpServer> server_;
};
}  // namespace standins

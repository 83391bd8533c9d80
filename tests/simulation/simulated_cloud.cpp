// The cloud's API launches and terminates machines and lists them with a delay.
#include <algorithm>
#include <cmath>

#include "simulation/simulated_cluster.hpp"
#include "simulation/simulation_constants.hpp"

namespace limemast::simulation {
void SimulatedCluster::record_machine_list() {
  json hosts = json::array();
  for (const auto& [name, w] : workers_)
    if (!w.terminated)
      hosts.push_back({{"uid", name},
                       {"address", w.address},
                       {"flavor", w.type},
                       {"district", w.zone},
                       {"reclaimable", w.spot},
                       {"phase", w.up                                            ? "running"
                                 : !w.died_at                                    ? "booting"
                                 : world_.now() - *w.died_at > kFailureListDelay ? "failed"
                                                                                 : "running"},
                       {"heldS", net::to_seconds(world_.now() - w.launched_at).count()}});
  machine_lists_.push_front({{"hosts", hosts}, {"truncated", false}});
  if (machine_lists_.size() > 2 * kListLagS + 1) machine_lists_.pop_back();
  world_.after(1s, [this] { record_machine_list(); });
}

void SimulatedCluster::handle_cloud_request(const net::HttpRequest& r,
                                            const StateService::Answer& answer) {
  if (cloud_down_) return answer({503, true, R"({"error":"trouble"})"});
  const auto body = json::parse(r.body, nullptr, false);
  if (r.path == "/catalog") {
    json flavors = json::array();
    for (const auto& k : kMachineTypes)
      flavors.push_back({{"name", k.name},
                         {"cpus", k.cpus},
                         {"accelerators", 0},
                         {"ramGb", k.ram},
                         {"localGb", 50},
                         {"fetchGbPerS", 0.5},
                         {"hourly", k.cpus * 0.05},
                         {"lowPrice", k.cpus * 0.015},
                         {"readyS", 8},
                         {"districts", settings_.zones}});
    return answer({200, true, json{{"flavors", flavors}}.dump()});
  }
  if (r.method == "GET")
    return answer({200, true, machine_lists_[world_.below(machine_lists_.size())].dump()});
  if (r.path == "/machines") {
    const auto name = body.at("hire").get<std::string>();
    if (auto it = launches_.find(name); it != launches_.end())
      return answer({200, true, it->second.dump()});
    const auto type = body.at("flavor").get<std::string>();
    const auto zone = body.at("district").get<std::string>();
    const bool spot = body.at("reclaimable").get<bool>();
    auto rented =
        static_cast<std::size_t>(std::count_if(workers_.begin(), workers_.end(), [&](auto& w) {
          return !w.second.terminated && w.second.type == type && w.second.zone == zone &&
                 w.second.spot == spot;
        }));
    json hosts = json::array();
    for (auto n = body.at("howMany").get<std::size_t>();
         n > 0 && rented < pool_size(type, zone, spot); --n, ++rented) {
      char text[16];
      std::snprintf(text, sizeof text, "n-%06u", static_cast<unsigned>(next_machine_++));
      auto& w = workers_[text];
      w.name = text;
      w.type = type;
      w.zone = zone;
      w.spot = spot;
      w.address = w.name + ":9000";
      w.launched_at = world_.now();
      hosts.push_back(w.name);
      if (!world_.chance(options_.boot_failure_share))
        world_.after(seconds(world_.uniform(options_.min_boot_s, options_.max_boot_s)),
                     [this, name = w.name] { boot(name); });
    }
    if (hosts.empty()) return answer({503, true, R"({"error":"no capacity"})"});
    launches_[name] = {{"hosts", hosts}};
    return answer({200, true, launches_[name].dump()});
  }
  for (const auto& host : body.at("hosts"))
    if (auto it = workers_.find(host.get<std::string>()); it != workers_.end())
      remove_worker(it->second);
  answer({200, true, "{}"});
}

std::size_t SimulatedCluster::pool_size(const std::string& type, const std::string& zone,
                                        bool spot) const {
  const auto it = pool_sizes_.find({type, zone, spot});
  return it == pool_sizes_.end() ? options_.machines_per_pool : it->second;
}

void SimulatedCluster::boot(const std::string& name) {
  auto& w = workers_.at(name);
  if (w.terminated) return;
  w.up = true;
  w.last_acknowledged_at = world_.now();
  w.heartbeat_target = world_.below(nodes_.size());
  send_heartbeat(name);
}

void SimulatedCluster::remove_worker(Worker& w) {
  if (w.terminated) return;
  drop_all_tasks(w);
  w.terminated = true;
  w.up = false;
  w.while_hung.clear();
}
}  // namespace limemast::simulation

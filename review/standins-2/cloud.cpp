#include "cloud.hpp"

namespace standins {
Cloud::Cloud(World& world, CloudSettings settings, std::vector<int> nodes)
    : world_(world),
      settings_(std::move(settings)),
      nodes_(std::move(nodes)),
      spot_capacity_(settings_.spot_capacity) {
  server_ = std::make_unique<HttpServer>([this](const Request& r) { return handle(r); });
  std::thread([this] { boot_loop(); }).detach();
}

const MachineType& Cloud::type(const std::string& name) const {
  for (const auto& one : settings_.types)
    if (one.name == name) return one;
  return settings_.types.front();
}

std::string Cloud::next_name() {
  auto number = std::to_string(next_++);
  return "n-" + std::string(6 - number.size(), '0') + number;
}

Worker& Cloud::add(const std::string& type_name, const std::string& district, std::size_t node,
                   bool spot, double held_s) {
  const std::lock_guard lock(mutex_);
  const auto name = next_name();
  auto& machine = machines_[name];
  machine.type = type_name;
  machine.district = district;
  machine.spot = spot;
  machine.rented_at = machine.up_at = now() - held_s;
  machine.worker = std::make_unique<Worker>(world_, name, type(type_name), district, spot,
                                            settings_.workers, nodes_, node);
  return *machine.worker;
}

std::vector<Worker*> Cloud::workers() {
  const std::lock_guard lock(mutex_);
  std::vector<Worker*> out;
  for (auto& [name, machine] : machines_)
    if (machine.worker && machine.gone_at < 0) out.push_back(machine.worker.get());
  return out;
}

Worker* Cloud::worker(const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : it->second.worker.get();
}

void Cloud::take_away(const std::string& name) {
  const std::lock_guard lock(mutex_);
  auto& machine = machines_.at(name);
  if (machine.gone_at >= 0) return;
  machine.gone_at = now();
  if (machine.worker) machine.worker->take_away();
}

void Cloud::boot_loop() {
  for (;;) {
    sleep_for(0.05);
    const std::lock_guard lock(mutex_);
    for (auto& [name, machine] : machines_) {
      if (machine.worker || machine.gone_at >= 0 || now() < machine.up_at) continue;
      const std::size_t node = std::hash<std::string>()(name) % nodes_.size();
      machine.worker = std::make_unique<Worker>(world_, name, type(machine.type), machine.district,
                                                machine.spot, settings_.workers, nodes_, node);
      record("machine " + name + " is up");
    }
  }
}

Response Cloud::handle(const Request& request) {
  sleep_for(0.02);
  if (outage_) return {503, R"({"error":"trouble"})"};
  if (request.path == "/catalog") {
    json flavors = json::array();
    for (const auto& one : settings_.types)
      flavors.push_back({{"name", one.name},
                         {"cpus", one.cpus},
                         {"accelerators", 0},
                         {"ramGb", one.ram_gb},
                         {"localGb", 50.0},
                         {"fetchGbPerS", 1.0},
                         {"hourly", 1.0},
                         {"lowPrice", 0.4},
                         {"readyS", settings_.boot_s},
                         {"districts", settings_.districts}});
    return {200, json{{"flavors", flavors}}.dump()};
  }
  const auto body = json::parse(request.body, nullptr, false);
  if (request.path == "/machines" && request.method == "POST") return hire(body);
  if (request.path == "/machines/release") return release(body);
  if (request.path.starts_with("/machines")) return list(request.path);
  return {404, "{}"};
}

Response Cloud::hire(const json& body) {
  const std::lock_guard lock(mutex_);
  const auto name = body.at("hire").get<std::string>();
  if (hires_.contains(name)) return {200, hires_[name]};
  const bool spot = body.at("reclaimable");
  const std::string district = body.at("district");
  std::size_t up = 0;
  std::size_t spot_up = 0;
  for (const auto& [other, machine] : machines_) {
    if (machine.gone_at >= 0) continue;
    up += machine.district == district;
    spot_up += machine.spot;
  }
  json hosts = json::array();
  for (auto left = body.at("howMany").get<int>(); left > 0; --left) {
    if (up >= settings_.capacity[district] || (spot && spot_up >= spot_capacity_)) break;
    ++up;
    spot_up += spot;
    const auto host = next_name();
    auto& machine = machines_[host];
    machine.type = body.at("flavor");
    machine.district = district;
    machine.spot = spot;
    machine.rented_at = now();
    machine.up_at = now() + settings_.boot_s;
    hosts.push_back(host);
  }
  if (hosts.empty()) return {503, R"({"error":"no capacity"})"};
  record("cloud: " + body.dump() + " -> " + hosts.dump());
  return {200, hires_[name] = json{{"hosts", hosts}}.dump()};
}

Response Cloud::release(const json& body) {
  const std::lock_guard lock(mutex_);
  record("cloud: release " + body.dump());
  for (const auto& host : body.at("hosts")) {
    const auto it = machines_.find(host.get<std::string>());
    if (it == machines_.end() || it->second.gone_at >= 0) continue;
    it->second.gone_at = now();
    if (it->second.worker) it->second.worker->take_away();
  }
  return {200, "{}"};
}

Response Cloud::list(const std::string& path) {
  const std::lock_guard lock(mutex_);
  const auto at = path.find("from=");
  const auto from =
      at == std::string::npos ? std::string() : path.substr(at + 5, path.find('&', at) - at - 5);
  const double then = now() - settings_.list_lag_s;
  json hosts = json::array();
  for (const auto& [name, machine] : machines_) {
    const bool listed =
        machine.rented_at <= then && (machine.gone_at < 0 || machine.gone_at > then);
    if (!listed || name <= from) continue;
    hosts.push_back({{"uid", name},
                     {"address", machine.worker ? machine.worker->address() : "127.0.0.1:1"},
                     {"flavor", machine.type},
                     {"district", machine.district},
                     {"reclaimable", machine.spot},
                     {"phase", machine.up_at <= then ? "running" : "booting"},
                     {"heldS", then - machine.rented_at}});
  }
  return {200, json{{"hosts", hosts}, {"truncated", false}}.dump()};
}
}  // namespace standins

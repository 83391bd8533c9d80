// The simulated cluster's event loop, links and controller processes.
#include "simulation/simulated_cluster.hpp"

#include <algorithm>
#include <cmath>

#include "simulation/simulated_runtime.hpp"
#include "simulation/simulation_constants.hpp"

namespace limemast::simulation {
wire::Settings settings_for_tests() {
  wire::Settings s;
  s.zones = {"a", "b", "c"};
  s.teams["red"] = {40, 60, 0, 0};
  s.teams["blue"] = {0, 0, 0, 0};
  s.heartbeat_interval = wire::Seconds(2);
  s.worker_lease = wire::Seconds(10);
  s.cancel_timeout = wire::Seconds(25);
  s.store_requests_per_s = 200;
  s.store_writes_per_s = 80;
  s.max_value_kib = 8;
  s.max_txn_ops = 12;
  s.cloud_requests_per_s = 5;
  s.machine_list_lag = wire::Seconds(kListLag);
  s.max_connections = 1000;
  s.store_endpoint = "state:1";
  s.cloud_endpoint = "cloud:1";
  return s;
}

SimulatedCluster::SimulatedCluster(SimulatedWorld& world, wire::Settings settings, Options options)
    : world_(world),
      settings_(std::move(settings)),
      options_(options),
      state_(world, options.log_size),
      invariants_(world, settings_) {
  settings_.controller_count = static_cast<std::uint32_t>(options.controllers);
  nodes_.resize(options.controllers);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    auto& s = nodes_[i].settings;
    s = settings_;
    s.label = "node-" + std::to_string(i);
    s.zone = settings_.zones[i % settings_.zones.size()];
    s.client_listen_endpoint = s.label + ":80";
    s.peer_listen_endpoint = s.label + ":81";
    for (std::size_t j = 0; j < nodes_.size(); ++j)
      if (j != i)
        s.peer_endpoints["node-" + std::to_string(j)] = "node-" + std::to_string(j) + ":81";
    start(i);
  }
  snapshot();
  arrive();
}
SimulatedCluster::~SimulatedCluster() = default;

void SimulatedCluster::run(Duration time) {
  const auto until = world_.now() + time;
  while (world_.step(until)) invariants_.check_time();
}

void SimulatedCluster::link(std::size_t node, Side side, std::function<void()> deliver,
                            const std::string& to_zone) {
  auto& n = nodes_[node];
  // State service and cloud belong to no zone.
  const bool inside = !cut_zone_.empty() && n.settings.zone == cut_zone_;
  const bool other_inside = !cut_zone_.empty() && to_zone == cut_zone_;
  const bool crosses = side == Side::Workers || !to_zone.empty() ? inside != other_inside
                                                                 : inside && side != Side::Peers;
  if (crosses) return at_border_.push_back(std::move(deliver));
  if (n.cut[side] > 0) {
    if (n.hold) n.held[side].push_back(std::move(deliver));
    return;
  }
  auto late = n.late;
  if (side == Side::State) late += state_late_;
  world_.at(
      latency() + (late > 0s ? seconds(world_.uniform(0, net::to_seconds(late).count())) : 0s),
      std::move(deliver));
}

void SimulatedCluster::to_state(std::size_t node, const net::HttpRequest& request,
                                const StateService::Answer& answer) {
  if (nodes_[node].refused > 0) return answer({503, true, "{}"});
  if (request.path == "/txn" && answers_lost_ > 0 && world_.chance(answers_lost_)) {
    state_.handle(request, [](net::HttpResult) {});
    return check_leader();
  }
  if (request.path == "/txn" && writes_late_ > 0 && world_.chance(writes_late_)) {
    world_.at(seconds(world_.uniform(2, 12)),
              [this, request] { state_.handle(request, [](net::HttpResult) {}); });
    return;
  }
  if (!request.path.starts_with("/changes")) {
    state_.handle(request, answer);
    if (request.path == "/txn") check_leader();
    return;
  }
  state_.handle(request, [this, node, answer, start = nodes_[node].start](net::HttpResult r) {
    auto& n = nodes_[node];
    if (n.start == start && (n.refused > 0 || n.stalled > 0))
      return n.unread_watches.push_back([answer, r] { answer(r); });
    answer(r);
  });
}

void SimulatedCluster::release_watches(std::size_t node) {
  auto& n = nodes_[node];
  if (n.refused > 0 || n.stalled > 0) return;
  for (auto& deliver : std::exchange(n.unread_watches, {})) deliver();
}

void SimulatedCluster::within(std::size_t node, bool timer, std::function<void()> act) {
  auto& n = nodes_[node];
  if (n.frozen) return void((timer ? n.late_timers : n.unread).push_back(std::move(act)));
  if (n.freeze_next > 0s) {
    n.frozen = true;
    world_.at(std::exchange(n.freeze_next, 0s), [this, node, start = n.start] {
      if (nodes_[node].start == start) wake(node);
    });
  }
  if (n.each == 0s) return act();
  n.line.push_back(std::move(act));
  if (!n.in_line) work(node);
}

/// Takes what is first in line, if the processor is free, and comes back for the next when it is
/// free again.
void SimulatedCluster::work(std::size_t node) {
  auto& n = nodes_[node];
  n.in_line = false;
  if (n.line.empty()) return;
  if (world_.now() >= n.busy_until) {
    auto act = std::move(n.line.front());
    n.line.pop_front();
    const auto takes = std::chrono::duration_cast<Duration>(n.each * n.times);
    n.busy_until = world_.now() + takes;
    n.worked += takes;
    const auto start = n.start;
    act();
    if (nodes_[node].start != start) return;
  }
  if (n.line.empty()) return;
  n.in_line = true;
  world_.at(n.busy_until - world_.now(), [this, node, start = n.start] {
    if (nodes_[node].start == start) work(node);
  });
}

void SimulatedCluster::wake(std::size_t node) {
  auto& n = nodes_[node];
  n.frozen = false;
  for (auto* queue : {&n.unsent, &n.late_timers, &n.unread})
    for (auto& act : std::exchange(*queue, {})) act();
}

void SimulatedCluster::leave(std::size_t node, std::function<void()> send) {
  if (nodes_[node].frozen) return nodes_[node].unsent.push_back(std::move(send));
  send();
}

void SimulatedCluster::start(std::size_t node) {
  auto& n = nodes_[node];
  ++n.start;
  n.frozen = false;
  n.freeze_next = {};
  for (auto* queue : {&n.unsent, &n.late_timers, &n.unread}) queue->clear();
  n.unread_watches.clear();
  n.line.clear();
  n.in_line = false;
  n.busy_until = {};
  n.runtime = std::make_unique<Runtime>(*this, node);
  n.controller = std::make_unique<app::ControllerSupervisor>(*n.runtime, n.settings);
}

void SimulatedCluster::ask(std::size_t node, const net::HttpRequest& request,
                           net::Responder respond) {
  if (auto& n = nodes_[node]; n.controller)
    n.controller->serve(request,
                        [this, node, request, respond = std::move(respond)](net::HttpResponse r) {
                          observe(node, kOperator, &request, &r, nullptr);
                          respond(std::move(r));
                        });
}

void SimulatedCluster::observe(std::size_t node, const std::string& to,
                               const net::HttpRequest* request, const net::HttpResponse* response,
                               const json* message) const {
  if (options_.observer)
    options_.observer({nodes_[node].settings.label, to, request, response, message});
}

void SimulatedCluster::to_controller(std::size_t node, Side side, const net::HttpRequest& request,
                                     Duration timeout, std::function<void(net::HttpResult)> done,
                                     const std::string& zone) {
  auto once = std::make_shared<std::function<void(net::HttpResult)>>(std::move(done));
  auto finish = [once](net::HttpResult r) {
    if (!*once) return;
    auto d = std::exchange(*once, nullptr);
    d(std::move(r));
  };
  world_.at(timeout, [finish] { finish({0, true, {}}); });
  auto deliver = [this, node, side, request, finish, zone] {
    auto& n = nodes_[node];
    if (!n.controller) return finish({0, false, {}});
    within(node, false, [this, node, side, request, finish, zone] {
      auto& n = nodes_[node];
      if (!n.controller) return;
      n.controller->serve(request, [this, node, side, request, finish, zone](net::HttpResponse r) {
        observe(node, side == Side::Workers ? kWorker : kUser, &request, &r, nullptr);
        leave(node, [this, node, side, finish, zone, r] {
          auto back = [this, finish, r] {
            told_to_wait_ = seconds(r.retry_after_s);
            finish({r.status, true, r.body});
            told_to_wait_ = {};
          };
          if (side == Side::Workers) return link(node, side, back, zone);
          world_.at(latency(), back);
        });
      });
    });
  };
  if (side == Side::Workers) return link(node, side, deliver, zone);
  world_.at(latency(), deliver);  // users are never cut off by the troubles of these tests
}
}  // namespace limemast::simulation

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
  s.machine_list_lag = wire::Seconds(kListLagS);
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
  record_machine_list();
  submit_random_jobs();
}
SimulatedCluster::~SimulatedCluster() = default;

void SimulatedCluster::run(Duration time) {
  const auto until = world_.now() + time;
  while (world_.step(until)) invariants_.check_time();
}

void SimulatedCluster::send_over_link(std::size_t node, Side side, std::function<void()> deliver,
                                      const std::string& to_zone) {
  auto& n = nodes_[node];
  // The state service and the cloud belong to no zone.
  const bool inside = !isolated_zone_.empty() && n.settings.zone == isolated_zone_;
  const bool other_inside = !isolated_zone_.empty() && to_zone == isolated_zone_;
  const bool crosses = side == Side::Workers || !to_zone.empty() ? inside != other_inside
                                                                 : inside && side != Side::Peers;
  if (crosses) return held_at_zone_border_.push_back(std::move(deliver));
  if (n.cut[side] > 0) {
    if (n.hold_while_cut) n.held_deliveries[side].push_back(std::move(deliver));
    return;
  }
  auto max_delay = n.max_link_delay;
  if (side == Side::State) max_delay += max_state_delay_;
  auto delay = Duration::zero();
  if (max_delay > 0s) delay = seconds(world_.uniform(0, net::to_seconds(max_delay).count()));
  delay += latency();
  world_.after(delay, std::move(deliver));
}

void SimulatedCluster::handle_controller_request(std::size_t node, Side receiver,
                                                 const net::Endpoint& to,
                                                 const net::HttpRequest& request,
                                                 const StateService::Answer& answer) {
  const auto duplicate_and_answer = [this, receiver, to, request, answer](net::HttpResult r) {
    if (r.status == 200 && request.method != "GET") duplicate_late(receiver, to, request);
    answer(std::move(r));
  };
  if (receiver == Side::State) return to_state(node, request, duplicate_and_answer);
  if (receiver == Side::Cloud) return handle_cloud_request(request, duplicate_and_answer);
  handle_direct_commands(to.substr(0, to.find(':')), request, duplicate_and_answer);
}

void SimulatedCluster::to_state(std::size_t node, const net::HttpRequest& request,
                                const StateService::Answer& answer) {
  if (nodes_[node].rejected_by_store > 0) return answer({503, true, "{}"});
  if (request.path == "/txn" && lost_transaction_answer_share_ > 0 &&
      world_.chance(lost_transaction_answer_share_)) {
    state_.handle(request, [](net::HttpResult) {});
    return replay_heartbeats_to_new_leader();
  }
  if (request.path == "/txn" && delayed_transaction_share_ > 0 &&
      world_.chance(delayed_transaction_share_)) {
    world_.after(seconds(world_.uniform(2, 12)),
                 [this, request] { state_.handle(request, [](net::HttpResult) {}); });
    return;
  }
  if (!request.path.starts_with("/changes")) {
    state_.handle(request, answer);
    if (request.path == "/txn") replay_heartbeats_to_new_leader();
    return;
  }
  state_.handle(
      request, [this, node, answer, process = nodes_[node].process_number](net::HttpResult r) {
        auto& n = nodes_[node];
        if (n.process_number == process && (n.rejected_by_store > 0 || n.watches_stalled > 0))
          return n.held_watch_answers.push_back([answer, r] { answer(r); });
        answer(r);
      });
}

void SimulatedCluster::release_watches(std::size_t node) {
  auto& n = nodes_[node];
  if (n.rejected_by_store > 0 || n.watches_stalled > 0) return;
  for (auto& deliver : std::exchange(n.held_watch_answers, {})) deliver();
}

void SimulatedCluster::run_on_controller(std::size_t node, bool timer, std::function<void()> act) {
  auto& n = nodes_[node];
  if (n.frozen) return void((timer ? n.held_timers : n.held_arrivals).push_back(std::move(act)));
  if (n.freeze_at_next_callback > 0s) {
    n.frozen = true;
    world_.after(std::exchange(n.freeze_at_next_callback, 0s),
                 [this, node, process = n.process_number] {
                   if (nodes_[node].process_number == process) resume(node);
                 });
  }
  if (n.time_per_callback == 0s) return act();
  n.callback_queue.push_back(std::move(act));
  if (!n.queue_timer_set) process_callback_queue(node);
}

/// Runs the first queued callback if the processor is free, and schedules the next one for when it
/// is free again.
void SimulatedCluster::process_callback_queue(std::size_t node) {
  auto& n = nodes_[node];
  n.queue_timer_set = false;
  if (n.callback_queue.empty()) return;
  if (world_.now() >= n.busy_until) {
    auto act = std::move(n.callback_queue.front());
    n.callback_queue.pop_front();
    const auto duration = std::chrono::duration_cast<Duration>(n.time_per_callback * n.slowdown);
    n.busy_until = world_.now() + duration;
    n.busy_time += duration;
    const auto process = n.process_number;
    act();
    if (nodes_[node].process_number != process) return;
  }
  if (n.callback_queue.empty()) return;
  n.queue_timer_set = true;
  world_.after(n.busy_until - world_.now(), [this, node, process = n.process_number] {
    if (nodes_[node].process_number == process) process_callback_queue(node);
  });
}

void SimulatedCluster::resume(std::size_t node) {
  auto& n = nodes_[node];
  n.frozen = false;
  for (auto* queue : {&n.held_sends, &n.held_timers, &n.held_arrivals})
    for (auto& act : std::exchange(*queue, {})) act();
}

void SimulatedCluster::send_unless_frozen(std::size_t node, std::function<void()> send) {
  if (nodes_[node].frozen) return nodes_[node].held_sends.push_back(std::move(send));
  send();
}

void SimulatedCluster::start(std::size_t node) {
  auto& n = nodes_[node];
  ++n.process_number;
  n.frozen = false;
  n.freeze_at_next_callback = {};
  for (auto* queue : {&n.held_sends, &n.held_timers, &n.held_arrivals}) queue->clear();
  n.held_watch_answers.clear();
  n.callback_queue.clear();
  n.queue_timer_set = false;
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
                               const json* message) {
  check_token(node, to, request, response);
  if (options_.observer)
    options_.observer({nodes_[node].settings.label, to, request, response, message});
}

void SimulatedCluster::check_token(std::size_t node, const std::string& to,
                                   const net::HttpRequest* request,
                                   const net::HttpResponse* response) {
  const bool heartbeat_accepted = response && to == kWorker && response->status == 200;
  const bool direct_command = request && !response && request->path == "/orders";
  const auto& controller = nodes_[node].controller;
  if (!controller || (!heartbeat_accepted && !direct_command)) return;
  const auto body = json::parse(direct_command ? request->body : response->body);
  invariants_.token_sent(nodes_[node].settings.label,
                         ids::FencingToken(body.at("mandate").get<std::uint64_t>()),
                         controller->node().membership().epoch().number);
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
  world_.after(timeout, [finish] { finish({0, true, {}}); });
  auto deliver = [this, node, side, request, finish, zone] {
    auto& n = nodes_[node];
    if (!n.controller) return finish({0, false, {}});
    run_on_controller(node, false, [this, node, side, request, finish, zone] {
      auto& n = nodes_[node];
      if (!n.controller) return;
      n.controller->serve(request, [this, node, side, request, finish, zone](net::HttpResponse r) {
        observe(node, side == Side::Workers ? kWorker : kUser, &request, &r, nullptr);
        send_unless_frozen(node, [this, node, side, request, finish, zone, r] {
          if (side != Side::Workers && (r.status == 200 || r.status == 201))
            duplicate_user_request_late(request);
          auto back = [this, finish, r] {
            retry_after_ = seconds(r.retry_after_s);
            finish({r.status, true, r.body});
            retry_after_ = {};
          };
          if (side == Side::Workers) return send_over_link(node, side, back, zone);
          world_.after(latency(), back);
        });
      });
    });
  };
  if (side == Side::Workers) return send_over_link(node, side, deliver, zone);
  world_.after(latency(), deliver);  // faults on links do not affect users
}
}  // namespace limemast::simulation

// Faults that tests inject into the simulated cluster.
#include <algorithm>
#include <cmath>

#include "simulation/simulated_cluster.hpp"
#include "simulation/simulated_runtime.hpp"
#include "simulation/simulation_constants.hpp"

namespace limemast::simulation {
namespace {
// Time from the notice of a preemption to the end of the machine.
constexpr auto kPreemptionNotice = 5s;
// Time after which a copy of a request arrives once more.
constexpr double kMinCopyDelayS = 2, kMaxCopyDelayS = 20;
// How long users wait for the answer to a submission or cancellation.
constexpr auto kUserRequestTimeout = 5s;
}  // namespace

void SimulatedCluster::delay_links(std::size_t node, Duration max_delay, Duration time) {
  nodes_[node].max_link_delay = max_delay;
  world_.after(time, [this, node] { nodes_[node].max_link_delay = {}; });
}

void SimulatedCluster::reject_at_store(std::size_t node, Duration time) {
  ++nodes_[node].rejected_by_store;
  world_.after(time, [this, node] { --nodes_[node].rejected_by_store, release_watches(node); });
}

void SimulatedCluster::stall_watches(std::size_t node, Duration time) {
  ++nodes_[node].watches_stalled;
  world_.after(time, [this, node] { --nodes_[node].watches_stalled, release_watches(node); });
}

void SimulatedCluster::delay_transactions(double share, Duration time, bool execute_at_once) {
  auto& affected_share =
      execute_at_once ? lost_transaction_answer_share_ : delayed_transaction_share_;
  affected_share = share;
  world_.after(time, [&affected_share] { affected_share = 0; });
}

void SimulatedCluster::replay_heartbeats_at_next_leader(double share, Duration time) {
  replayed_heartbeat_share_ = share;
  world_.after(time, [this] { replayed_heartbeat_share_ = 0, heartbeats_to_replay_.clear(); });
}

/// If the recorded leader changed, sends each saved heartbeat to every controller within 2 s.
void SimulatedCluster::replay_heartbeats_to_new_leader() {
  const auto* epoch = state_.value(cluster::keys::kEpoch);
  const auto current_leader = epoch && epoch->is_object() ? epoch->value("leader", json()) : json();
  if (current_leader == last_leader_) return;
  last_leader_ = current_leader;
  for (const auto& [machine, heartbeat] : std::exchange(heartbeats_to_replay_, {}))
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      world_.after(seconds(world_.uniform(0, 2)), [this, heartbeat = heartbeat, i] {
        to_controller(
            i, Side::Workers, heartbeat.request, kHeartbeatTimeout, [](net::HttpResult) {},
            heartbeat.zone);
      });
}

void SimulatedCluster::duplicate_requests_late(Side receiver, double share, Duration time) {
  duplicated_request_share_[receiver] = share;
  world_.after(time, [this, receiver] { duplicated_request_share_.erase(receiver); });
}

void SimulatedCluster::duplicate_user_requests_late(double share, Duration time) {
  duplicated_user_request_share_ = share;
  world_.after(time, [this] { duplicated_user_request_share_ = 0; });
}

void SimulatedCluster::duplicate_late(Side receiver, const net::Endpoint& to,
                                      const net::HttpRequest& request) {
  const auto share = duplicated_request_share_.find(receiver);
  if (share == duplicated_request_share_.end() || !world_.chance(share->second)) return;
  world_.after(seconds(world_.uniform(kMinCopyDelayS, kMaxCopyDelayS)),
               [this, receiver, to, request] { deliver_duplicate(receiver, to, request); });
}

void SimulatedCluster::deliver_duplicate(Side receiver, const net::Endpoint& to,
                                         const net::HttpRequest& request) {
  ++duplicates_delivered_;
  const auto drop_answer = [](const net::HttpResult&) {};
  if (receiver == Side::State) return state_.handle(request, drop_answer);
  if (receiver == Side::Workers)
    return handle_direct_commands(to.substr(0, to.find(':')), request, drop_answer);
  const auto launched = workers_.size();
  const auto terminated = terminated_machines().size();
  handle_cloud_request(request, drop_answer);
  if (workers_.size() != launched || terminated_machines().size() != terminated)
    ++cloud_duplicates_with_effect_;
}

void SimulatedCluster::exhaust_fencing_tokens() {
  for (auto& [name, w] : workers_) {
    const auto epoch = ids::FencingToken(w.fencing_token).epoch();
    if (epoch == ids::kNoEpoch) continue;
    w.fencing_token = ids::FencingToken::base(ids::EpochNumber(epoch.value() + 1)).value() - 1;
  }
}

void SimulatedCluster::duplicate_user_request_late(const net::HttpRequest& request) {
  if (request.method == "GET" || duplicated_user_request_share_ == 0 ||
      !world_.chance(duplicated_user_request_share_))
    return;
  const auto to = world_.below(nodes_.size());
  world_.after(seconds(world_.uniform(kMinCopyDelayS, kMaxCopyDelayS)), [this, to, request] {
    ++duplicates_delivered_;
    to_controller(to, Side::Cloud, request, kUserRequestTimeout, [](const net::HttpResult&) {});
  });
}

void SimulatedCluster::reset_fencing_tokens() {
  for (auto& [name, w] : workers_)
    w.fencing_token = ids::FencingToken::base(ids::FencingToken(w.fencing_token).epoch()).value();
}

void SimulatedCluster::block_heartbeats(
    const std::function<bool(const std::string&, const std::string&)>& which, Duration time) {
  for (auto& [name, w] : workers_) {
    if (!w.up || !which(name, w.zone)) continue;
    ++w.heartbeats_blocked;
    world_.after(time, [this, name = name] { --workers_.at(name).heartbeats_blocked; });
  }
}

void SimulatedCluster::query_concurrently(Duration time, double cancel_at_once) {
  ++concurrent_query_faults_;
  cancel_after_accept_share_ = cancel_at_once;
  world_.after(time, [this] { --concurrent_query_faults_; });
}

void SimulatedCluster::cancel_at_end(double share, Duration time) {
  cancel_at_end_share_ = share;
  world_.after(time, [this] { cancel_at_end_share_ = 0; });
}

void SimulatedCluster::duplicate_heartbeats_late(double share, Duration time) {
  duplicated_heartbeat_share_ = share;
  world_.after(time, [this] { duplicated_heartbeat_share_ = 0; });
}

void SimulatedCluster::block_inbound_to_machines(
    const std::function<bool(const std::string&, const std::string&)>& which, Duration time) {
  for (auto& [name, w] : workers_) {
    if (!w.up || !which(name, w.zone)) continue;
    ++w.inbound_blocked;
    world_.after(time, [this, name = name] { --workers_.at(name).inbound_blocked; });
  }
}

void SimulatedCluster::drop_direct_commands(Duration time) {
  direct_commands_dropped_ = true;
  world_.after(time, [this] { direct_commands_dropped_ = false; });
}

void SimulatedCluster::lose_messages(const std::string& kind, Duration time) {
  dropped_message_kinds_.insert(kind);
  world_.after(time, [this, kind] { dropped_message_kinds_.erase(kind); });
}

void SimulatedCluster::slow_state_service(Duration max_delay, Duration time) {
  max_state_delay_ = max_delay;
  world_.after(time, [this] { max_state_delay_ = {}; });
}

void SimulatedCluster::freeze(std::size_t node, Duration time) {
  nodes_[node].freeze_at_next_callback = time;
}

void SimulatedCluster::slow_down(std::size_t node, double factor, Duration time) {
  nodes_[node].slowdown = factor;
  world_.after(time, [this, node] { nodes_[node].slowdown = 1; });
}

void SimulatedCluster::crash(std::size_t node, Duration restart_after) {
  auto& n = nodes_[node];
  if (!n.controller) return;
  n.controller.reset();
  n.runtime.reset();
  world_.after(restart_after, [this, node] { start(node); });
}

void SimulatedCluster::cut(std::size_t node, Side side, bool hold, Duration time) {
  auto& n = nodes_[node];
  ++n.cut[side];
  n.hold_while_cut = hold;
  world_.after(time, [this, node, side] {
    auto& n = nodes_[node];
    if (--n.cut[side] > 0) return;
    for (auto& deliver : std::exchange(n.held_deliveries[side], {}))
      world_.after(latency(), std::move(deliver));
  });
}

void SimulatedCluster::drop_peer_messages_to(std::size_t node, Duration time) {
  nodes_[node].drops_peer_messages = true;
  world_.after(time, [this, node] { nodes_[node].drops_peer_messages = false; });
}

void SimulatedCluster::cut_zone(const std::string& zone, Duration time) {
  if (!isolated_zone_.empty()) return;
  isolated_zone_ = zone;
  world_.after(time, [this] {
    isolated_zone_.clear();
    for (auto& deliver : std::exchange(held_at_zone_border_, {}))
      world_.after(latency(), std::move(deliver));
  });
}

void SimulatedCluster::kill_machines(std::size_t count) {
  std::vector<Worker*> up;
  for (auto& [name, w] : workers_)
    if (w.up) up.push_back(&w);
  std::shuffle(up.begin(), up.end(), world_.random);
  for (std::size_t i = 0; i < std::min(count, up.size()); ++i) kill(*up[i]);
}

void SimulatedCluster::kill_machines(const std::set<std::string>& names) {
  for (const auto& name : names) kill(workers_.at(name));
}

void SimulatedCluster::kill(Worker& w) {
  drop_all_tasks(w);
  w.up = false;
  w.died_at = world_.now();
  w.while_hung.clear();
}

void SimulatedCluster::state_outage(Duration time) {
  if (++state_outages_ == 1) state_.set_outage(true);
  world_.after(time, [this] {
    if (--state_outages_ == 0) state_.set_outage(false);
  });
}

void SimulatedCluster::cloud_outage(Duration time) {
  cloud_down_ = true;
  world_.after(time, [this] { cloud_down_ = false; });
}

void SimulatedCluster::hang_random_machine(Duration time) {
  std::vector<std::string> up;
  for (const auto& [name, w] : workers_)
    if (w.up && !w.hung) up.push_back(name);
  if (up.empty()) return;
  hang_machine(up[world_.below(up.size())], time);
}

void SimulatedCluster::hang_machines(const std::set<std::string>& names, Duration time) {
  for (const auto& name : names)
    if (auto it = workers_.find(name); it != workers_.end() && it->second.up && !it->second.hung)
      hang_machine(name, time);
}

void SimulatedCluster::hang_machine(const std::string& name, Duration time) {
  workers_.at(name).hung = true;
  world_.after(time, [this, name] {
    auto& w = workers_.at(name);
    w.hung = false;
    if (w.up) check_lease(w);
    if (!w.up) return;
    for (auto& act : std::exchange(w.while_hung, {})) act();
    if (w.heartbeat_in_flight == 0) send_heartbeat(name);
  });
}

void SimulatedCluster::reclaim_machine(bool notice) {
  std::vector<std::string> spot;
  for (const auto& [name, w] : workers_)
    if (w.up && w.spot) spot.push_back(name);
  if (spot.empty()) return;
  auto& w = workers_.at(spot[world_.below(spot.size())]);
  if (!notice) return remove_worker(w);
  w.preemption_notice = std::chrono::duration<double>(kPreemptionNotice).count();
  send_heartbeat_soon(w);
  world_.after(kPreemptionNotice, [this, name = w.name] { remove_worker(workers_.at(name)); });
}

void SimulatedCluster::make_machine_faulty(Duration time) {
  for (auto& [name, w] : workers_) {
    if (!w.up || w.faulty || !world_.chance(0.3)) continue;
    w.faulty = true;
    world_.after(time, [this, name = name] { workers_.at(name).faulty = false; });
    return;
  }
}

void SimulatedCluster::inject_random_fault() {
  const auto node = world_.below(nodes_.size());
  const auto time = seconds(world_.uniform(2, 30));
  const bool hold = world_.chance(0.5);
  switch (world_.below(18)) {
    case 0:
      return crash(node, seconds(world_.uniform(options_.min_restart_s, options_.max_restart_s)));
    case 1:
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        crash(i, seconds(world_.uniform(options_.min_restart_s,
                                        std::min(6.0, options_.max_restart_s))));
      return;
    case 2:
      for (auto side : {Side::State, Side::Cloud, Side::Workers, Side::Peers})
        cut(node, side, hold, time);
      return;
    case 3:
      return cut(node, Side::State, hold, time);
    case 4:
      return cut(node, Side::Workers, hold, time);
    case 5:
      return cut(node, Side::Peers, hold, time);
    case 6:
      return state_outage(seconds(world_.uniform(1, 20)));
    case 7:
      return cloud_outage(time);
    case 8:
      return hang_random_machine(seconds(world_.uniform(1, 25)));
    case 9:
      return reclaim_machine(world_.chance(0.5));
    case 10:
      return make_machine_faulty(time);
    case 11:
      return freeze(node, seconds(world_.uniform(1, 40)));
    case 13:
      return drop_peer_messages_to(node, time);
    case 14: {
      const auto cut_time = seconds(world_.uniform(5, 40));
      return cut_zone(settings_.zones[world_.below(settings_.zones.size())], cut_time);
    }
    case 15:
      return kill_machines(1 + world_.below(5));
    case 16:  // links that fail and recover repeatedly
      for (int i = 0; i < 5; ++i)
        world_.after(seconds(5.0 * i), [this, node] {
          cut(node, Side::Peers, false, seconds(world_.uniform(1, 4)));
        });
      return;
    case 12:
      return freeze(leader(), seconds(world_.uniform(5, 15)));
    default:  // rolling restart
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        world_.after(seconds(4.0 * static_cast<double>(i)), [this, i] {
          crash(i, seconds(std::min(1.0, options_.min_restart_s + 0.02)));
        });
  }
}
}  // namespace limemast::simulation

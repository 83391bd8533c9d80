#pragma once
// The runtime of a simulated controller, not for use in tests.
#include <algorithm>

#include "simulation/simulated_cluster.hpp"
#include "simulation/simulation_constants.hpp"

namespace limemast::simulation {
/// The runtime of one controller process. Callbacks and answers of a crashed process are dropped.
class SimulatedCluster::Runtime final : public net::Runtime {
 public:
  Runtime(SimulatedCluster& cluster, std::size_t node)
      : cluster_(cluster),
        node_(node),
        random_(cluster.world_.random()),
        alive_(std::make_shared<bool>(true)) {}
  ~Runtime() override { *alive_ = false; }
  Time now() const override { return cluster_.world_.now(); }
  net::WallTime wall() const override { return cluster_.world_.wall(); }
  std::mt19937_64& random() override { return random_; }
  TimerId after(Duration delay, std::function<void()> fire) override {
    return cluster_.world_.after(delay, run_if_alive(true, std::move(fire)));
  }
  void cancel(TimerId id) override { cluster_.world_.cancel(id); }
  void post(std::function<void()> fire) override {
    cluster_.world_.after(0s, run_if_alive(false, std::move(fire)));
  }

  void http(const net::Endpoint& to, net::HttpRequest request, Duration timeout,
            std::function<void(net::HttpResult)> done) override {
    cluster_.observe(node_, to, &request, nullptr, nullptr);
    auto once = std::make_shared<std::function<void(net::HttpResult)>>(std::move(done));
    auto finish = [once](net::HttpResult r) {
      if (!*once) return;
      auto d = std::exchange(*once, nullptr);
      d(std::move(r));
    };
    cluster_.world_.after(timeout, run_if_alive(true, [finish] { finish({0, true, {}}); }));
    const auto side = to == cluster_.settings_.store_endpoint   ? Side::State
                      : to == cluster_.settings_.cloud_endpoint ? Side::Cloud
                                                                : Side::Workers;
    auto& c = cluster_;
    const auto node = node_;
    const auto worker =
        side == Side::Workers ? c.workers_.find(to.substr(0, to.find(':'))) : c.workers_.end();
    const auto zone = worker == c.workers_.end() ? std::string() : worker->second.zone;
    auto answer = [this, alive = alive_, &c, node, side, finish, zone](net::HttpResult r) {
      c.send_over_link(
          node, side,
          [this, alive, finish, r = std::move(r)] {
            if (*alive) run_if_alive(false, [finish, r] { finish(r); })();
          },
          zone);
    };
    c.send_unless_frozen(node, [&c, node, to, request = std::move(request), side, answer, zone] {
      c.send_over_link(
          node, side,
          [&c, to, request, side, answer, node] {
            c.handle_controller_request(node, side, to, request, answer);
          },
          zone);
    });
  }
  Duration busy_time() const override { return cluster_.nodes_[node_].busy_time; }
  void send_peer(const std::string& label, const json& message) override {
    auto& c = cluster_;
    c.observe(node_, label, nullptr, nullptr, &message);
    const auto kind = message.value("t", "");
    ++c.messages_sent_[kind];
    if (c.dropped_message_kinds_.contains(kind)) return;
    for (std::size_t i = 0; i < c.nodes_.size(); ++i) {
      if (c.nodes_[i].settings.label != label) continue;
      c.send_unless_frozen(node_, [&c, i, node = node_, message] {
        c.send_over_link(
            node, Side::Peers,
            [&c, i, message] {
              if (c.nodes_[i].drops_peer_messages) return;
              c.send_over_link(i, Side::Peers, [&c, i, message] {
                c.run_on_controller(i, false, [&c, i, message] {
                  if (c.nodes_[i].controller) c.nodes_[i].controller->from_peer(message);
                });
              });
            },
            c.nodes_[i].settings.zone);
      });
    }
  }

 private:
  /// Wraps a callback so that it is dropped once the process has crashed.
  std::function<void()> run_if_alive(bool timer, std::function<void()> fire) {
    return [alive = alive_, timer, &c = cluster_, node = node_, fire = std::move(fire)] {
      if (!*alive) return;
      c.run_on_controller(node, timer, [alive, fire] {
        if (*alive) fire();
      });
    };
  }
  SimulatedCluster& cluster_;
  std::size_t node_;
  std::mt19937_64 random_;
  std::shared_ptr<bool> alive_;
};
}  // namespace limemast::simulation

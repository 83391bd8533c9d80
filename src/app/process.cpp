#include "app/process.hpp"

#include <spdlog/spdlog.h>

#include "app/settings.hpp"

namespace limemast::app {
namespace {
constexpr int kUserBacklog = 256;
constexpr int kPeerBacklog = 16;
/// Retry-After in seconds of requests that arrive before both addresses are bound.
constexpr int kStartingRetryAfterS = 1;
/// Retry-After in seconds of users' requests that arrive while few connections are left. Within
/// this time, workers that have lost their controller reconnect to another one.
constexpr int kOverloadedRetryAfterS = 2;
}  // namespace

// The allowed connections are divided: 70 % for requests of users and workers, 20 % for outgoing
// calls, and the rest for peer connections and files.
Process::Process(const wire::Settings& settings)
    : settings_(settings),
      runtime_(settings.max_connections / 5),
      server_(runtime_.loop(), settings.max_connections * 7 / 10,
              [this](const net::HttpRequest& request, net::Responder respond,
                     bool few_connections_left) {
                if (!controller_)
                  return respond({503, R"({"error":"starting"})", kStartingRetryAfterS, {}});
                if (few_connections_left && request.path.starts_with("/submissions"))
                  return respond({503, R"({"error":"no room"})", kOverloadedRetryAfterS, {}});
                controller_->serve(request, std::move(respond));
              }),
      user_listener_(runtime_.loop(), settings.client_listen_endpoint, kUserBacklog),
      peer_listener_(runtime_.loop(), settings.peer_listen_endpoint, kPeerBacklog) {
  auto links = std::make_unique<net::PeerLinks>(runtime_.loop(), settings.peer_endpoints,
                                                [this](wire::json m) {
                                                  if (controller_) controller_->from_peer(m);
                                                });
  peer_links_ = links.get();
  runtime_.use_links(std::move(links));
  bind(user_listener_, "serve_on", [this](uv_stream_t* s) { server_.accept(s); });
  bind(peer_listener_, "back", [this](uv_stream_t* s) { peer_links_->accept(s); });
}

void Process::bind(net::Listener& listener, const char* setting,
                   std::function<void(uv_stream_t*)> on_connection) {
  auto on_bind_failed = [this, setting](const std::string& reason) {
    spdlog::error("{}: {}; exiting", setting, reason);
    exit_code_ = 1;
    uv_stop(runtime_.loop());
  };
  try {
    listener.bind(net::to_duration(settings_.start.bind_timeout), runtime_.random(),
                  {[this] { on_bound(); }, on_bind_failed, std::move(on_connection)});
  } catch (const net::BadAddress& e) {
    throw BadSettings(std::string(setting) + ": " + e.what());
  }
}

void Process::on_bound() {
  if (++bound_listeners_ < 2) return;
  peer_listener_.listen();
  user_listener_.listen();
  controller_.emplace(runtime_, settings_);
}

int Process::run() {
  runtime_.run();
  return exit_code_;
}
}  // namespace limemast::app

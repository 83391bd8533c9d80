#include "app/process.hpp"

#include <spdlog/spdlog.h>

#include "app/settings.hpp"

namespace limemast::app {
namespace {
constexpr int kUserBacklog = 256;
constexpr int kPeerBacklog = 16;
constexpr int kStartingRetry =
    1;  ///< seconds: the address that is still missing is tried again within these
constexpr int kCrowdedRetry =
    2;  ///< seconds: a machine that has lost its controller is back at another one within these
}  // namespace

// Sockets are shared out: users and workers, calls to others, and a reserve for links and files.
Process::Process(const wire::Settings& settings)
    : settings_(settings),
      runtime_(settings.max_connections / 5),
      server_(runtime_.loop(), settings.max_connections * 7 / 10,
              [this](const net::HttpRequest& request, net::Responder respond, bool crowded) {
                if (!controller_)
                  return respond({503, R"({"error":"starting"})", kStartingRetry, {}});
                if (crowded && request.path.starts_with("/submissions"))
                  return respond({503, R"({"error":"no room"})", kCrowdedRetry, {}});
                controller_->serve(request, std::move(respond));
              }),
      users_(runtime_.loop(), settings.client_listen_endpoint, kUserBacklog),
      peers_(runtime_.loop(), settings.peer_listen_endpoint, kPeerBacklog) {
  auto links = std::make_unique<net::PeerLinks>(runtime_.loop(), settings.peer_endpoints,
                                                [this](wire::json m) {
                                                  if (controller_) controller_->from_peer(m);
                                                });
  links_ = links.get();
  runtime_.use_links(std::move(links));
  bind(users_, "serve_on", [this](uv_stream_t* s) { server_.accept(s); });
  bind(peers_, "back", [this](uv_stream_t* s) { links_->accept(s); });
}

void Process::bind(net::Listener& listener, const char* field,
                   std::function<void(uv_stream_t*)> connection) {
  auto gave_up = [this, field](const std::string& why) {
    spdlog::error("{}: {}", field, why);
    result_ = 1;
    uv_stop(runtime_.loop());
  };
  try {
    listener.bind(net::to_duration(settings_.start.bind_timeout), runtime_.random(),
                  {[this] { on_bound(); }, gave_up, std::move(connection)});
  } catch (const net::BadAddress& e) {
    throw BadSettings(std::string(field) + ": " + e.what());
  }
}

void Process::on_bound() {
  if (++bound_ < 2) return;
  peers_.listen();
  users_.listen();
  controller_.emplace(runtime_, settings_);
}

int Process::run() {
  runtime_.run();
  return result_;
}
}  // namespace limemast::app

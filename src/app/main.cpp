#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "app/controller.hpp"
#include "app/settings.hpp"
#include "net/http_server.hpp"
#include "net/uv_runtime.hpp"

namespace {
using namespace limemast;

constexpr int kBadUsage = 2;

std::string read_file(const std::string& path, const char* field) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw app::BadSettings(std::string(field) + ": cannot read " + path);
  return text.str();
}

void set_up_log() {
  auto log = spdlog::stderr_logger_st("limemast");
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level ? level : "error";
  log->set_level(name == "debug" ? spdlog::level::debug : name == "info" ? spdlog::level::info : spdlog::level::err);
  log->set_pattern("%L %v");
  spdlog::set_default_logger(log);
}

int run(const wire::Settings& settings) {
  // Sockets are shared out: users and workers, calls to others, and a reserve for links and files.
  net::UvRuntime runtime(settings.max_connections / 5);
  app::Controller controller(runtime, settings);
  net::HttpServer server(runtime.loop(), settings.max_connections * 7 / 10, [&](const net::HttpRequest& request, net::Responder respond) {
    controller.serve(request, std::move(respond));
  });
  auto links = std::make_unique<net::PeerLinks>(runtime.loop(), settings.others, [&](wire::json m) { controller.from_peer(m); });
  server.listen(settings.serve_on);
  links->listen(settings.peers_on);
  runtime.use_links(std::move(links));
  runtime.run();
  return 0;
}
}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string config;
  std::string tuning;
  bool check = false;
  CLI::App cli("limemast: a cluster scheduler");
  cli.add_option("--config", config, "the platform's settings (JSON)")->required();
  cli.add_option("--tuning", tuning, "the operators' own settings (TOML); also LIMEMAST_TUNING")->envname("LIMEMAST_TUNING");
  cli.add_flag("--check", check, "only check the settings");
  cli.set_version_flag("--version", std::string("limemast ") + LIMEMAST_VERSION);
  try {
    cli.parse(argc, argv);
  } catch (const CLI::Success& e) {
    return cli.exit(e);
  } catch (const CLI::ParseError& e) {
    std::cerr << e.what() << '\n';
    return kBadUsage;
  }
  try {
    auto settings = app::parse_settings(read_file(config, "--config"));
    if (!tuning.empty()) app::apply_tuning(settings, read_file(tuning, "--tuning"));
    if (check) {
      std::cout << "settings are good\n";
      return 0;
    }
    set_up_log();
    return run(settings);
  } catch (const app::BadSettings& e) {
    std::cerr << e.what() << '\n';
    return kBadUsage;
  } catch (const std::exception& e) {
    spdlog::error("cannot run: {}", e.what());
    return 1;
  }
}

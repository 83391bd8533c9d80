#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include <CLI/CLI.hpp>
#include <spdlog/spdlog.h>

#include "app/logs.hpp"
#include "app/options.hpp"
#include "app/process.hpp"
#include "app/settings.hpp"
#include "tools/commands.hpp"

namespace {
using namespace limemast;

constexpr int kBadUsage = 2;

std::string read_file(const std::string& path, const char* field) {
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};  // may be empty
  if (!in || in.bad()) throw app::BadSettings(std::string(field) + ": cannot read " + path);
  return text;
}

/// Runs the controller: `limemast --config FILE`.
int serve(const std::string& config, const std::string& tuning, bool check) {
  try {
    auto settings = app::parse_settings(read_file(config, "--config"));
    if (!tuning.empty()) app::apply_tuning(settings, read_file(tuning, "--tuning"));
    if (check) {
      std::cout << "settings are valid\n";
      return 0;
    }
    app::set_up_logs(settings.label, settings.json_logs);
    return app::Process(settings).run();
  } catch (const app::BadSettings& e) {
    std::cerr << e.what() << '\n';
    return kBadUsage;
  } catch (const std::exception& e) {
    spdlog::error("cannot run: {}", e.what());
    return 1;
  }
}

/// Implements `limemast settings`: prints all operator settings with the values that result from
/// `file`, or with the defaults if `file` is empty.
int show_settings(const std::string& file) {
  try {
    wire::Settings settings;
    if (!file.empty()) app::apply_tuning(settings, read_file(file, "--tuning"));
    std::cout << app::explain(settings);
    return 0;
  } catch (const app::BadSettings& e) {
    std::cerr << e.what() << '\n';
    return kBadUsage;
  }
}
}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string config;
  std::string tuning;
  bool check = false;
  std::optional<int> result;
  CLI::App cli("limemast: a cluster scheduler");
  cli.add_option("--config", config, "the platform's settings (JSON)");
  cli.add_option("--tuning", tuning, "the operators' own settings (TOML); also LIMEMAST_TUNING")
      ->envname("LIMEMAST_TUNING");
  cli.add_flag("--check", check, "check the settings and exit without starting the controller");
  cli.set_version_flag("--version", std::string("limemast ") + LIMEMAST_VERSION);
  cli.require_subcommand(0, 1);
  tools::add_commands(cli, result);
  std::string settings_file;
  auto* settings = cli.add_subcommand(
      "settings", "print the operators' settings, each with its meaning, range and value");
  settings->add_option("--tuning", settings_file,
                       "a file whose values are shown instead of the defaults");
  bool with_meaning = true;
  settings->add_flag("--explain", with_meaning,
                     "print the meaning and range of each setting; always on");
  settings->callback([&] { result = show_settings(settings_file); });
  try {
    cli.parse(argc, argv);
    if (!result && config.empty()) throw CLI::RequiredError("--config");
  } catch (const CLI::Success& e) {
    return cli.exit(e);
  } catch (const CLI::ParseError& e) {
    std::cerr << e.what() << '\n';
    return kBadUsage;
  }
  return result ? *result : serve(config, tuning, check);
}

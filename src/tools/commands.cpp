#include "tools/commands.hpp"

#include <iostream>
#include <memory>

#include <unistd.h>

#include "net/uv_runtime.hpp"
#include "tools/console.hpp"
#include "tools/report.hpp"

namespace limemast::tools {
namespace {
using wire::json;
using namespace std::chrono_literals;
constexpr int kExitFailed = 1;
constexpr int kExitBadUsage = 2;

/// Options that all commands have.
struct ApiOptions {
  std::string to = "127.0.0.1:8080";
  double timeout_s = 3;
  net::Duration timeout() const { return net::to_duration(wire::Seconds(timeout_s)); }
};

void add_api_options(CLI::App* command, const std::shared_ptr<ApiOptions>& api_options) {
  command
      ->add_option("--to", api_options->to,
                   "controllers, HOST:PORT[,HOST:PORT...]; also LIMEMAST_CONTROLLERS")
      ->envname("LIMEMAST_CONTROLLERS");
  command->add_option("--timeout", api_options->timeout_s, "seconds to wait for one answer")
      ->check(CLI::Range(0.1, 60.0));
}

/// Sends one request and runs the loop until its answer arrives.
Answer call(net::UvRuntime& runtime, Api& api, const std::string& method, const std::string& path,
            const std::string& body = "") {
  Answer out;
  bool done = false;
  api.call(method, path, body, [&](Answer answer) {
    out = std::move(answer);
    done = true;
    uv_stop(runtime.loop());
  });
  while (!done) runtime.run();
  return out;
}

std::shared_ptr<Snapshot> read_all(net::UvRuntime& runtime, Api& api) {
  std::shared_ptr<Snapshot> out;
  std::string error;
  bool done = false;
  const auto started = runtime.now();
  const bool interactive = isatty(STDERR_FILENO);
  fetch(
      api, {}, runtime.wall(),
      [&](const std::string& progress) {
        // Progress is printed only if reading takes longer than a second.
        if (runtime.now() - started > 1s)
          std::cerr << (interactive ? "\r\033[Kread " : "read ") << progress
                    << (interactive ? "" : "\n") << std::flush;
      },
      [&](std::shared_ptr<Snapshot> snapshot, const std::string& reason) {
        out = std::move(snapshot);
        error = reason;
        done = true;
        uv_stop(runtime.loop());
      });
  while (!done) runtime.run();
  if (interactive && runtime.now() - started > 1s) std::cerr << "\r\033[K" << std::flush;
  if (!out) throw ApiError(error);
  return out;
}

/// Runs a command. Errors are printed as one line and returned as an exit code.
template <class Act>
int run_and_report_errors(const ApiOptions& api_options, Act act) {
  std::vector<net::Endpoint> controllers;
  try {
    controllers = parse_controllers(api_options.to);
  } catch (const ApiError& e) {
    std::cerr << e.what() << '\n';
    return kExitBadUsage;
  }
  try {
    return act(controllers);
  } catch (const ApiError& e) {
    std::cerr << e.what() << '\n';
  } catch (const json::exception&) {
    std::cerr << "the answer has a format that this version does not know\n";
  }
  return kExitFailed;
}

void print(const Table& t) {
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < t.columns.size(); ++i) {
    auto w = width(t.columns[i]);
    for (const auto& r : t.rows) w = std::max(w, width(r[i].text));
    widths.push_back(w);
  }
  auto line = [&](auto text) {
    std::string out;
    for (std::size_t i = 0; i < widths.size(); ++i)
      out += fit(text(i), widths[i]) + (i + 1 < widths.size() ? "  " : "");
    out.erase(out.find_last_not_of(' ') + 1);
    std::cout << out << '\n';
  };
  line([&](std::size_t i) { return t.columns[i]; });
  for (const auto& r : t.rows) line([&](std::size_t i) { return r[i].text; });
}

json find_drain(const json& body, const std::string& id) {
  for (const auto& d : body.at("drains"))
    if (d.at("id") == id) return d;
  return {};
}

/// Prints the progress of a drain until it is complete. Returns false if it is not complete within
/// `timeout`.
bool wait_for_drain(net::UvRuntime& runtime, Api& api, const std::string& id,
                    net::Duration timeout) {
  const auto started = runtime.now();
  std::string last_printed;
  while (true) {
    const auto d = find_drain(body_of(call(runtime, api, "GET", "drains"), "drains"), id);
    if (d.is_null()) throw ApiError(id + ": the drain was ended meanwhile");
    Snapshot one;
    one.drains.push_back(d);
    const auto row = drains_table(one).rows.front();
    const auto text =
        id + ": " + row[5].text + ", " + row[4].text + " tasks left, held back by " + row[6].text;
    if (text != last_printed) std::cerr << (last_printed = text) << '\n';
    if (d.value("complete", json()).is_boolean() && d["complete"].get<bool>()) return true;
    if (runtime.now() - started > timeout) return false;
    bool due = false;
    runtime.after(1s, [&] {
      due = true;
      uv_stop(runtime.loop());
    });
    while (!due) runtime.run();
  }
}

void add_drain(CLI::App& cli, std::optional<int>& result, bool start_drain) {
  auto* command =
      start_drain
          ? cli.add_subcommand(
                "drain",
                "drain a machine or a zone: no new tasks start there, and its tasks move elsewhere")
          : cli.add_subcommand("undrain", "end a drain");
  struct DrainOptions {
    std::string kind, name, note;
    bool give_back = false, wait = false;
    double wait_s = 3600;
  };
  auto api_options = std::make_shared<ApiOptions>();
  auto options = std::make_shared<DrainOptions>();
  command->add_option("kind", options->kind, "machine or zone")
      ->required()
      ->check(CLI::IsMember({"machine", "zone"}));
  command->add_option("name", options->name, "its name")->required();
  if (start_drain) {
    command->add_option("--note", options->note,
                        "the reason, shown to all operators (at most 200 bytes)");
    command->add_flag("--give-back", options->give_back, "return emptied machines to the cloud");
    command->add_flag("--wait", options->wait,
                      "wait until the drain is complete and print what holds it back; exit code 1 "
                      "if it does not complete in time");
    command
        ->add_option("--wait-most", options->wait_s, "maximum time to wait with --wait, in seconds")
        ->check(CLI::Range(1.0, 86400.0));
  }
  add_api_options(command, api_options);
  command->callback([&result, api_options, options, start_drain] {
    result = run_and_report_errors(*api_options, [&](const auto& controllers) {
      net::UvRuntime runtime(16);
      HttpApi api(runtime, controllers, api_options->timeout());
      const auto id = options->kind + "/" + options->name;
      const auto path = "drains/" + id;
      if (!start_drain) {
        body_of(call(runtime, api, "DELETE", path), path);
        std::cout << id << ": the drain has ended\n";
        return 0;
      }
      body_of(call(runtime, api, "PUT", path,
                   json{{"note", options->note}, {"giveBack", options->give_back}}.dump()),
              path, {200, 201});
      std::cout << id << " is being drained\n";
      if (!options->wait) return 0;
      return wait_for_drain(runtime, api, id, net::to_duration(wire::Seconds(options->wait_s)))
                 ? 0
                 : kExitFailed;
    });
  });
}
}  // namespace

void add_commands(CLI::App& cli, std::optional<int>& result) {
  {
    auto* command = cli.add_subcommand(
        "console", "show jobs, machines, drains and controllers in the terminal");
    auto api_options = std::make_shared<ApiOptions>();
    auto refresh = std::make_shared<double>(2);
    add_api_options(command, api_options);
    command->add_option("--refresh", *refresh, "seconds between two refreshes")
        ->check(CLI::Range(0.5, 3600.0));
    command->callback([&result, api_options, refresh] {
      result = run_and_report_errors(*api_options, [&](const auto& controllers) {
        return run_console(controllers, api_options->timeout(),
                           net::to_duration(wire::Seconds(*refresh)));
      });
    });
  }
  {
    auto* command =
        cli.add_subcommand("report", "write an HTML page that says for each job why it waits");
    auto api_options = std::make_shared<ApiOptions>();
    auto out = std::make_shared<std::string>();
    auto as_json = std::make_shared<bool>(false);
    add_api_options(command, api_options);
    command->add_option("--out", *out, "the file to write; without it, standard output");
    command->add_flag("--json", *as_json, "JSON for scripts instead of a page");
    command->callback([&result, api_options, out, as_json] {
      result = run_and_report_errors(*api_options, [&](const auto& controllers) {
        net::UvRuntime runtime(16);
        HttpApi api(runtime, controllers, api_options->timeout());
        const auto snapshot = read_all(runtime, api);
        std::string text;
        if (*as_json) {
          text = to_json(*snapshot).dump(1, ' ', false, json::error_handler_t::replace) + "\n";
        } else {
          std::string no_plots_reason;
          const auto plots = plot_history(*snapshot, no_plots_reason);
          text = render_report(*snapshot, plots);
          if (!no_plots_reason.empty()) std::cerr << no_plots_reason << '\n';
        }
        if (out->empty()) {
          std::cout << text << std::flush;
          if (!std::cout) throw ApiError("cannot write standard output");
        } else {
          write_file(*out, text);
        }
        for (const auto& m : snapshot->missing) std::cerr << "part missing: " << m << '\n';
        return 0;
      });
    });
  }
  add_drain(cli, result, true);
  add_drain(cli, result, false);
  {
    auto* command =
        cli.add_subcommand("drains", "list drains, their progress and what holds them back");
    auto api_options = std::make_shared<ApiOptions>();
    add_api_options(command, api_options);
    command->callback([&result, api_options] {
      result = run_and_report_errors(*api_options, [&](const auto& controllers) {
        net::UvRuntime runtime(16);
        HttpApi api(runtime, controllers, api_options->timeout());
        const auto body = body_of(call(runtime, api, "GET", "drains"), "drains");
        Snapshot s;
        for (const auto& d : body.at("drains")) s.drains.push_back(d);
        print(drains_table(s));
        return 0;
      });
    });
  }
}
}  // namespace limemast::tools

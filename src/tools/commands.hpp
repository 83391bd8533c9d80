#pragma once
#include <optional>

#include <CLI/CLI.hpp>

namespace limemast::tools {
/// Adds the operators' subcommands: console, report, drain, undrain, drains. Parsing the command
/// line runs the chosen one and stores its exit code in `result`.
void add_commands(CLI::App& cli, std::optional<int>& result);
}  // namespace limemast::tools

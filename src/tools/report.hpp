#pragma once
#include "tools/tables.hpp"

namespace limemast::tools {
/// Renders the report as one self-contained HTML page. `plots` holds (title, SVG) pairs, inserted
/// unescaped.
std::string render_report(const Snapshot& snapshot,
                          const std::vector<std::pair<std::string, std::string>>& plots);

/// Plots the history as (title, SVG) pairs: pending tasks by cause, and machines. Without a history
/// or gnuplot the result is empty and `why` is set to the reason.
std::vector<std::pair<std::string, std::string>> plot_history(const Snapshot& snapshot,
                                                              std::string& why);

/// Writes a file atomically: writes to PATH.part, syncs it and renames it. Throws ApiError.
void write_file(const std::string& path, const std::string& content);
}  // namespace limemast::tools

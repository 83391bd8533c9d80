#pragma once
#include "tools/snapshot.hpp"

namespace limemast::tools {
struct Cell {
  std::string text;
  std::optional<double> number;  ///< what it is sorted by; texts without one are sorted as they are
};
/// What console and report show alike.
struct Table {
  std::string name;
  std::vector<std::string> columns;
  std::vector<std::vector<Cell>> rows;
};
Table jobs_table(const Snapshot& s);
Table machines_table(const Snapshot& s);
Table drains_table(const Snapshot& s);
Table controllers_table(const Snapshot& s);
Table teams_table(const Snapshot& s);
/// Waiting jobs and tasks by cause, the most tasks first.
Table causes_table(const Snapshot& s);

/// Stable; rows without a number come last, whichever way.
void sort_rows(Table& table, std::size_t column, bool descending);
/// Keeps rows of which some cell holds the text, small and capital letters alike.
void filter_rows(Table& table, const std::string& text);
/// 75 -> "1m15s", 4000 -> "1h06m".
std::string span(double seconds);
/// What a job waits for, as a sentence: "machines booting, first in 20s".
std::string reason(const wire::json& job);
}  // namespace limemast::tools

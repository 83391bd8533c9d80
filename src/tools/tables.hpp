#pragma once
#include "tools/snapshot.hpp"

namespace limemast::tools {
struct Cell {
  std::string text;
  std::optional<double> number;  ///< sort key; cells without a number are sorted by their text
};
/// A table that both the console and the report show.
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
/// Pending jobs and tasks by cause, in descending order of tasks.
Table causes_table(const Snapshot& s);

/// Sorts stably. In a column of numbers, rows without a number come last in both directions.
void sort_rows(Table& table, std::size_t column, bool descending);
/// Keeps the rows in which some cell contains the text, ignoring the case of ASCII letters.
void filter_rows(Table& table, const std::string& text);
/// Formats a duration: 75 -> "1m15s", 4000 -> "1h06m".
std::string span(double seconds);
/// What a job waits for, as a sentence: "machines booting, first in 20s".
std::string reason(const wire::json& job);
}  // namespace limemast::tools

#pragma once
#include <functional>
#include <vector>

#include "wire/settings.hpp"

namespace limemast::app {
/// One setting of the operators' file: its section and name, its valid range and its description.
/// The list of all options is used both to validate the file and to print
/// `limemast settings --explain`.
struct Option {
  enum class Form { Number, Whole, Flag };
  const char* section;
  const char* name;
  Form form;
  double min, max;  ///< valid range of a number; 0 and 1 for flags
  const char* unit;
  const char* description;
  std::function<double(const wire::Settings&)> get;  ///< flags: 0 or 1
  std::function<void(wire::Settings&, double)> set;
  bool flat = false;  ///< may also be set outside any section, as in older files
};
const std::vector<Option>& options();
/// Formats all options as a file that sets each to its value in `settings`, with description and
/// range as comments.
std::string explain(const wire::Settings& settings);
}  // namespace limemast::app

#pragma once
#include <optional>
#include <stdexcept>

#include "wire/settings.hpp"

namespace limemast::app {
/// Says which field is wrong.
struct BadSettings : std::runtime_error {
  using std::runtime_error::runtime_error;
};
/// The platform's JSON; unknown fields are ignored.
wire::Settings parse_settings(const std::string& text);
/// The operators' own TOML; unknown fields are errors, since they would be misspelt ones.
void apply_tuning(wire::Settings& settings, const std::string& toml_text);
}  // namespace limemast::app

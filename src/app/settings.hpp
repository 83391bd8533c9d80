#pragma once
#include <optional>
#include <stdexcept>

#include "wire/settings.hpp"

namespace limemast::app {
/// The settings are invalid; the message names the field.
struct BadSettings : std::runtime_error {
  using std::runtime_error::runtime_error;
};
/// Parses the platform's JSON settings; unknown fields are ignored. Throws BadSettings.
wire::Settings parse_settings(const std::string& text);
/// Applies the operators' TOML file. Unknown fields are errors, because they are probably misspelt.
/// Throws BadSettings.
void apply_tuning(wire::Settings& settings, const std::string& toml_text);
}  // namespace limemast::app

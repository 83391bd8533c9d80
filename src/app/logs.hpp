#pragma once
#include <cstdint>
#include <string>

#include "ids/fencing.hpp"

namespace limemast::app {
/// Configures logging to standard error, as text or as JSON with one object per line and the same
/// fields in each (`at`, `level`, `controller`, `epoch`, `text`). The environment variable
/// LOG_LEVEL sets the level: `debug`, `info`, or by default `error`.
void set_up_logs(const std::string& controller, bool as_json);
/// Sets the epoch number that later lines contain.
void set_log_epoch(ids::EpochNumber epoch);
/// Formats one log line as JSON; declared here for tests. `at_ms`: milliseconds since the Unix
/// epoch.
std::string json_line(std::int64_t at_ms, const std::string& level, const std::string& controller,
                      ids::EpochNumber epoch, const std::string& text);
}  // namespace limemast::app

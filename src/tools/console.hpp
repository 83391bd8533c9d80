#pragma once
#include "tools/screen.hpp"

namespace limemast::tools {
/// Shows the terminal view until the user quits. `every` is the time between two refreshes. Returns
/// the process's exit code.
int run_console(const std::vector<net::Endpoint>& controllers, net::Duration timeout,
                net::Duration every);
}  // namespace limemast::tools

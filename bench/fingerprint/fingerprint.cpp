// Simulates one day per seed and prints a hash of everything that the controllers sent. Two builds
// that print the same hashes behaved identically; compare.sh compares them.
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>

#include <spdlog/spdlog.h>

#include "compat/fault_day.hpp"
#include "compat/outgoing_log.hpp"

namespace {
using namespace limemast;

constexpr int kUsageErrorExitCode = 2;

struct Arguments {
  std::uint64_t first_seed = 1, last_seed = 1;
  std::string trace_file;
};

int usage() {
  std::cerr << "usage: fingerprint [--trace FILE] FIRST_SEED [LAST_SEED]\n";
  return kUsageErrorExitCode;
}

bool parse_seed(const std::string& text, std::uint64_t& seed) {
  if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos) return false;
  seed = std::strtoull(text.c_str(), nullptr, 10);
  return true;
}

bool parse_arguments(int count, char** texts, Arguments& out) {
  int seed_count = 0;
  for (int i = 1; i < count; ++i) {
    const std::string text = texts[i];
    if (text == "--trace" && i + 1 < count) {
      out.trace_file = texts[++i];
      continue;
    }
    if (seed_count == 2 || !parse_seed(text, seed_count == 0 ? out.first_seed : out.last_seed))
      return false;
    if (++seed_count == 1) out.last_seed = out.first_seed;
  }
  return seed_count > 0;
}

void simulate_day(std::uint64_t seed, std::ostream* trace) {
  simulation::SimulatedWorld world(seed);
  compat::OutgoingLog log(world, trace);
  compat::FaultDay day(world, seed, [&](const auto& item) { log.add(item); });
  day.run();
  std::cout << seed << ' ' << std::hex << std::setw(16) << std::setfill('0') << log.hash()
            << std::dec << ' ' << log.count() << std::endl;
}
}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  if (!parse_arguments(argc, argv, arguments)) return usage();
  spdlog::set_level(spdlog::level::off);
  std::ofstream trace;
  if (!arguments.trace_file.empty()) {
    trace.open(arguments.trace_file);
    if (!trace) {
      std::cerr << "--trace: cannot write " << arguments.trace_file << '\n';
      return kUsageErrorExitCode;
    }
  }
  for (auto seed = arguments.first_seed; seed <= arguments.last_seed; ++seed)
    simulate_day(seed, trace.is_open() ? &trace : nullptr);
  return 0;
}

#pragma once
// Responses of the cloud's API: the catalog of machine types and the list of rented machines.
#include <optional>
#include <string>
#include <vector>

#include "wire/job.hpp"

namespace limemast::wire {
/// A machine type in the cloud's catalog.
struct MachineType {
  std::string name;
  double cpus = 0;
  double accelerators = 0;
  double ram_gb = 0;
  double cache_gb = 0;        ///< local storage for images
  double fetch_gb_per_s = 0;  ///< download rate for images
  double price = 0;           ///< per hour, as an on-demand machine
  double spot_price = 0;      ///< per hour, as a spot machine
  Seconds boot{0};            ///< expected time from the launch until the worker is ready
  std::vector<std::string> zones;

  /// Whether a task of the job fits on an empty machine of this type.
  bool fits(const JobSpec& spec) const {
    return spec.cpus <= cpus && spec.accelerators <= accelerators && spec.ram_gb <= ram_gb;
  }
};

/// State of a machine according to the cloud.
enum class MachinePhase { Booting, Running, Failed };
/// A rented machine in the cloud's list.
struct ListedMachine {
  std::string name;
  std::string address;  ///< host:port on which its worker accepts commands; empty: not yet known
  std::string type;
  std::string zone;
  bool spot = false;
  MachinePhase phase = MachinePhase::Booting;
  Seconds rented_for{0};  ///< time since the launch
};

/// Returns nullopt if the body is not a catalog.
std::optional<std::vector<MachineType>> parse_catalog(const json& body);

/// One page of the machine list.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool has_more = false;  ///< further pages follow
};
/// Returns nullopt if the body is not a page of the list.
std::optional<MachinePage> parse_machines(const json& body);
/// The same with an output parameter for `MachinePage::has_more`.
std::optional<std::vector<ListedMachine>> parse_machines(const json& body, bool& has_more);
}  // namespace limemast::wire

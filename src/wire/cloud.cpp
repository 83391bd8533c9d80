#include "wire/cloud.hpp"

namespace limemast::wire {
namespace {
// Field names and values of the cloud's API.
constexpr auto kAccelerators = "accelerators";
constexpr auto kAddress = "address";
constexpr auto kBoot = "readyS";
constexpr auto kCacheGb = "localGb";
constexpr auto kCpus = "cpus";
constexpr auto kFetchRate = "fetchGbPerS";
constexpr auto kRentedFor = "heldS";
constexpr auto kMachineName = "uid";
constexpr auto kMachines = "hosts";
constexpr auto kMore = "truncated";
constexpr auto kPhase = "phase";
constexpr auto kPhaseFailed = "failed";
constexpr auto kPhaseRunning = "running";
constexpr auto kPrice = "hourly";
constexpr auto kRamGb = "ramGb";
constexpr auto kSpot = "reclaimable";
constexpr auto kSpotPrice = "lowPrice";
constexpr auto kType = "flavor";
constexpr auto kTypeName = "name";
constexpr auto kTypes = "flavors";
constexpr auto kZone = "district";
constexpr auto kZones = "districts";

MachineType parse_type(const json& entry) {
  MachineType type;
  type.name = entry.at(kTypeName).get<std::string>();
  type.cpus = entry.at(kCpus).get<double>();
  type.accelerators = entry.value(kAccelerators, 0.0);
  type.ram_gb = entry.at(kRamGb).get<double>();
  type.cache_gb = entry.value(kCacheGb, 0.0);
  type.fetch_gb_per_s = entry.value(kFetchRate, 0.0);
  type.price = entry.at(kPrice).get<double>();
  type.spot_price = entry.value(kSpotPrice, type.price);
  type.boot = Seconds(entry.value(kBoot, 0.0));
  type.zones = entry.at(kZones).get<std::vector<std::string>>();
  return type;
}

/// An unknown phase is parsed as Booting, since the machine is then not expected to run tasks.
MachinePhase parse_phase(const std::string& phase) {
  if (phase == kPhaseRunning) return MachinePhase::Running;
  if (phase == kPhaseFailed) return MachinePhase::Failed;
  return MachinePhase::Booting;
}

ListedMachine parse_machine(const json& entry) {
  ListedMachine machine;
  machine.name = entry.at(kMachineName).get<std::string>();
  machine.type = entry.at(kType).get<std::string>();
  machine.zone = entry.at(kZone).get<std::string>();
  machine.spot = entry.at(kSpot).get<bool>();
  machine.phase = parse_phase(entry.at(kPhase).get<std::string>());
  machine.rented_for = Seconds(entry.value(kRentedFor, 0.0));
  machine.address = entry.value(kAddress, "");
  return machine;
}
}  // namespace

std::optional<std::vector<MachineType>> parse_catalog(const json& body) try {
  std::vector<MachineType> types;
  for (const auto& entry : body.at(kTypes)) types.push_back(parse_type(entry));
  return types;
} catch (const json::exception&) {
  return std::nullopt;
}

std::optional<MachinePage> parse_machines(const json& body) try {
  MachinePage page;
  page.has_more = body.value(kMore, false);
  for (const auto& entry : body.at(kMachines)) page.machines.push_back(parse_machine(entry));
  return page;
} catch (const json::exception&) {
  return std::nullopt;
}

std::optional<std::vector<ListedMachine>> parse_machines(const json& body, bool& has_more) {
  auto page = parse_machines(body);
  if (!page) return std::nullopt;
  has_more = page->has_more;
  return std::move(page->machines);
}
}  // namespace limemast::wire

#include "cloud/provisioner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include <spdlog/spdlog.h>

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
/// How long a kind of machine is not requested after the cloud had too few of it.
constexpr auto kNoCapacityBackoff = 15s;
constexpr auto kRetryDelay = 1s;
constexpr std::size_t kMaxConcurrentLaunches = 6;
constexpr double kMaxMachinesPerLaunch = 50;
/// Demand in excess of whole machines launches another machine only above this fraction of a
/// machine.
constexpr double kMachineRoundingSlack = 0.25;
constexpr auto kNoOfferLogInterval = 60s;

/// The market and the zones of the demand, for log lines.
std::string place_of(const LaunchDemand& demand) {
  std::string out = demand.spot ? "spot" : "on-demand";
  out += " in ";
  if (!demand.zones) return out + "any zone";
  bool first = true;
  for (const auto& zone : *demand.zones) {
    out += (std::exchange(first, false) ? "" : ", ") + zone;
  }
  return out;
}
}  // namespace

Provisioner::Provisioner(net::Runtime& runtime, const wire::Settings& settings,
                         const cluster::Membership& membership, const machines::Registry& registry,
                         const CatalogFetcher& catalog, CloudClient& cloud,
                         MachineInventory& inventory)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      registry_(registry),
      catalog_(catalog),
      cloud_(cloud),
      inventory_(inventory) {}

bool Provisioner::launch(const LaunchDemand& demand) {
  if (demand.jobs.empty() || launches_.size() >= kMaxConcurrentLaunches ||
      is_launching(demand.spot, demand.zones))
    return true;
  const auto offer = select_offer(query(demand));
  if (!offer) {
    log_no_offer(demand);
    return false;
  }
  enqueue(*offer, demand);
  return true;
}

void Provisioner::log_no_offer(const LaunchDemand& demand) {
  const auto place = place_of(demand);
  const auto now = runtime_.now();
  const auto [logged, is_first] = no_offer_logged_at_.try_emplace(place, now);
  if (!is_first && now - logged->second < kNoOfferLogInterval) return;
  logged->second = now;
  spdlog::info(
      "no machine can be launched for {:.0f} CPUs, {}: none of {} jobs can use an available type, "
      "epoch {}",
      demand.cpus, place, demand.jobs.size(), membership_.epoch().number);
}

bool Provisioner::is_launching(bool spot, const std::set<std::string>* zones) const {
  return std::any_of(launches_.begin(), launches_.end(), [&](const Launch& launch) {
    return launch.request.spot == spot && (!zones || zones->contains(launch.request.zone));
  });
}

bool Provisioner::is_backing_off(const MachineKind& kind) const {
  const auto until = backoff_until_.find(kind);
  return until != backoff_until_.end() && runtime_.now() < until->second;
}

OfferQuery Provisioner::query(const LaunchDemand& demand) const {
  OfferQuery out{.jobs = demand.jobs,
                 .spot = demand.spot,
                 .zones = demand.zones,
                 .types = catalog_.types(),
                 .cpus_by_zone = {},
                 .overdue = {},
                 .is_available = {}};
  for (const auto& [name, machine] : inventory_.machines()) {
    const auto* type = registry_.type(machine.type);
    if (type && machine.spot == demand.spot) out.cpus_by_zone[machine.zone] += type->cpus;
    if (inventory_.is_overdue(name, machine, runtime_.now()))
      ++out.overdue[{machine.type, machine.zone}];
  }
  out.is_available = [this, spot = demand.spot](const auto& type, const auto& zone) {
    return !registry_.zone_drained(zone) && !is_backing_off({type.name, zone, spot});
  };
  return out;
}

void Provisioner::enqueue(const Offer& offer, const LaunchDemand& demand) {
  const double count = std::clamp(std::ceil(demand.cpus / offer.type->cpus - kMachineRoundingSlack),
                                  1.0, kMaxMachinesPerLaunch);
  Launch launch;
  launch.request.name = "r-" + std::to_string(membership_.epoch().number.value()) + "-" +
                        settings_.label + "-" + std::to_string(next_launch_number_++);
  launch.request.type = offer.type->name;
  launch.request.zone = offer.zone;
  launch.request.spot = demand.spot;
  launch.request.count = static_cast<std::uint32_t>(count);
  launches_.push_back(std::move(launch));
}

std::vector<MachineSupply> Provisioner::supply() const {
  std::vector<MachineSupply> out;
  for (const auto& [request, sent] : launches_)
    if (const auto* type = registry_.type(request.type))
      out.push_back({request.zone, request.spot, type->cpus * request.count});
  return out;
}

void Provisioner::send_queued() {
  for (auto& launch : launches_) {
    if (launch.sent || !cloud_.try_acquire_call()) continue;
    launch.sent = true;
    cloud_.send(launch_request(launch.request),
                [this, name = launch.request.name](const net::HttpResult& response) {
                  on_response(name, parse_launch_response(response));
                });
  }
}

void Provisioner::on_response(const std::string& name, const LaunchResponse& response) {
  const auto it = std::find_if(launches_.begin(), launches_.end(),
                               [&](const Launch& launch) { return launch.request.name == name; });
  if (it == launches_.end()) return;
  if (response.outcome == LaunchResponse::Outcome::Unanswered) {
    retry_later(name);
    return;
  }
  if (response.outcome == LaunchResponse::Outcome::Launched)
    on_launched(it->request, response.machines);
  else
    backoff_until_[kind_of(it->request)] = runtime_.now() + kNoCapacityBackoff;
  launches_.erase(it);
}

void Provisioner::on_launched(const LaunchRequest& request,
                              const std::vector<std::string>& machines) {
  inventory_.apply_launch(request, machines, runtime_.now());
  if (machines.size() < request.count)
    backoff_until_[kind_of(request)] = runtime_.now() + kNoCapacityBackoff;
  spdlog::info("launched {} of {} {} in {}{}, epoch {}", machines.size(), request.count,
               request.type, request.zone, request.spot ? " (spot)" : "",
               membership_.epoch().number);
}

void Provisioner::retry_later(const std::string& name) {
  runtime_.after(kRetryDelay, [this, name] {
    for (auto& launch : launches_)
      if (launch.request.name == name) launch.sent = false;
  });
}
}  // namespace limemast::cloud

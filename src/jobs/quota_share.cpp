#include "jobs/quota_share.hpp"

#include <algorithm>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
using wire::Resources;

/// Minimum interval between a demand and the next one that a refused task triggers.
constexpr auto kMinDemandInterval = 50ms;
/// A demand covers at least this many tasks, to save a round trip for each.
constexpr double kMinTasksDemanded = 8;
/// The largest fraction of a limit that one member demands beyond its use for all its pending
/// tasks. Demanding it in small steps delayed the start of a thousand tasks by half a minute, but
/// quota that a member holds without finding machines is kept from the others.
constexpr double kMaxLimitShareDemanded = 1.0 / 16;
/// Quota is wanted for this many heartbeat intervals after a task was refused, since a machine
/// pulls again with its next heartbeat, which may be late.
constexpr int kWantedHeartbeats = 2;

Resources without_ram(const Resources& resources) {
  return {resources.cpus, 0, resources.accelerators};
}

/// The total of one resource to demand. `one`: need of the refused task; `all`: need of all pending
/// tasks.
double demanded_total(double used, double one, double all, double limit) {
  return used + std::max(kMinTasksDemanded * one, std::min(all, limit * kMaxLimitShareDemanded));
}
}  // namespace

QuotaShare::QuotaShare(net::Runtime& runtime, const TeamLimits& limits,
                       cluster::Membership& membership, cluster::MessageBus& message_bus,
                       net::Duration heartbeat_interval)
    : runtime_(runtime),
      limits_(limits),
      membership_(membership),
      message_bus_(message_bus),
      wanted_retention_(kWantedHeartbeats * heartbeat_interval) {
  message_bus_.on<messages::QuotaGrant>(
      [this](const auto& from, const auto& message) { on_grant(from, message); });
}

bool QuotaShare::may_use(const std::string& team, const Resources& need, std::uint32_t waiting) {
  const auto* limit = limits_.find(team);
  if (!limit) return true;
  const auto& share = teams_[team];
  Resources free = share.held;
  free -= share.used;
  if (free.fits(without_ram(need))) return true;
  raise_wanted(team, *limit, need, waiting);
  if (runtime_.now() - demand_sent_at_ > kMinDemandInterval) send_demand();
  return false;
}

void QuotaShare::raise_wanted(const std::string& team, const Resources& limit,
                              const Resources& need, std::uint32_t waiting) {
  auto& share = teams_[team];
  share.wanted_at = runtime_.now();
  const auto found = pending_demand_.find(team);
  const auto all = found == pending_demand_.end() ? Resources{} : found->second;
  const auto all_cpus = std::max(all.cpus, waiting * need.cpus);
  const auto all_accelerators = std::max(all.accelerators, waiting * need.accelerators);
  share.wanted.cpus =
      std::max(share.wanted.cpus, demanded_total(share.used.cpus, need.cpus, all_cpus, limit.cpus));
  share.wanted.accelerators =
      std::max(share.wanted.accelerators, demanded_total(share.used.accelerators, need.accelerators,
                                                         all_accelerators, limit.accelerators));
}

void QuotaShare::use(const std::string& team, const Resources& need) {
  if (limits_.is_limited(team)) teams_[team].used += without_ram(need);
}

void QuotaShare::release(const std::string& team, const Resources& need) {
  if (limits_.is_limited(team)) teams_[team].used -= without_ram(need);
}

void QuotaShare::send_demand() {
  demand_sent_at_ = runtime_.now();
  const auto& leader = membership_.epoch().leader;
  messages::QuotaDemand demand;
  for (const auto& [team, share] : teams_) demand.teams[team] = {share.held, share.wanted};
  demand.serial = last_leader_ == leader ? last_serial_ : 0;
  message_bus_.send(leader, demand);
}

void QuotaShare::release_unneeded_and_report() {
  for (auto& [team, share] : teams_) {
    share.held.cpus = std::min(share.held.cpus, std::max(share.used.cpus, share.wanted.cpus));
    share.held.accelerators = std::min(
        share.held.accelerators, std::max(share.used.accelerators, share.wanted.accelerators));
  }
  send_demand();
  for (auto& [team, share] : teams_)
    if (!still_wanted(team, share)) share.wanted = {};
}

bool QuotaShare::still_wanted(const std::string& team, const TeamShare& share) const {
  return pending_demand_.contains(team) && runtime_.now() - share.wanted_at < wanted_retention_;
}

bool QuotaShare::on_epoch_changed() {
  if (last_leader_ == membership_.epoch().leader) return false;
  last_leader_ = membership_.epoch().leader;
  last_serial_ = 0;
  return true;
}

Resources QuotaShare::held(const std::string& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? Resources{} : it->second.held;
}

std::map<std::string, Resources> QuotaShare::raise_held_to_used() {
  std::map<std::string, Resources> out;
  for (auto& [team, share] : teams_) {
    share.held.cpus = std::max(share.held.cpus, share.used.cpus);
    share.held.accelerators = std::max(share.held.accelerators, share.used.accelerators);
    out[team] = share.held;
  }
  return out;
}

void QuotaShare::on_grant(const cluster::ControllerId& from, const messages::QuotaGrant& grant) {
  if (from != membership_.epoch().leader) return;
  if (last_leader_ == from && grant.serial <= last_serial_) return;
  last_leader_ = from;
  last_serial_ = grant.serial;
  for (const auto& [team, held] : grant.teams) teams_[team].held = held;
}
}  // namespace limemast::jobs

#include "jobs/quota_allocator.hpp"

#include <algorithm>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
using wire::Resources;

/// If a member has not confirmed a grant within this time, the grant is sent again.
constexpr auto kGrantConfirmTimeout = 500ms;
}  // namespace

QuotaAllocator::QuotaAllocator(net::Runtime& runtime, const TeamLimits& limits,
                               cluster::Membership& membership, cluster::MessageBus& message_bus,
                               QuotaShare& own_share)
    : runtime_(runtime),
      limits_(limits),
      membership_(membership),
      message_bus_(message_bus),
      own_share_(own_share) {
  message_bus_.on<messages::QuotaDemand>(
      [this](const auto& from, const auto& message) { on_demand(from, message); });
}

bool QuotaAllocator::all_members_reported() const {
  const auto& members = membership_.epoch().members;
  return std::all_of(members.begin(), members.end(), [&](const auto& controller) {
    const auto it = members_.find(controller);
    return it != members_.end() && it->second.reported;
  });
}

void QuotaAllocator::finish_recovery_if_complete(bool all_tasks_known) {
  if (!recovering() || !all_tasks_known || !all_members_reported()) return;
  recovery_finished_ = true;
  // Tasks of lost members were taken over, and their new owners count them.
  std::erase_if(members_, [&](const auto& member) { return !membership_.is_member(member.first); });
  auto& own = members_[membership_.self()];
  for (auto& [team, held] : own_share_.raise_held_to_used()) own.granted[team] = held;
}

void QuotaAllocator::on_epoch_changed(bool leader_changed) {
  if (leader_changed) members_.clear();
  // A member that joined holds no quota yet. The tasks of a lost member are known only after all
  // machines have reported them, so nothing is granted until then.
  if (!leader_changed && !membership_.lost_member()) return;
  recovery_finished_ = false;
  recovery_epoch_ = membership_.epoch().number;
}

void QuotaAllocator::on_demand(const cluster::ControllerId& from,
                               const messages::QuotaDemand& demand) {
  if (!membership_.is_leader()) return;
  auto& member = members_[from];
  const bool current = !member.reported || demand.serial == member.serial;
  if (!current) {
    // The member has not applied the last grant, which may be lost, so its report is outdated and
    // is ignored. A grant contains totals, so a second copy does no harm.
    if (runtime_.now() - member.grant_sent_at > kGrantConfirmTimeout) send_grant(from, member);
    return;
  }
  const bool granted_more = apply_demand(from, member, demand);
  member.reported = true;
  if (!granted_more) return;
  ++member.serial;
  send_grant(from, member);
}

bool QuotaAllocator::apply_demand(const cluster::ControllerId& from, MemberGrants& member,
                                  const messages::QuotaDemand& demand) {
  bool granted_more = false;
  for (const auto& [team, entry] : demand.teams) {
    const auto* limit = limits_.find(team);
    if (!limit) continue;
    auto& granted = member.granted[team];
    // The share of this controller may have grown since it sent the demand, through tasks that it
    // adopted.
    granted = from == membership_.self() ? own_share_.held(team) : entry.held;
    if (!recovery_finished_) continue;
    const auto free = free_quota(team, *limit);
    const double cpus = std::clamp(entry.wanted.cpus - granted.cpus, 0.0, std::max(0.0, free.cpus));
    const double accelerators = std::clamp(entry.wanted.accelerators - granted.accelerators, 0.0,
                                           std::max(0.0, free.accelerators));
    if (cpus <= 0 && accelerators <= 0) continue;
    granted.cpus += cpus;
    granted.accelerators += accelerators;
    granted_more = true;
  }
  return granted_more;
}

Resources QuotaAllocator::free_quota(const std::string& team, const Resources& limit) const {
  Resources free = limit;
  free -= orphaned_usage_.of(team);
  for (const auto& [controller, member] : members_)
    if (const auto it = member.granted.find(team); it != member.granted.end()) free -= it->second;
  return free;
}

void QuotaAllocator::send_grant(const cluster::ControllerId& to, MemberGrants& member) {
  member.grant_sent_at = runtime_.now();
  message_bus_.send(to, messages::QuotaGrant{member.granted, member.serial});
}
}  // namespace limemast::jobs

#include "cluster/epoch_tracker.hpp"

#include <algorithm>
#include <utility>

#include "wire/settings.hpp"

namespace limemast::cluster {
namespace {
using namespace std::chrono_literals;
/// Longest time that a response sent by an evicted member may still be in transit.
constexpr auto kMaxResponseTransit = 200ms;
}  // namespace

EpochTracker::Update EpochTracker::update(const store::Entry& entry, net::Time now) {
  if (entry.mod_revision <= epoch_.mod_revision()) return Update::None;
  auto next = read_epoch(entry);
  readable_ = next.has_value();
  if (!next) return Update::Unreadable;
  advance(std::move(*next), now);
  return Update::Advanced;
}

void EpochTracker::advance(MembershipEpoch next, net::Time now) {
  const auto before = std::exchange(epoch_, std::move(next));
  lost_member_ =
      std::any_of(before.members.begin(), before.members.end(),
                  [&](const ControllerId& controller) { return !is_member(controller); });
  // The first known epoch may itself have been written because a member was lost.
  if (before.members.empty() || lost_member_) {
    last_member_loss_ = now;
    lost_members_silent_from_ =
        now + kLeaseCertainFor + kLeaseCertainFor / wire::kClockDriftDivisor + kMaxResponseTransit;
  }
  if (epoch_.leader != before.leader) leader_since_epoch_ = epoch_.number;
}
}  // namespace limemast::cluster

#include "cluster/membership.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

namespace limemast::cluster {
namespace {
using namespace std::chrono_literals;
/// This controller stops acting this long before its lease may expire, in addition to the allowance
/// for clock drift.
constexpr auto kLeaseMargin = 300ms;

bool concerns_membership(const std::vector<store::Change>& changes) {
  return std::any_of(changes.begin(), changes.end(), [](const store::Change& change) {
    return change.key == keys::kEpoch || change.key == keys::kLeader ||
           change.key.starts_with(keys::kMembers);
  });
}
}  // namespace

Membership::Membership(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
                       store::WatchCache& watch_cache)
    : runtime_(runtime),
      settings_(settings),
      client_(client),
      watch_cache_(watch_cache),
      lease_keeper_(runtime, settings, client, timeline_),
      election_(runtime, settings, client, watch_cache, lease_keeper_, epoch_) {}

void Membership::start(Events events) {
  events_ = std::move(events);
  timeline_.record_phase(StartupPhase::Started, runtime_.now());
  lease_keeper_.start({[this] { election_.advance(); }, [this] { events_.stepped_down(); }});
}

/// Returns the time until which this controller may act. Both the last renewal and the freshness of
/// the watch cache limit it. If renewals alone counted, a controller whose renewals succeed while
/// its watch hangs could keep cancelled tasks running on its workers indefinitely. (Test:
/// Gap.RenewalsWithAHangingWatchProlongNothing.)
net::Time Membership::valid_until() const {
  const auto ttl = lease_keeper_.lease_ttl();
  return std::min(lease_keeper_.last_renewal(), watch_cache_.fresh_until()) + ttl -
         ttl / wire::kClockDriftDivisor - kLeaseMargin;
}

bool Membership::may_act() const {
  return !lease_keeper_.lost() && !self().empty() && epoch_.readable() &&
         runtime_.now() < valid_until() && is_member(self());
}

bool Membership::is_leader() const {
  return may_act() && election_.leader_readable() && epoch().leader == self();
}

bool Membership::lease_certain() const {
  return may_act() && runtime_.now() - last_lease_renewal() < kLeaseCertainFor;
}

bool Membership::store_available() const {
  return runtime_.now() - last_lease_renewal() < kStoreUnavailableAfter;
}

ControllerId Membership::member_with_label(const std::string& label) const {
  for (const auto& controller : epoch().members)
    if (controller.label() == label) return controller;
  return {};
}

std::vector<store::Compare> Membership::ownership_guards(std::vector<store::Compare> own) const {
  own.push_back({keys::kEpoch, epoch().mod_revision()});
  own.push_back({keys::member(settings_.label), lease_keeper_.member_revision()});
  return own;
}

void Membership::on_changes(const std::vector<store::Change>& changes) {
  if (watch_cache_.synced()) timeline_.record_phase(StartupPhase::CacheSynced, runtime_.now());
  if (!concerns_membership(changes)) return;
  election_.on_keys_changed();
  if (const auto* entry = watch_cache_.find(keys::kEpoch)) {
    const auto previous_leader = epoch().leader;
    switch (epoch_.update(*entry, runtime_.now())) {
      case EpochTracker::Update::None:
        break;
      case EpochTracker::Update::Unreadable:
        client_.decode_errors().record(keys::kEpoch);
        break;
      case EpochTracker::Update::Advanced:
        on_epoch_advanced(previous_leader);
        break;
    }
  }
  election_.advance();
}

void Membership::on_epoch_advanced(const ControllerId& previous_leader) {
  if (!self().empty() && is_member(self()))
    timeline_.record_phase(StartupPhase::Member, runtime_.now());
  spdlog::info("membership epoch {}: leader {}, {} members, first fencing token {}", epoch().number,
               epoch().leader, epoch().members.size(), ids::FencingToken::base(epoch().number));
  // Another controller became leader while this one was running, because this lease ended or the
  // leader key was lost. The new leader owns the jobs that this controller remembers as its own, so
  // it restarts as a new incarnation.
  if (!self().empty() && previous_leader == self() && epoch().leader != self()) return step_down();
  events_.epoch_changed();
}
}  // namespace limemast::cluster

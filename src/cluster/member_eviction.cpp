#include "cluster/member_eviction.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

#include "messages/membership.hpp"

namespace limemast::cluster {
namespace {
using namespace std::chrono_literals;
using failure_detection::PeerHealth;
constexpr auto kHeartbeatInterval = 1s;
constexpr auto kCheckInterval = 500ms;  ///< a heartbeat is sent at every second tick
/// Delay before a suspicion that is not yet in the watch cache is written again.
constexpr auto kSuspicionResendDelay = 2s;
/// No new suspicion is raised while another one is younger than this, so that members are evicted
/// one at a time.
constexpr auto kSuspicionInterval = 8s;

/// Placeholder for the suspect in a record that cannot be decoded. It matches no controller id, so
/// nobody is evicted, and the leader removes the record.
constexpr const char* kUnreadableSuspect = "?";
}  // namespace

MemberEviction::MemberEviction(net::Runtime& runtime, store::Client& client,
                               store::WatchCache& watch_cache, Membership& membership,
                               MessageBus& message_bus)
    : runtime_(runtime),
      client_(client),
      watch_cache_(watch_cache),
      membership_(membership),
      message_bus_(message_bus),
      detector_(kHeartbeatInterval) {
  message_bus_.on<messages::MemberHeartbeat>(
      [this](const ControllerId& from, const messages::MemberHeartbeat& heartbeat) {
        detector_.record_heartbeat(from, heartbeat.store_available, heartbeat.reachable,
                                   runtime_.now());
      });
}

void MemberEviction::start() { tick(); }

void MemberEviction::on_epoch_changed() {
  auto others = membership_.epoch().members;
  others.erase(membership_.self());
  detector_.set_members(others, runtime_.now());
}

ControllerId MemberEviction::registered_incarnation(const std::string& label) const {
  const auto* entry = watch_cache_.find(keys::member(label));
  return entry ? ControllerId(label, entry->mod_revision.value()) : ControllerId();
}

store::Compare MemberEviction::registration_guard(const std::string& label) const {
  const auto* entry = watch_cache_.find(keys::member(label));
  return {keys::member(label), entry ? entry->mod_revision : store::kAbsent};
}

bool MemberEviction::is_suspected(const ControllerId& controller) const {
  const auto it = suspicions_.find(controller.label());
  return it != suspicions_.end() && it->second.suspect() == controller;
}

bool MemberEviction::may_evict(const ControllerId& controller) const {
  if (!membership_.lease_certain() || controller == membership_.self() ||
      !membership_.is_member(controller))
    return false;
  return membership_.is_leader() || controller == membership_.epoch().leader;
}

SuspicionState* MemberEviction::request_answered(const std::string& label) {
  const auto it = suspicions_.find(label);
  if (it == suspicions_.end()) return nullptr;
  it->second.request_answered();
  return &it->second;
}

void MemberEviction::on_changes(const std::vector<store::Change>& changes) {
  for (const auto& change : changes) {
    std::string label;
    if (!keys::match_prefix(change.key, keys::kSuspects, label)) continue;
    const bool raised_here = raised_at_.erase(label) > 0;
    if (change.removed)
      on_suspicion_removed(label, raised_here);
    else if (!on_suspicion_written(label, change.key))
      return;
  }
}

void MemberEviction::on_suspicion_removed(const std::string& label, bool raised_here) {
  const auto& self = membership_.self();
  const auto node = suspicions_.extract(label);
  // A batch may contain both the creation and the deletion of a suspicion, which is then missing
  // from `suspicions_`.
  const auto suspicion = node.empty() ? SuspicionState({registered_incarnation(label),
                                                        raised_here ? self : ControllerId(), false},
                                                       store::kAbsent, {})
                                      : node.mapped();
  const auto& suspect = suspicion.suspect();
  // This controller did not withdraw the record, so the suspect deleted it.
  if (!suspicion.raised_by(self) || suspect.empty() || registered_incarnation(label) != suspect)
    return;
  ++counts_.refuted;
  detector_.record_refutation(suspect, runtime_.now());
  spdlog::info("{} refuted the suspicion and stays a member, epoch {}", suspect,
               membership_.epoch().number);
}

bool MemberEviction::on_suspicion_written(const std::string& label, const std::string& key) {
  const auto* entry = watch_cache_.find(key);
  auto record = read_suspicion(entry->value);
  if (!record) {
    client_.decode_errors().record(key);
    record = Suspicion{ControllerId::from_text(kUnreadableSuspect), {}, false};
  }
  const bool of_self = record->suspect == membership_.self();
  // An eviction cannot be reverted, and every further write of this controller would fail its
  // conditions. Rejoining as a new incarnation is the fastest recovery.
  if (of_self && record->evicted) {
    membership_.step_down();
    return false;
  }
  auto& suspicion =
      suspicions_
          .insert_or_assign(label, SuspicionState(*record, entry->mod_revision, runtime_.now()))
          .first->second;
  if (of_self) refute(suspicion);
  return true;
}

void MemberEviction::tick() {
  const auto now = runtime_.now();
  detector_.tick(membership_.lease_certain(), now);
  send_heartbeat(now);
  for (auto& [label, suspicion] : suspicions_)
    if (!suspicion.request_in_flight()) advance(label, suspicion, now);
  raise_next_suspicion(now);
  runtime_.after(kCheckInterval, [this] { tick(); });
}

void MemberEviction::send_heartbeat(net::Time now) {
  if (!membership_.may_act()) return;
  heartbeat_this_check_ = !heartbeat_this_check_;
  if (heartbeat_this_check_)
    message_bus_.broadcast(
        messages::MemberHeartbeat{membership_.lease_certain(), detector_.reachable_peers(now)});
}

void MemberEviction::advance(const std::string& label, SuspicionState& suspicion, net::Time now) {
  const auto& suspect = suspicion.suspect();
  if (registered_incarnation(label) != suspect) {
    // The suspect was evicted, restarted, or lost its lease.
    if (membership_.is_leader()) withdraw(label, suspicion);
  } else if (suspect == membership_.self()) {
    refute(suspicion);
  } else if (suspicion.phase() == SuspicionPhase::Evicted) {
    // The controller that evicted the suspect may have failed before it revoked the lease.
    if (membership_.may_act()) revoke_lease(label, suspicion);
  } else if (suspicion.raised_by(membership_.self())) {
    if (detector_.health(suspect, now) <= PeerHealth::Slow)
      withdraw(label, suspicion);
    else if (now - suspicion.seen_at() > detector_.refutation_timeout(suspect) &&
             may_evict(suspect))
      evict(label, suspicion);
  }
}

void MemberEviction::raise_next_suspicion(net::Time now) {
  const bool another = std::any_of(suspicions_.begin(), suspicions_.end(), [&](const auto& entry) {
    const auto& suspicion = entry.second;
    return suspicion.phase() == SuspicionPhase::Suspected &&
           now - suspicion.seen_at() < kSuspicionInterval;
  });
  if (another) return;
  for (const auto& controller : membership_.epoch().members)
    if (may_evict(controller) && !suspicions_.contains(controller.label()) &&
        detector_.should_suspect(controller, now))
      return raise_suspicion(controller);
}

void MemberEviction::raise_suspicion(const ControllerId& controller) {
  const auto label = controller.label();
  const auto now = runtime_.now();
  const auto raised = raised_at_.find(label);
  if (raised != raised_at_.end() && now - raised->second < kSuspicionResendDelay) return;
  if (registered_incarnation(label) != controller) return;
  raised_at_[label] = now;
  ++counts_.suspicions;
  spdlog::info("raising suspicion of {} ({}), epoch {}", controller,
               failure_detection::name_of(detector_.health(controller, now)),
               membership_.epoch().number);
  const auto guards = membership_.ownership_guards(
      {{keys::suspect(label), store::kAbsent}, registration_guard(label)});
  const auto record = suspicion_record({controller, membership_.self(), false});
  // The record is attached to this controller's lease, because only its author can turn the
  // suspicion into an eviction.
  client_.txn(store::Priority::Critical, guards,
              {{keys::suspect(label), record, membership_.lease()}},
              [](const store::TxnResult&) { /* the watch cache shows whether it was written */ });
}

/// Deletes a suspicion about this controller, which proves that it is alive and reaches the store.
/// The transaction has no condition on the epoch, because the suspicion concerns one incarnation
/// regardless of the epoch.
void MemberEviction::refute(SuspicionState& suspicion) {
  const auto label = suspicion.suspect().label();
  if (suspicion.request_in_flight() || registered_incarnation(label).empty()) return;
  suspicion.request_sent(SuspicionRequest::Refute);
  ++counts_.own_refutations;
  remove_record(label,
                {{keys::suspect(label), suspicion.mod_revision()}, registration_guard(label)});
}

void MemberEviction::withdraw(const std::string& label, SuspicionState& suspicion) {
  suspicion.request_sent(SuspicionRequest::Withdraw);
  if (suspicion.raised_by(membership_.self())) {
    ++counts_.withdrawn;
    suspicion.mark_withdrawn();
  }
  remove_record(label, {{keys::suspect(label), suspicion.mod_revision()}});
}

void MemberEviction::remove_record(const std::string& label,
                                   const std::vector<store::Compare>& guards) {
  client_.txn(store::Priority::Critical, guards, {{keys::suspect(label), std::nullopt}},
              [this, label](const store::TxnResult&) { request_answered(label); });
}

void MemberEviction::evict(const std::string& label, SuspicionState& suspicion) {
  suspicion.request_sent(SuspicionRequest::Evict);
  ++counts_.evictions;
  const auto suspect = suspicion.suspect();
  spdlog::info("evicting {}: suspicion not refuted in time, revoking its lease, epoch {}", suspect,
               membership_.epoch().number);
  const auto guards = membership_.ownership_guards(
      {{keys::suspect(label), suspicion.mod_revision()}, registration_guard(label)});
  auto record = suspicion.record();
  record.evicted = true;
  // The record is attached to no lease, because it must outlive its author until the suspect's
  // lease is revoked.
  client_.txn(
      store::Priority::Critical, guards, {{keys::suspect(label), suspicion_record(record)}},
      [this, label, suspect](const store::TxnResult& result) {
        auto* current = request_answered(label);
        if (current && result.status == store::TxnStatus::Ok && current->suspect() == suspect)
          revoke_lease(label, *current);
      });
}

void MemberEviction::revoke_lease(const std::string& label, SuspicionState& suspicion) {
  suspicion.request_sent(SuspicionRequest::RevokeLease);
  client_.get(store::Priority::Critical, keys::member(label),
              [this, label, suspect = suspicion.suspect()](const store::GetResult& key) {
                // If the key belongs to a newer incarnation, the evicted one is gone and the newer
                // lease must not be revoked.
                const bool is_suspects_lease =
                    key.answered && key.found && key.lease != store::LeaseId{} &&
                    ControllerId(label, key.mod_revision.value()) == suspect;
                if (!is_suspects_lease) {
                  request_answered(label);
                  return;
                }
                client_.revoke_lease(key.lease, [this, label](bool) { request_answered(label); });
              });
}
}  // namespace limemast::cluster

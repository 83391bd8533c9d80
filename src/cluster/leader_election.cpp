#include "cluster/leader_election.hpp"

#include <algorithm>
#include <iterator>

#include <spdlog/spdlog.h>

#include "cluster/keys.hpp"

namespace limemast::cluster {
namespace {
using namespace std::chrono_literals;
constexpr auto kRetryDelay = 400ms;

store::Revision revision_of(const store::Entry* entry) {
  return entry ? entry->mod_revision : store::kAbsent;
}

std::string join(const std::set<ControllerId>& controllers) {
  std::string out;
  for (const auto& controller : controllers)
    out += (out.empty() ? "" : " ") + fmt::format("{}", controller);
  return out;
}

/// The controllers in `left` that are not in `right`.
std::set<ControllerId> difference(const std::set<ControllerId>& left,
                                  const std::set<ControllerId>& right) {
  std::set<ControllerId> out;
  std::set_difference(left.begin(), left.end(), right.begin(), right.end(),
                      std::inserter(out, out.end()));
  return out;
}

/// Why an epoch with these members must follow `current`.
std::string reason_for_epoch(const MembershipEpoch& current, bool readable,
                             const ControllerId& leader, const std::set<ControllerId>& members) {
  std::string reason;
  const auto add = [&](const std::string& part) { reason += (reason.empty() ? "" : ", ") + part; };
  if (!readable) add("previous record not readable");
  if (current.leader != leader) add(fmt::format("{} took over as leader", leader));
  if (const auto joined = difference(members, current.members); !joined.empty())
    add(join(joined) + " joined");
  if (const auto lost = difference(current.members, members); !lost.empty())
    add(join(lost) + " lost");
  return reason;
}
}  // namespace

LeaderElection::LeaderElection(net::Runtime& runtime, const wire::Settings& settings,
                               store::Client& client, store::WatchCache& watch_cache,
                               LeaseKeeper& lease_keeper, const EpochTracker& epoch)
    : runtime_(runtime),
      settings_(settings),
      client_(client),
      watch_cache_(watch_cache),
      lease_keeper_(lease_keeper),
      epoch_(epoch) {}

void LeaderElection::on_keys_changed() {
  rejoin_backoff_.observe(registered_controllers(), runtime_.now());
  const auto* leader_key = watch_cache_.find(keys::kLeader);
  if (!leader_key) return;
  leader_readable_ = read_leader(leader_key->value).has_value();
  if (!leader_readable_) client_.decode_errors().record(keys::kLeader);
}

std::set<ControllerId> LeaderElection::registered_controllers() const {
  std::set<ControllerId> out;
  const auto& entries = watch_cache_.entries();
  for (auto it = entries.lower_bound(keys::kMembers); it != entries.end(); ++it) {
    std::string label;
    if (!keys::match_prefix(it->first, keys::kMembers, label)) break;
    // Ignores member keys of labels that are not in the settings, and member records that cannot be
    // decoded.
    if (label != settings_.label && !settings_.peer_endpoints.contains(label)) continue;
    if (read_incarnation(it->second.value))
      out.insert(ControllerId(label, it->second.mod_revision.value()));
  }
  return out;
}

bool LeaderElection::ready() const {
  return !lease_keeper_.lost() && !lease_keeper_.self().empty() && watch_cache_.synced() &&
         watch_cache_.revision() >= lease_keeper_.member_revision();
}

bool LeaderElection::member_key_is_ours() const {
  const auto* key = watch_cache_.find(keys::member(settings_.label));
  return key && key->mod_revision == lease_keeper_.member_revision();
}

void LeaderElection::advance() {
  if (!ready()) return;
  if (!member_key_is_ours()) return lease_keeper_.mark_lost();
  const auto* leader_key = watch_cache_.find(keys::kLeader);
  const auto leader = leader_key ? read_leader(leader_key->value) : std::nullopt;
  if (leader == lease_keeper_.self()) {
    if (elected_at_ == net::Time{}) elected_at_ = runtime_.now();
    return propose_epoch();
  }
  elected_at_ = {};
  // The leader key and the leader's member key are attached to the same lease and normally
  // disappear together. A leader key that outlives the member key, or that cannot be decoded, would
  // block elections permanently and is overwritten.
  if (leader && registered_controllers().contains(*leader)) return;
  campaign(leader_key);
}

void LeaderElection::campaign(const store::Entry* leader_key) {
  if (campaign_in_flight_) return;
  campaign_in_flight_ = true;
  client_.txn(store::Priority::Critical,
              {{keys::kLeader, revision_of(leader_key)},
               {keys::member(settings_.label), lease_keeper_.member_revision()}},
              {{keys::kLeader, leader_record(lease_keeper_.self()), lease_keeper_.lease()}},
              [this](const store::TxnResult& result) {
                campaign_in_flight_ = false;
                // The watch cache shows who won the election. Only a request that was refused or
                // unanswered is retried.
                if (result.status == store::TxnStatus::Refused ||
                    result.status == store::TxnStatus::Unknown)
                  runtime_.after(kRetryDelay, [this] { advance(); });
              });
}

void LeaderElection::propose_epoch() {
  if (epoch_write_in_flight_) return;
  const auto now = runtime_.now();
  const auto& current = epoch_.epoch();
  const auto proposal = rejoin_backoff_.decide(current.members, lease_keeper_.self(), elected_at_,
                                               settings_.controller_count, now);
  if (proposal.reconsider_at) reconsider_at(*proposal.reconsider_at, now);
  if (proposal.wait) return;
  const bool in_force = epoch_.readable() && current.leader == lease_keeper_.self() &&
                        current.members == proposal.members;
  if (in_force) return;
  log_reason(reason_for_epoch(current, epoch_.readable(), lease_keeper_.self(), proposal.members));
  write_epoch(proposal.members);
}

void LeaderElection::log_reason(const std::string& reason) {
  const auto after = epoch_.epoch().number;
  if (logged_reason_ == std::pair(after, reason)) return;
  logged_reason_ = {after, reason};
  spdlog::info("writing the membership epoch after {}: {}", after, reason);
}

void LeaderElection::reconsider_at(net::Time at, net::Time now) {
  // Keeps the earliest requested time, so that a long rejoin backoff of one controller does not
  // delay the reaction to the loss of another.
  if (reconsider_at_ != net::Time{} && at >= reconsider_at_) return;
  reconsider_at_ = at;
  runtime_.after(at - now, [this] {
    reconsider_at_ = {};
    advance();
  });
}

void LeaderElection::write_epoch(const std::set<ControllerId>& members) {
  epoch_write_in_flight_ = true;
  client_.txn(store::Priority::Critical,
              {{keys::kEpoch, revision_of(watch_cache_.find(keys::kEpoch))},
               {keys::kLeader, revision_of(watch_cache_.find(keys::kLeader))},
               {keys::member(settings_.label), lease_keeper_.member_revision()}},
              {{keys::kEpoch, epoch_record(lease_keeper_.self(), members)}},
              [this](const store::TxnResult&) {
                epoch_write_in_flight_ = false;
                // Runs after success as well, because controllers that joined while the record was
                // being written are not in it.
                runtime_.after(kRetryDelay, [this] { advance(); });
              });
}
}  // namespace limemast::cluster

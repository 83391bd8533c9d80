#include "cloud/machine_deregistration.hpp"

#include <algorithm>
#include <utility>

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t kMaxRecordsWithoutFailover = 4;  ///< per transaction
constexpr auto kPlaceholderMargin = 5s;
}  // namespace

MachineDeregistration::MachineDeregistration(net::Runtime& runtime, const wire::Settings& settings,
                                             store::Client& client,
                                             const store::WatchCache& watch_cache,
                                             const cluster::Membership& membership,
                                             const machines::Registry& registry,
                                             const jobs::JobOwner& job_owner,
                                             const MachineInventory& inventory)
    : runtime_(runtime),
      settings_(settings),
      client_(client),
      watch_cache_(watch_cache),
      membership_(membership),
      registry_(registry),
      job_owner_(job_owner),
      inventory_(inventory) {}

void MachineDeregistration::run(net::Time leading_since) {
  update_pending(leading_since);
  if (pending_.empty() || in_flight_ || !membership_.may_act()) return;
  const auto batch = next_batch();
  auto [compares, writes] = transaction(remaining_records(batch.machines));
  if (writes.empty()) return;
  in_flight_ = true;
  client_.txn(batch.priority, membership_.ownership_guards(std::move(compares)), writes,
              [this](const store::TxnResult&) { in_flight_ = false; });
}

void MachineDeregistration::update_pending(net::Time leading_since) {
  // The registration of a machine may arrive after the machine was terminated.
  for (const auto& [name, registered] : registry_.registrations())
    if (inventory_.is_terminated(name) || registry_.removed(name) ||
        is_placeholder_obsolete(name, leading_since))
      pending_.insert(name);
  std::erase_if(pending_, [&](const auto& name) { return !registry_.registered(name); });
}

bool MachineDeregistration::is_placeholder_obsolete(const std::string& name,
                                                    net::Time leading_since) const {
  // A machine that only an unreadable record names is attached either to a member or to a lost
  // controller. A member forwards its heartbeats and registers it again. A lost controller sends no
  // commands after its own lease has expired; one worker lease later the machine's tasks have
  // ended, or it has attached to a member. The placeholder is therefore obsolete after both leases.
  if (!machines::Registry::is_record_placeholder(name)) return false;
  const auto both_leases = membership_.lease_ttl() +
                           net::to_duration(settings_.worker_lease * wire::kClockDriftFactor) +
                           kPlaceholderMargin;
  const auto last_change =
      std::max({leading_since, membership_.last_member_loss(), registry_.peers_connected_since()});
  const auto& statuses = registry_.machine_statuses();
  return runtime_.now() - last_change > both_leases &&
         std::all_of(statuses.begin(), statuses.end(),
                     [](const auto& status) { return status.second.registered; });
}

bool MachineDeregistration::is_failover_blocked() const {
  return job_owner_.failover_barrier_epoch() != ids::kNoEpoch;
}

bool MachineDeregistration::is_urgent(const std::string& machine) const {
  // Tasks of a busy machine are rescheduled only after its record has been removed.
  return inventory_.is_busy(machine) ||
         (is_failover_blocked() &&
          !job_owner_.machine_confirmed(machine, job_owner_.failover_barrier_epoch()));
}

MachineDeregistration::Batch MachineDeregistration::next_batch() const {
  // Urgent machines are ordered first and raise the priority of the transaction. Otherwise it runs
  // in the background, because the scale-in of a large cluster would delay users' writes for
  // seconds.
  Batch out;
  out.machines.assign(pending_.begin(), pending_.end());
  const auto urgent_end = std::partition(out.machines.begin(), out.machines.end(),
                                         [&](const auto& name) { return is_urgent(name); });
  if (urgent_end != out.machines.begin()) out.priority = store::Priority::UserWrite;
  return out;
}

std::map<std::string, MachineDeregistration::Record> MachineDeregistration::remaining_records(
    const std::vector<std::string>& machines) const {
  const std::size_t limit =
      is_failover_blocked()
          ? settings_.max_txn_ops
          : std::min<std::size_t>(settings_.max_txn_ops, kMaxRecordsWithoutFailover);
  std::map<std::string, Record> out;
  for (const auto& name : machines) {
    if (out.size() >= limit) break;
    for (auto& [record, record_machines] : registry_.records_of(name))
      out.try_emplace(record, std::move(record_machines));
  }
  for (auto& [record, record_machines] : out)
    std::erase_if(record_machines,
                  [&](const auto& machine) { return pending_.contains(machine.first); });
  return out;
}

MachineDeregistration::Transaction MachineDeregistration::transaction(
    const std::map<std::string, Record>& records) const {
  Transaction out;
  for (const auto& [record, record_machines] : records) {
    const auto* entry = watch_cache_.find(record);
    if (!entry || out.writes.size() >= settings_.max_txn_ops) continue;
    // A changed record may name machines that this controller does not know. The comparison makes
    // the transaction fail then, and the next one starts from the changed record.
    out.compares.push_back({record, entry->mod_revision});
    out.writes.push_back({record, record_machines.empty() ? std::optional<wire::json>()
                                                          : wire::json(record_machines)});
  }
  return out;
}
}  // namespace limemast::cloud

#include "machines/lingering_task_monitor.hpp"

#include <algorithm>
#include <utility>

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;
/// Tasks that a stop ends at once are not recorded.
constexpr auto kMinRecordedAge = 3s;
constexpr auto kWriteInterval = 2s;
/// Time for the termination, including a failed request to the cloud, and for the delay after which
/// a controller learns of an end.
constexpr auto kTerminationMargin = 10s;
/// Recomputed times of one end that differ by less are the same.
constexpr auto kTimeResolution = 1s;
constexpr std::size_t kMaxReadsInFlight = 8;
/// A longer interval between two updates is a suspension.
constexpr auto kMaxUpdateInterval = 2500ms;
}  // namespace

LingeringTaskMonitor::LingeringTaskMonitor(const GatewayContext& context,
                                           const AttachedMachines& attached)
    : context_(context), attached_(attached) {}

void LingeringTaskMonitor::update() {
  const bool resuming = is_resuming();
  const auto observed = observe();
  const auto records = read_records();
  if (observed.empty() && records.empty()) return context_.registry.set_overdue_machines({});
  publish(own_record(observed, records));
  context_.registry.set_overdue_machines(resuming ? std::set<std::string>()
                                                  : find_overdue(observed, records));
}

bool LingeringTaskMonitor::is_resuming() {
  const auto now = context_.runtime.now();
  const auto last_update = std::exchange(last_update_, now);
  return last_update != net::Time{} && now - last_update > kMaxUpdateInterval;
}

std::map<std::string, LingeringTasksByMachine> LingeringTaskMonitor::read_records() const {
  std::map<Label, LingeringTasksByMachine> out;
  const auto& entries = context_.watch_cache.entries();
  const auto& prefix = cluster::keys::kLingeringTasks;
  for (auto entry = entries.lower_bound(prefix); entry != entries.end(); ++entry) {
    Label label;
    if (!cluster::keys::match_prefix(entry->first, prefix, label)) break;
    if (auto record = decode_lingering_tasks(entry->second.value))
      out[label] = std::move(*record);
    else
      context_.client.decode_errors().record(entry->first);
  }
  return out;
}

LingeringTasksByMachine LingeringTaskMonitor::observe() {
  LingeringTasksByMachine out;
  const auto has_ended = [this](const std::string& uid) {
    const auto* job = context_.jobs.find(uid);
    return job && job->ended && !job->completed;
  };
  if (context_.registry.any_job_with_live_tasks(has_ended))
    for (const auto& [machine, status] : context_.registry.machine_statuses())
      observe_heartbeat(status, out);
  for (const auto& [machine, entry] : attached_.all()) observe_starts(machine, entry, out);
  last_observed_ = out;
  return out;
}

void LingeringTaskMonitor::observe_heartbeat(const MachineStatus& status,
                                             LingeringTasksByMachine& out) {
  for (const auto& task : status.heartbeat.tasks)
    if (!task.exited()) add_task(status, task.uid, out);
}

void LingeringTaskMonitor::observe_starts(const std::string& machine, const AttachedMachine& entry,
                                          LingeringTasksByMachine& out) {
  const auto* status = context_.registry.find(machine);
  if (!status) return;
  for (const auto& start : entry.commands.starts())
    if (start.route != DeliveryRoute::Queued) add_task(*status, start.command.uid, out);
}

void LingeringTaskMonitor::add_task(const MachineStatus& status, const std::string& uid,
                                    LingeringTasksByMachine& out) {
  const auto* job = context_.jobs.find(uid);
  if (!job || !job->ended || job->completed) return;
  if (!job->final && context_.runtime.now() - job->ended_at >= kMinRecordedAge)
    read_final_record(uid);
  const auto& heartbeat = status.heartbeat;
  auto since = context_.runtime.wall() - std::chrono::duration_cast<net::WallTime::duration>(
                                             context_.runtime.now() - job->ended_at);
  // The two clocks do not run at the same rate, and the record must not change because of that.
  const auto last = last_observed_.find(heartbeat.machine);
  if (last != last_observed_.end() && last->second.since && *last->second.since <= since &&
      since - *last->second.since < kTimeResolution)
    since = *last->second.since;
  merge_newest(out, {{heartbeat.machine, {heartbeat.incarnation, heartbeat.sequence, since}}});
}

void LingeringTaskMonitor::read_final_record(const std::string& uid) {
  if (reading_.size() >= kMaxReadsInFlight || !reading_.insert(uid).second) return;
  context_.client.get(store::Priority::UserRead, cluster::keys::final_job(uid),
                      [this, uid](const store::GetResult& result) {
                        reading_.erase(uid);
                        if (result.answered && result.found)
                          context_.jobs.mark_final(uid, context_.runtime.now(), &result.value);
                      });
}

LingeringTasksByMachine LingeringTaskMonitor::own_record(
    const LingeringTasksByMachine& observed,
    const std::map<Label, LingeringTasksByMachine>& records) const {
  const auto recorded_from = context_.runtime.wall() - kMinRecordedAge;
  LingeringTasksByMachine out;
  for (const auto& [machine, tasks] : observed)
    if (context_.registry.registered(machine) && tasks.since <= recorded_from)
      out.emplace(machine, tasks);
  for (const auto& [label, record] : records)
    for (const auto& [machine, claim] : record) {
      if (!claim.since || !context_.registry.registered(machine)) continue;
      const auto answer = observed.contains(machine) ? std::nullopt : disprove(machine, claim);
      if (answer)
        out[machine] = *answer;
      else if (label == context_.settings.label)
        merge_newest(out, {{machine, claim}});
    }
  return out;
}

std::optional<LingeringTasks> LingeringTaskMonitor::disprove(const std::string& machine,
                                                             const LingeringTasks& claim) const {
  const auto* status = context_.registry.find(machine);
  if (!status) return std::nullopt;
  const auto& heartbeat = status->heartbeat;
  const LingeringTasks answer{heartbeat.incarnation, heartbeat.sequence, std::nullopt};
  // The cache that shows the claim also shows the end of the job, so that a newer heartbeat without
  // lingering tasks disproves it. A task of an unknown job may be one of an ended job.
  const bool jobs_known = std::all_of(
      heartbeat.tasks.begin(), heartbeat.tasks.end(),
      [this](const auto& task) { return task.exited() || context_.jobs.find(task.uid); });
  return jobs_known && answer.newer_than(claim) ? std::optional(answer) : std::nullopt;
}

void LingeringTaskMonitor::publish(const LingeringTasksByMachine& record) {
  const auto key = cluster::keys::lingering_tasks(context_.settings.label);
  const auto* stored = context_.watch_cache.find(key);
  const auto now = context_.runtime.now();
  const auto encoded = encode_lingering_tasks(record);
  const bool unchanged = stored ? stored->value == encoded : encoded.empty();
  if (unchanged || write_in_flight_ || now < next_write_ || !context_.membership.may_act()) return;
  write_in_flight_ = true;
  next_write_ = now + kWriteInterval;
  context_.client.txn(
      store::Priority::UserWrite,
      context_.membership.ownership_guards({{key, stored ? stored->mod_revision : store::kAbsent}}),
      {{key, encoded.empty() ? std::optional<wire::json>() : encoded}},
      [this](const store::TxnResult&) { write_in_flight_ = false; });
}

net::Duration LingeringTaskMonitor::time_limit() const {
  const auto cancel_timeout = net::to_duration(context_.settings.cancel_timeout);
  const auto worker_lease = net::to_duration(context_.settings.worker_lease);
  // A worker that runs has dropped the task after a worker lease.
  return std::max(cancel_timeout - net::Duration(kTerminationMargin),
                  worker_lease + (cancel_timeout - worker_lease) / 2);
}

std::set<std::string> LingeringTaskMonitor::find_overdue(
    LingeringTasksByMachine observed,
    const std::map<Label, LingeringTasksByMachine>& records) const {
  const auto max_skew = std::chrono::duration_cast<net::WallTime::duration>(
      2 * net::to_duration(context_.settings.max_clock_skew));
  for (const auto& [label, record] : records) {
    auto shifted = record;
    if (label != context_.settings.label)
      for (auto& [machine, tasks] : shifted)
        if (tasks.since) *tasks.since -= max_skew;
    merge_newest(observed, shifted);
  }
  const auto limit =
      context_.runtime.wall() - std::chrono::duration_cast<net::WallTime::duration>(time_limit());
  std::set<std::string> out;
  for (const auto& [machine, tasks] : observed)
    if (tasks.since && *tasks.since < limit && context_.registry.registered(machine))
      out.insert(machine);
  return out;
}
}  // namespace limemast::machines

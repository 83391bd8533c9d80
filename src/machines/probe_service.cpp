#include "machines/probe_service.hpp"

#include <algorithm>

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;
/// An unanswered pull is abandoned after this time.
constexpr auto kPullTimeout = 1s;
/// How long a machine does not pull for a job again after the job had no task for it.
constexpr auto kMachineRetryDelay = 1s;
/// How long no machine pulls for a job that had no task for any machine. The owner's message about
/// new pending tasks ends the delay early, unless that message is lost.
constexpr auto kJobRetryDelay = 5s;

/// Attaches the map only if the owner's is older, because the map of a large cluster is much bigger
/// than the rest of the message.
void attach_newer_map(const LongTaskMap& map, const messages::MapVersion& known,
                      messages::ProbesRejected& rejected) {
  LongTaskMap owner_map;
  owner_map.epoch = known.epoch;
  owner_map.serial = known.serial;
  if (rejected.behind_long_tasks.empty() || !map.newer_than(owner_map)) return;
  rejected.map = messages::ProbesRejected::NewerMap{
      {map.epoch, map.serial},
      {map.with_long_tasks, map.short_partition, map.reserved_for_services}};
}
}  // namespace

ProbeService::ProbeService(const GatewayContext& context, AttachedMachines& attached,
                           OnPullEnded on_pull_ended)
    : context_(context), attached_(attached), on_pull_ended_(std::move(on_pull_ended)) {
  using cluster::ControllerId;
  context_.message_bus.on<messages::PlaceProbes>(
      [this](const ControllerId& from, const auto& message) { on_place_probes(from, message); });
  context_.message_bus.on<messages::NoTask>(
      [this](const ControllerId&, const auto& message) { on_no_task(message); });
  context_.message_bus.on<messages::PendingTasks>(
      [this](const ControllerId&, const auto& message) { on_pending_tasks(message); });
}

ProbeService::MachineProbes* ProbeService::find(const std::string& machine) {
  const auto it = probes_.find(machine);
  return it == probes_.end() ? nullptr : &it->second;
}

const ProbeService::MachineProbes* ProbeService::find(const std::string& machine) const {
  const auto it = probes_.find(machine);
  return it == probes_.end() ? nullptr : &it->second;
}

bool ProbeService::is_pulling(const std::string& machine) const {
  const auto* probes = find(machine);
  return probes && probes->pull;
}

Resources ProbeService::free_resources(const std::string& machine) const {
  const auto* status = context_.registry.find(machine);
  if (!status) return {};
  Resources free = context_.registry.free_resources(*status);
  if (const auto* entry = attached_.find(machine)) {
    for (const auto& start : entry->commands.starts()) {
      const auto& command = start.command;
      if (!status->heartbeat.find(command.uid, command.index, command.attempt)) free -= start.need;
    }
  }
  if (const auto* probes = find(machine); probes && probes->pull) free -= probes->pull->need;
  return free;
}

std::optional<ids::DenseId> ProbeService::choose_job(const std::string& machine,
                                                     const MachineProbes& probes) const {
  const auto now = context_.runtime.now();
  const auto free = free_resources(machine);
  const auto fits = [&](const Resources& need) { return free.fits(need); };
  // Last resort: jobs of underserved classes are chosen first, regardless of their remaining work.
  const auto& underserved = context_.registry.underserved_classes();
  if (!underserved.empty()) {
    const auto is_underserved = [&](ids::DenseId id) {
      const auto* job = context_.jobs.find(jobs_with_probes_.at(id).uid);
      return job && underserved.contains(job->spec.workload);
    };
    if (const auto job = probes.queue.choose(now, fits, is_underserved)) return job;
  }
  return probes.queue.choose(now, fits);
}

void ProbeService::pull_next(const std::string& machine) {
  const auto* status = context_.registry.find(machine);
  if (!attached_.find(machine) || !attached_.is_attached(status) || !context_.may_start_on(*status))
    return;
  auto* probes = find(machine);
  if (!probes) return;
  const auto now = context_.runtime.now();
  if (probes->pull && now - probes->pull->sent_at > kPullTimeout) probes->pull.reset();
  if (probes->pull || probes->queue.empty()) return;
  const auto chosen = choose_job(machine, *probes);
  if (!chosen) return;
  const auto& job = jobs_with_probes_.at(*chosen);
  probes->pull = Pull{job.uid, now, job.need};
  context_.message_bus.send(
      job.owner,
      messages::PullTask{job.uid, machine, status->heartbeat.incarnation, context_.runtime.wall()});
}

void ProbeService::on_task_pulled(const std::string& machine, const std::string& uid) {
  auto* probes = find(machine);
  if (!probes) return;
  const auto free = free_resources(machine);
  probes->end_pull_of(uid);
  const auto job = jobs_with_probes_.find(uid);
  if (!job || !probes->queue.has_probe(*job)) return;
  probes->queue.count_bypassed(*job, context_.runtime.now(),
                               [&](const Resources& need) { return free.fits(need); });
  if (const auto left = jobs_with_probes_.at(*job).remaining; left > 0)
    jobs_with_probes_.set_remaining(*job, left - 1);
}

void ProbeService::on_no_task(const messages::NoTask& message) {
  const auto& machine = message.machine;
  if (!attached_.find(machine)) return;
  auto* probes = find(machine);
  if (probes) probes->end_pull_of(message.uid);
  if (const auto job = jobs_with_probes_.find(message.uid)) {
    const auto now = context_.runtime.now();
    if (message.none_left) {
      if (probes) remove_probe(*probes, *job);
    } else if (message.on_any_machine) {
      jobs_with_probes_.defer(*job, now + kJobRetryDelay);
    } else if (probes) {
      probes->queue.defer(*job, now + kMachineRetryDelay);
    }
  }
  pull_next(machine);
  if (!is_pulling(machine)) on_pull_ended_(machine);
}

void ProbeService::on_pending_tasks(const messages::PendingTasks& message) {
  for (const auto& entry : message.jobs) {
    context_.jobs.set_pending_tasks(entry.uid, entry.pending, entry.unfinished);
    if (entry.pending == 0) {
      remove_probes_of(entry.uid);
    } else if (const auto job = jobs_with_probes_.find(entry.uid)) {
      // The owner sends this message only after a change, so the job may have a task to pull now.
      jobs_with_probes_.set_remaining(*job, entry.pending);
      jobs_with_probes_.defer(*job, {});
    }
  }
}

void ProbeService::on_place_probes(const cluster::ControllerId& from,
                                   const messages::PlaceProbes& message) {
  scheduling::ProbedJob probed;
  probed.uid = message.uid;
  probed.owner = from;
  probed.estimate = message.estimate;
  probed.remaining = message.pending_tasks;
  probed.need = message.need;
  const auto job = jobs_with_probes_.upsert(probed);
  messages::ProbesRejected rejected;
  rejected.uid = message.uid;
  rejected.stage = message.stage;
  place_probes(job, message, rejected);
  jobs_with_probes_.erase_if_unprobed(job);
  if (rejected.behind_long_tasks.empty() && rejected.other_reasons.empty()) return;
  attach_newer_map(context_.registry.long_task_map(), message.map, rejected);
  context_.message_bus.send(from, rejected);
}

void ProbeService::place_probes(ids::DenseId job, const messages::PlaceProbes& message,
                                messages::ProbesRejected& rejected) {
  for (const auto& machine : message.machines) {
    const auto* status = context_.registry.find(machine);
    if (!attached_.is_attached(status) || !context_.may_start_on(*status)) {
      rejected.other_reasons.push_back(machine);
      continue;
    }
    const auto& commands = attached_.get_or_add(machine).commands;
    if (message.stage < kLastResortStage && is_closed_to_short_jobs(*status, commands))
      rejected.behind_long_tasks.push_back(machine);
    else if (!add_probe(machine, job))
      rejected.other_reasons.push_back(machine);
    else
      pull_next(machine);
  }
}

bool ProbeService::is_closed_to_short_jobs(const MachineStatus& status,
                                           const CommandQueue& commands) const {
  const auto is_long = [&](const InFlightStart& start) {
    const auto* job = context_.jobs.find(start.command.uid);
    return job && job->is_long;
  };
  const auto& starts = commands.starts();
  const auto& reserved = context_.registry.long_task_map().reserved_for_services;
  return std::any_of(starts.begin(), starts.end(), is_long) ||
         context_.registry.has_long_tasks(status) || reserved.contains(status.heartbeat.machine);
}

bool ProbeService::add_probe(const std::string& machine, ids::DenseId job) {
  auto* probes = find(machine);
  if (!probes)
    probes = &probes_
                  .try_emplace(machine, jobs_with_probes_, context_.registry.id(machine),
                               context_.settings.tuning.bypass_cap)
                  .first->second;
  return probes->queue.add(job);
}

void ProbeService::remove_probe(MachineProbes& probes, ids::DenseId job) {
  probes.end_pull_of(jobs_with_probes_.at(job).uid);
  probes.queue.remove(job);
}

void ProbeService::remove_probes_of(const std::string& uid) {
  const auto job = jobs_with_probes_.find(uid);
  if (!job) return;
  // Copied, because the job's record is erased with its last probe.
  const auto machines = jobs_with_probes_.machines_of(*job);
  machines.for_each([&](ids::DenseId machine) {
    if (auto* probes = find(context_.registry.name_of(machine))) remove_probe(*probes, *job);
  });
}

void ProbeService::remove_probes_of_lost_owners() {
  std::vector<std::string> lost;
  for (const auto& [work, job] : jobs_with_probes_.by_remaining_work()) {
    const auto& probed = jobs_with_probes_.at(job);
    if (!context_.membership.is_member(probed.owner)) lost.push_back(probed.uid);
  }
  for (const auto& uid : lost) remove_probes_of(uid);
}

void ProbeService::drop_probes(const std::string& machine) {
  const auto* probes = find(machine);
  if (!probes) return;
  std::map<cluster::ControllerId, std::vector<std::string>> dropped;  // by owner
  for (const auto job : probes->queue.jobs()) {
    const auto& probed = jobs_with_probes_.at(job);
    dropped[probed.owner].push_back(probed.uid);
  }
  for (auto& [owner, jobs] : dropped)
    context_.message_bus.send(owner, messages::ProbesDropped{std::move(jobs), machine});
  probes_.erase(machine);
}

void ProbeService::drop_probes_of_unavailable_machines() {
  const auto& registry = context_.registry;
  if (registry.draining())
    for (const auto& [machine, status] : registry.machine_statuses())
      if (status.drained && attached_.is_attached(&status)) {
        const auto* probes = find(machine);
        if (probes && !probes->queue.empty()) drop_probes(machine);
      }
  for (const auto& machine : registry.long_task_map().reserved_for_services) drop_probes(machine);
}
}  // namespace limemast::machines

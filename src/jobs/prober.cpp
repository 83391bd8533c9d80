#include "jobs/prober.hpp"

#include <algorithm>
#include <utility>

#include "scheduling/probing.hpp"

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
/// A probe that was lost on a broken connection is never pulled, and its machine would not be
/// probed again. Without a pull for this long, all probes are sent again.
constexpr auto kAssumeLostAfter = 30s;
/// Delay before more probes are drawn for a job after some were rejected for another reason than
/// long tasks, usually by a full queue, which rarely has room again earlier.
constexpr auto kRedrawPause = 2s;
/// A job without progress for this long probes further machines with free resources, and does so
/// again at each interval.
constexpr auto kFurtherProbesAfter = 5s;
constexpr auto kFurtherProbesInterval = 2s;
/// A job without progress for this long also probes machines that hold long tasks or are reserved
/// for services. No job may wait 90 s while there is room.
constexpr auto kProbeAnywhereAfter = 60s;
/// Stages of a redraw; the last one is machines::kLastResort.
constexpr int kFirstDraw = 0;
constexpr int kByMap = 1;
constexpr int kShortPartition = 2;
}  // namespace

void Prober::top_up(Job& job) {
  if (!job.active() || job.pending() == 0) return;
  auto& probing = job.probing;
  const auto target = scheduling::probe_count(job.pending(), settings_.tuning.min_probes,
                                              registry_.machine_statuses().size());
  const auto now = runtime_.now();
  if (probing.machines.size() >= target || now < probing.redraw_after) return;
  const auto& candidates = candidates_.of(job.record.spec, now);
  if (probing.exhausted_candidates_version == candidates.version) return;
  if (std::exchange(probing.first_sent, true)) {
    if (redraw(job, target - probing.machines.size(), kFirstDraw) > 0)
      probing.exhausted_candidates_version = candidates.version;
    return;
  }
  probing.last_activity = now;
  // The first probes are drawn from all machines regardless of the long-task map, which may be
  // outdated (Eagle, section 3.3).
  auto machines = candidates.machines;
  std::erase_if(machines, [&](ids::DenseId machine) { return !candidates_.open(machine); });
  send(job, scheduling::draw(std::move(machines), target, runtime_.random()), kFirstDraw);
}

std::size_t Prober::redraw(Job& job, std::size_t count, int stage) {
  const auto& candidates = candidates_.of(job.record.spec, runtime_.now());
  while (count > 0 && ++stage <= machines::kLastResort) {
    auto machines = machines_for_stage(job, candidates.machines, stage);
    const auto chosen = scheduling::draw(std::move(machines), count, runtime_.random());
    count -= chosen.size();
    send(job, chosen, stage);
  }
  return count;
}

std::vector<ids::DenseId> Prober::machines_for_stage(const Job& job,
                                                     const std::vector<ids::DenseId>& candidates,
                                                     int stage) const {
  const auto& map = registry_.long_task_map();
  std::vector<ids::DenseId> machines;
  // This extends the paper: a job that may use no machine of the short partition, because of its
  // zone, type or kind, would starve, so in the last stage its probes may wait behind long tasks.
  for (const auto machine : candidates) {
    if (job.probing.machines.contains(machine)) continue;
    if (stage == kByMap && map.shunned.contains(machine)) continue;
    if (stage == kShortPartition && !map.in_short_partition.contains(machine)) continue;
    if (candidates_.open(machine)) machines.push_back(machine);
  }
  return machines;
}

void Prober::probe_further_machines(Job& job) {
  const auto now = runtime_.now();
  auto& probing = job.probing;
  const auto without_progress = now - job.last_progress;
  if (probing.machines.empty() || job.pending() == 0 || without_progress < kFurtherProbesAfter ||
      now < probing.further_probes_after)
    return;
  probing.further_probes_after = now + kFurtherProbesInterval;
  const bool anywhere = without_progress >= kProbeAnywhereAfter;
  auto machines = candidates_.with_room(job.record.spec, now);
  const auto& shunned = registry_.long_task_map().shunned;
  std::erase_if(machines, [&](ids::DenseId machine) {
    return probing.machines.contains(machine) || !candidates_.open(machine) ||
           (!anywhere && shunned.contains(machine));
  });
  if (machines.empty()) return;
  send(job, scheduling::draw(std::move(machines), job.pending(), runtime_.random()),
       anywhere ? machines::kLastResort : kByMap);
}

void Prober::resend_if_lost(Job& job) {
  const auto now = runtime_.now();
  auto& probing = job.probing;
  if (probing.machines.empty() || now - probing.last_activity <= kAssumeLostAfter) return;
  // A redraw must not count as activity. Where there are no machines to draw it is retried every
  // second, and a lost probe would never be sent again (test:
  // LostProbes.AreRenewedThoughFurtherMachinesAreLookedFor).
  probing.last_activity = now;
  std::vector<ids::DenseId> machines;
  probing.machines.each([&](ids::DenseId machine) { machines.push_back(machine); });
  send(job, machines, kByMap);
}

void Prober::send(Job& job, const std::vector<ids::DenseId>& machines, int stage) {
  const auto& spec = job.record.spec;
  std::map<ControllerId, std::vector<std::string>> by_controller;
  for (const auto machine : machines) {
    const auto* machine_status = registry_.at(machine);
    if (!machine_status) continue;
    job.probing.machines.insert(machine);
    by_controller[machine_status->attached_controller].push_back(machine_status->heartbeat.machine);
  }
  const auto& map = registry_.long_task_map();
  messages::PlaceProbes message;
  message.uid = spec.uid;
  message.stage = stage;
  message.estimate = spec.estimate;
  message.pending_tasks = job.pending();
  message.need = wire::Resources::of(spec);
  message.map = {map.epoch, map.serial};
  for (auto& [controller, names] : by_controller) {
    message.machines = std::move(names);
    message_bus_.send(controller, message);
  }
}

void Prober::apply_map(const messages::ProbesRejected::NewerMap& newer) {
  machines::LongTaskMap map;
  map.epoch = newer.version.epoch;
  map.serial = newer.version.serial;
  map.with_long_tasks = newer.groups.with_long_tasks;
  map.short_partition = newer.groups.short_partition;
  map.reserved_for_services = newer.groups.reserved_for_services;
  registry_.apply_long_task_map(std::move(map));
}

std::size_t Prober::remove_probes(Job& job, const std::vector<std::string>& machines) {
  std::size_t forgotten = 0;
  for (const auto& machine : machines)
    if (const auto* machine_status = registry_.find(machine))
      forgotten += job.probing.machines.erase(machine_status->id);
  return forgotten;
}

void Prober::on_rejected(Job* job, const messages::ProbesRejected& message) {
  if (message.map) apply_map(*message.map);
  if (!job) return;
  // Probes that were rejected for other reasons than long tasks are replaced by a later `top_up`.
  if (remove_probes(*job, message.other_reasons) > 0) {
    job->probing.exhausted_candidates_version = 0;
    if (!job->probing.machines.empty()) job->probing.redraw_after = runtime_.now() + kRedrawPause;
  }
  const auto to_redraw = remove_probes(*job, message.behind_long_tasks);
  if (job->active() && job->pending() > 0) redraw(*job, to_redraw, message.stage);
}
}  // namespace limemast::jobs

#include "cloud/scale_in.hpp"

#include <algorithm>

#include "cloud/heartbeat_limits.hpp"

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
/// From cordoning a machine to its termination, so that all controllers know.
constexpr auto kCordonDelay = 3s;
/// Machines that work are cordoned only beyond this share of what is needed,
constexpr double kWorkingSurplus = 0.1;
/// and at a time no more than one in so many.
constexpr std::size_t kWorkingPart = 50;
}  // namespace

ScaleIn::ScaleIn(net::Runtime& runtime, const wire::Settings& settings,
                 const machines::Registry& registry, const jobs::JobOwner& job_owner,
                 const drains::Drains& drains, MachineInventory& inventory)
    : runtime_(runtime),
      settings_(settings),
      registry_(registry),
      job_owner_(job_owner),
      drains_(drains),
      inventory_(inventory) {}

void ScaleIn::run(const Capacity& wanted, Capacity supply) {
  update_idle();
  cordon_surplus(wanted, supply);
  mark_cordoned();
}

bool ScaleIn::is_current(const machines::MachineStatus& status) const {
  return runtime_.now() - status.last_heartbeat <= current_for(settings_);
}

bool ScaleIn::is_light(const std::string& name, const Machine& machine) const {
  // What runs on a machine that is attached to an unreachable controller is not known here.
  const auto* status = registry_.find(name);
  return status && is_current(*status) && machine.phase == wire::MachinePhase::Running &&
         !registry_.has_long_tasks(*status) && !job_owner_.has_long_tasks(name);
}

void ScaleIn::update_idle() {
  for (const auto& [name, machine] : inventory_.machines())
    inventory_.set_idle(name, is_light(name, machine) && !inventory_.is_busy(name), runtime_.now());
}

std::vector<ScaleIn::Candidate> ScaleIn::candidates() const {
  std::vector<Candidate> out;
  for (const auto& [name, machine] : inventory_.machines()) {
    if (!is_light(name, machine) || registry_.cordoned(name)) continue;
    const auto& status = *registry_.find(name);
    const auto up_for = runtime_.now() - std::max(machine.since, status.first_heartbeat);
    if (status.drained || up_for < net::to_duration(settings_.tuning.idle_return)) continue;
    out.emplace_back(status.heartbeat.tasks.size(), name);
  }
  std::sort(out.begin(), out.end());
  return out;
}

void ScaleIn::cordon_surplus(const Capacity& wanted, Capacity& supply) {
  // Short tasks are soon over, and where their probes are spread over all machines few would ever
  // be idle for long: a working machine is cordoned and goes when its last task is done.
  const auto now = runtime_.now();
  const std::size_t most_working = inventory_.machines().size() / kWorkingPart + 1;
  std::size_t working = 0;
  for (const auto& [tasks, name] : candidates()) {
    const auto& machine = inventory_.machines().at(name);
    const auto* type = registry_.type(machine.type);
    if (!type) continue;
    const bool idle = machine.idle_since != net::Time{} &&
                      now - machine.idle_since >= net::to_duration(settings_.tuning.idle_return);
    auto& there = machine.spot ? supply.spot_cpus : supply.on_demand[machine.zone];
    if (!is_surplus(machine, wanted, there, idle)) continue;
    if (!idle && ++working > most_working) continue;
    inventory_.cordon(name, now);
    there -= type->cpus;
  }
}

bool ScaleIn::is_surplus(const Machine& machine, const Capacity& wanted, double there,
                         bool idle) const {
  double needed = wanted.spot_cpus;
  if (!machine.spot) {
    const auto zone = wanted.on_demand.find(machine.zone);
    needed = zone == wanted.on_demand.end() ? 0 : zone->second;
  }
  const double reserve = idle ? 0 : needed * kWorkingSurplus;
  return there - needed >= registry_.type(machine.type)->cpus + reserve;
}

void ScaleIn::mark_cordoned() {
  for (const auto& [name, machine] : inventory_.machines()) {
    if (!registry_.cordoned(name) || machine.cordoned_at == net::Time{} ||
        runtime_.now() - machine.cordoned_at < kCordonDelay)
      continue;
    const auto* status = registry_.find(name);
    if ((!status || is_current(*status)) && !inventory_.is_busy(name))
      inventory_.mark_for_termination(name);
  }
}

void ScaleIn::cordon_drained() {
  if (drains_.all().empty()) return;
  for (const auto& [name, machine] : inventory_.machines()) {
    const auto* status = registry_.find(name);
    if (status && status->drained && drains_.terminates_when_empty(name, machine.zone) &&
        is_current(*status) && !registry_.cordoned(name) && !inventory_.is_busy(name))
      inventory_.cordon(name, runtime_.now());
  }
}
}  // namespace limemast::cloud

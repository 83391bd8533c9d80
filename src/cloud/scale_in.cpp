#include "cloud/scale_in.hpp"

#include <algorithm>

#include "cloud/heartbeat_limits.hpp"

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
/// Delay between cordoning and termination, in which every controller learns of the cordon.
constexpr auto kCordonDelay = 3s;
/// Busy machines are cordoned only if the supply exceeds the demand by this fraction.
constexpr double kBusySurplusFraction = 0.1;
/// Limits how many busy machines one step cordons: one, plus one per this number of machines.
constexpr std::size_t kMachinesPerBusyCordon = 50;
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
  mark_empty_cordoned();
}

bool ScaleIn::has_current_heartbeat(const machines::MachineStatus& status) const {
  return runtime_.now() - status.last_heartbeat <= heartbeat_validity(settings_);
}

bool ScaleIn::has_only_short_tasks(const std::string& name, const Machine& machine) const {
  // The tasks of a machine are not known if the controller to which it is attached is unreachable.
  const auto* status = registry_.find(name);
  return status && has_current_heartbeat(*status) && machine.phase == wire::MachinePhase::Running &&
         !registry_.has_long_tasks(*status) && !job_owner_.has_long_tasks(name);
}

void ScaleIn::update_idle() {
  for (const auto& [name, machine] : inventory_.machines())
    inventory_.set_idle(name, has_only_short_tasks(name, machine) && !inventory_.is_busy(name),
                        runtime_.now());
}

std::vector<ScaleIn::Candidate> ScaleIn::candidates() const {
  std::vector<Candidate> out;
  for (const auto& [name, machine] : inventory_.machines()) {
    if (!has_only_short_tasks(name, machine) || registry_.cordoned(name)) continue;
    const auto& status = *registry_.find(name);
    const auto uptime = runtime_.now() - std::max(machine.launched_at, status.first_heartbeat);
    if (status.drained || uptime < net::to_duration(settings_.tuning.idle_return)) continue;
    out.emplace_back(status.heartbeat.tasks.size(), name);
  }
  std::sort(out.begin(), out.end());
  return out;
}

void ScaleIn::cordon_surplus(const Capacity& wanted, Capacity& supply) {
  // Probes of short tasks are spread over all machines, so few machines stay idle for long. Busy
  // machines are therefore cordoned as well; they are terminated when their last short task ends.
  const auto now = runtime_.now();
  const std::size_t max_busy_cordons = inventory_.machines().size() / kMachinesPerBusyCordon + 1;
  std::size_t busy_cordons = 0;
  for (const auto& [tasks, name] : candidates()) {
    const auto& machine = inventory_.machines().at(name);
    const auto* type = registry_.type(machine.type);
    if (!type) continue;
    const bool idle = machine.idle_since != net::Time{} &&
                      now - machine.idle_since >= net::to_duration(settings_.tuning.idle_return);
    auto& supplied = machine.spot ? supply.spot_cpus : supply.on_demand[machine.zone];
    if (!is_surplus(machine, wanted, supplied, idle)) continue;
    if (!idle && ++busy_cordons > max_busy_cordons) continue;
    inventory_.cordon(name, now);
    supplied -= type->cpus;
  }
}

bool ScaleIn::is_surplus(const Machine& machine, const Capacity& wanted, double supplied,
                         bool idle) const {
  double needed = wanted.spot_cpus;
  if (!machine.spot) {
    const auto zone = wanted.on_demand.find(machine.zone);
    needed = zone == wanted.on_demand.end() ? 0 : zone->second;
  }
  const double reserve = idle ? 0 : needed * kBusySurplusFraction;
  return supplied - needed >= registry_.type(machine.type)->cpus + reserve;
}

void ScaleIn::mark_empty_cordoned() {
  for (const auto& [name, machine] : inventory_.machines()) {
    if (!registry_.cordoned(name) || machine.cordoned_at == net::Time{} ||
        runtime_.now() - machine.cordoned_at < kCordonDelay)
      continue;
    const auto* status = registry_.find(name);
    if ((!status || has_current_heartbeat(*status)) && !inventory_.is_busy(name))
      inventory_.mark_for_termination(name);
  }
}

void ScaleIn::cordon_drained() {
  if (drains_.all().empty()) return;
  for (const auto& [name, machine] : inventory_.machines()) {
    const auto* status = registry_.find(name);
    if (status && status->drained && drains_.terminates_when_empty(name, machine.zone) &&
        has_current_heartbeat(*status) && !registry_.cordoned(name) && !inventory_.is_busy(name))
      inventory_.cordon(name, runtime_.now());
  }
}
}  // namespace limemast::cloud

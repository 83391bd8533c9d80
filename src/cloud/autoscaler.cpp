#include "cloud/autoscaler.hpp"

#include <utility>

#include "cloud/heartbeat_limits.hpp"

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
constexpr auto kUpdateInterval = 500ms;
}  // namespace

Autoscaler::Autoscaler(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
                       const store::WatchCache& watch_cache, cluster::Membership& membership,
                       cluster::JobDirectory& job_directory, machines::Registry& registry,
                       jobs::JobOwner& job_owner, const drains::Drains& drains,
                       diagnostics::CapacityDiagnosis& capacity_diagnosis)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      registry_(registry),
      cloud_(runtime, settings),
      catalog_(runtime, client, watch_cache, membership, registry, cloud_),
      inventory_(settings, registry, job_owner),
      listing_(runtime, cloud_,
               {.on_page = [this](const auto& page) { report_machines_without_heartbeat(page); },
                .on_complete =
                    [this](const auto& all) { inventory_.apply_listing(all, runtime_.now()); }}),
      health_monitor_(runtime, settings, membership, job_directory, registry, inventory_),
      barrier_monitor_(runtime, settings, membership, registry, job_owner, inventory_),
      provisioner_(runtime, settings, membership, registry, catalog_, cloud_, inventory_),
      capacity_reader_(runtime, settings, job_directory, registry, job_owner, inventory_,
                       provisioner_),
      planner_(settings.tuning),
      scale_out_(runtime, settings, membership, job_directory, registry, job_owner, inventory_,
                 capacity_diagnosis, provisioner_),
      scale_in_(runtime, settings, registry, job_owner, drains, inventory_),
      terminator_(runtime, membership, registry, cloud_, inventory_),
      deregistration_(runtime, settings, client, watch_cache, membership, registry, job_owner,
                      inventory_) {}

void Autoscaler::start(MachinesWithoutHeartbeatHandler on_machines_without_heartbeat) {
  on_machines_without_heartbeat_ = std::move(on_machines_without_heartbeat);
  terminator_.start([this](const auto& registered) {
    for (const auto& machine : registered) deregistration_.add(machine);
    deregistration_.run(leading_since_);
  });
  tick();
}

void Autoscaler::on_epoch_changed() {
  if (membership_.epoch().leader != membership_.self() || has_been_leader_) return;
  has_been_leader_ = true;
  leading_since_ = runtime_.now();
  // Cordons set by the previous leader are cleared: no other controller would terminate or uncordon
  // those machines.
  registry_.set_cordoned({});
  inventory_.on_became_leader(leading_since_);
}

void Autoscaler::tick() {
  registry_.detect_process_suspension(runtime_.now());
  if (membership_.is_leader() && has_been_leader_) run_leader_step();
  runtime_.after(kUpdateInterval, [this] { tick(); });
}

void Autoscaler::run_leader_step() {
  catalog_.poll();
  send_requests();
  listing_.poll();
  health_monitor_.update(leading_since_);
  barrier_monitor_.update();
  deregistration_.run(leading_since_);
  scale_in_.cordon_drained();
  if (settings_.operators.enabled)
    registry_.set_provisioning(inventory_.provisioning(runtime_.now()));
  if (inventory_.has_listing() && !registry_.types().empty() && knows_all_launches())
    adjust_capacity();
  send_requests();
}

void Autoscaler::send_requests() {
  provisioner_.send_queued();
  terminator_.run();
}

bool Autoscaler::knows_all_launches() const {
  const bool had_predecessor = !registry_.registrations().empty() ||
                               membership_.leader_since_epoch() > membership_.epoch().number;
  // The cloud's listing lags by up to `machine_list_lag`; after that it includes the launches of
  // the previous leader.
  return !had_predecessor ||
         runtime_.now() - leading_since_ > net::to_duration(settings_.machine_list_lag);
}

void Autoscaler::report_machines_without_heartbeat(const std::vector<wire::ListedMachine>& listed) {
  // After a restart of all controllers, each machine attaches only with its next heartbeat, and no
  // failover completes before every machine has attached. The listing has the machines' addresses,
  // so that the controllers can contact them without waiting for that heartbeat.
  if (!settings_.start.query_machines_after_restart ||
      runtime_.now() - leading_since_ > silent_after(settings_))
    return;
  std::vector<std::pair<std::string, std::string>> without_heartbeat;
  for (const auto& machine : listed)
    if (machine.phase == wire::MachinePhase::Running && !machine.address.empty() &&
        registry_.registered(machine.name) && !registry_.find(machine.name))
      without_heartbeat.emplace_back(machine.name, machine.address);
  if (!without_heartbeat.empty()) on_machines_without_heartbeat_(std::move(without_heartbeat));
}

void Autoscaler::adjust_capacity() {
  const auto now = runtime_.now();
  auto demand = demand_of(capacity_reader_.demand());
  const auto supply = capacity_reader_.supply();
  planner_.add_deadline_overflow(demand, supply, now);
  planner_.set_spot_unavailable(!scale_out_.launch_shortfall(demand, supply));
  scale_out_.launch_for_unschedulable();
  const auto peak = planner_.recent_peak(demand.capacity, now);
  // A machine that is terminated while the store is unavailable stays registered, and the failover
  // of a new leader would wait for it.
  if (membership_.store_available()) scale_in_.run(peak, capacity_reader_.supply());
}
}  // namespace limemast::cloud

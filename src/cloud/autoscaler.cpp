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
                       jobs::JobOwner& job_owner, const drains::Drains& drains)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      registry_(registry),
      cloud_(runtime, settings),
      catalog_(runtime, client, watch_cache, membership, registry, cloud_),
      inventory_(settings, registry, job_owner),
      listing_(
          runtime, cloud_,
          {.page_read = [this](const auto& page) { announce_unheard(page); },
           .complete = [this](const auto& all) { inventory_.apply_listing(all, runtime_.now()); }}),
      health_monitor_(runtime, settings, membership, job_directory, registry, inventory_),
      barrier_monitor_(runtime, settings, membership, registry, job_owner, inventory_),
      provisioner_(runtime, settings, membership, registry, catalog_, cloud_, inventory_),
      capacity_reader_(runtime, settings, job_directory, registry, job_owner, inventory_,
                       provisioner_),
      planner_(settings.tuning),
      scale_out_(runtime, settings, membership, job_directory, registry, job_owner, inventory_,
                 provisioner_),
      scale_in_(runtime, settings, registry, job_owner, drains, inventory_),
      terminator_(runtime, membership, registry, cloud_, inventory_),
      deregistration_(runtime, settings, client, watch_cache, membership, registry, job_owner,
                      inventory_) {}

void Autoscaler::start(Unheard unheard) {
  unheard_ = std::move(unheard);
  terminator_.start([this](const auto& registered) {
    for (const auto& machine : registered) deregistration_.add(machine);
    deregistration_.run(leading_since_);
  });
  tick();
}

void Autoscaler::on_epoch_changed() {
  if (membership_.epoch().leader != membership_.self() || has_led_) return;
  has_led_ = true;
  leading_since_ = runtime_.now();
  // Nobody else would terminate what the leader before us had cordoned, nor uncordon it.
  registry_.set_cordoned({});
  inventory_.on_leadership(leading_since_);
}

void Autoscaler::tick() {
  registry_.detect_process_suspension(runtime_.now());
  if (membership_.is_leader() && has_led_) lead();
  runtime_.after(kUpdateInterval, [this] { tick(); });
}

void Autoscaler::lead() {
  catalog_.poll();
  send_requests();
  listing_.poll();
  health_monitor_.update(leading_since_);
  barrier_monitor_.update();
  deregistration_.run(leading_since_);
  scale_in_.cordon_drained();
  if (settings_.operators.enabled)
    registry_.set_provisioning(inventory_.provisioning(runtime_.now()));
  if (inventory_.was_listed() && !registry_.types().empty() && knows_all_launches())
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
  // The listing must have caught up with what the last leader launched.
  return !had_predecessor || runtime_.now() - leading_since_ > net::to_duration(settings_.list_lag);
}

void Autoscaler::announce_unheard(const std::vector<wire::ListedMachine>& listed) {
  // All controllers have restarted at once and are back before a machine has missed them: it
  // attaches with its next heartbeat, and until the last one has, no failover is complete. The
  // listing says where each machine can be asked to do so now.
  if (!settings_.start.ask_unheard || runtime_.now() - leading_since_ > silent_after(settings_))
    return;
  std::vector<std::pair<std::string, std::string>> unheard;
  for (const auto& machine : listed)
    if (machine.phase == wire::MachinePhase::Running && !machine.address.empty() &&
        registry_.registered(machine.name) && !registry_.find(machine.name))
      unheard.emplace_back(machine.name, machine.address);
  if (!unheard.empty()) unheard_(std::move(unheard));
}

void Autoscaler::adjust_capacity() {
  const auto now = runtime_.now();
  auto demand = demand_of(capacity_reader_.demand());
  const auto supply = capacity_reader_.supply();
  planner_.add_deadline_overflow(demand, supply, now);
  planner_.set_spot_unavailable(!scale_out_.launch_missing(demand, supply));
  scale_out_.launch_for_unschedulable();
  const auto peak = planner_.recent_peak(demand.capacity, now);
  // What is terminated while the store is unavailable cannot be deregistered: a new leader would
  // wait for it.
  if (membership_.store_available()) scale_in_.run(peak, capacity_reader_.supply());
}
}  // namespace limemast::cloud

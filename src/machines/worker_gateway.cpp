#include "machines/worker_gateway.hpp"

namespace limemast::machines {
WorkerGateway::WorkerGateway(const GatewayContext& context, HeartbeatHandler::OnUpdate on_update,
                             CommandMetrics* metrics)
    : context_(context),
      monitor_(context, metrics),
      attached_(context, monitor_),
      probes_(context, attached_,
              [this](const std::string& machine) { responder_.respond(machine); }),
      starts_(context, attached_),
      direct_(context, attached_, starts_, probes_, monitor_,
              [this](const std::string& machine, const net::HttpResult& result) {
                heartbeats_.on_direct_response(machine, result);
              }),
      responder_(context, attached_, probes_, direct_, monitor_),
      unknown_jobs_(context, [this](const std::string& uid) { on_job_ended(uid); }),
      dispatcher_(context, attached_, probes_, starts_, direct_, responder_, unknown_jobs_,
                  monitor_),
      peer_loads_(context),
      forwarder_(context, attached_, peer_loads_),
      registration_(context, attached_),
      heartbeats_(context,
                  {attached_, probes_, starts_, responder_, dispatcher_, forwarder_, peer_loads_,
                   registration_, monitor_},
                  std::move(on_update)),
      adoption_(context, attached_, forwarder_, heartbeats_, monitor_),
      lingering_tasks_(context, attached_) {}

void WorkerGateway::handle_heartbeat(const wire::Heartbeat& heartbeat, net::Responder respond) {
  heartbeats_.handle(heartbeat, std::move(respond));
}

void WorkerGateway::on_epoch_changed(bool member_lost) {
  for (auto& [machine, entry] : attached_.all()) {
    // The failover of jobs completes only after every machine has shown the new token. A heartbeat
    // would show it within 1.25 heartbeat intervals. The response to a direct request shows it at
    // once, even if the request carries no command.
    if (member_lost) direct_.request_token(machine, entry);
    dispatcher_.drop_starts_of_lost_owners(entry);
  }
  probes_.remove_probes_of_lost_owners();
  if (member_lost) adoption_.on_member_lost();
  unknown_jobs_.reset();
  starts_.forget_old_refusals();
}

void WorkerGateway::tick() {
  context_.registry.detect_process_suspension(context_.runtime.now());
  probes_.drop_probes_of_unavailable_machines();
  const double own_load = peer_loads_.measure_own_load();
  forwarder_.announce_received_heartbeats(own_load);
  peer_loads_.detect_silent_members();
  peer_loads_.plan_redirects(attached_.all().size(), own_load);
  lingering_tasks_.update();
}

void WorkerGateway::adopt_machines_without_heartbeat(const std::vector<MachineAddress>& machines) {
  adoption_.adopt_machines_without_heartbeat(machines);
}

void WorkerGateway::on_machine_removed(const std::string& machine) {
  auto* entry = attached_.find(machine);
  if (!entry) return;
  probes_.drop_probes(machine);
  HeartbeatResponder::refuse(*entry);
  attached_.erase(machine);
}

void WorkerGateway::on_job_ended(const std::string& uid) {
  probes_.remove_probes_of(uid);
  dispatcher_.on_job_ended(uid);
}
}  // namespace limemast::machines

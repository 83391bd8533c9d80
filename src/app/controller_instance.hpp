#pragma once
#include "cloud/autoscaler.hpp"
#include "cluster/member_eviction.hpp"
#include "jobs/job_api.hpp"
#include "jobs/slo_monitor.hpp"
#include "machines/worker_gateway.hpp"
#include "operator_api/operator_api.hpp"
#include "overload/admission_filter.hpp"

namespace limemast::app {
/// One incarnation of a controller with all its components. ControllerSupervisor destroys it and
/// creates a new one when its lease is lost.
class ControllerInstance {
 public:
  /// `on_lease_lost` is called when the lease is lost; this object must not be used after that.
  /// `metrics` is null if the operator API is disabled; no metrics are collected then.
  ControllerInstance(net::Runtime& runtime, const wire::Settings& settings,
                     std::function<void()> on_lease_lost, operator_api::Metrics* metrics = nullptr);
  void start();
  void serve(const net::HttpRequest& request, net::Responder respond);
  void from_peer(const wire::json& message) { message_bus_.receive(message); }
  /// Whether the controller may act and knows the machine types, so that it can serve users.
  bool ready() const;
  /// When `ready` was first true; nullopt before that.
  std::optional<net::Time> ready_since() const { return ready_since_; }
  const cluster::Membership& membership() const { return membership_; }
  const cluster::MemberEviction& member_eviction() const { return member_eviction_; }
  const jobs::JobOwner& job_owner() const { return job_owner_; }
  const diagnostics::SloAttainment& slo_attainment() const { return slo_monitor_.slo_attainment(); }
  const diagnostics::PendingReasonTable& pending_reasons() const { return pending_reasons_; }
  const machines::Registry& registry() const { return registry_; }
  const overload::AdmissionFilter& admission_filter() const { return admission_filter_; }

 private:
  void on_changes(const std::vector<store::Change>& changes);
  void on_epoch_changed();
  /// The job's final status is stored. The notice comes from the watch or from another controller's
  /// broadcast, which may arrive much earlier.
  void on_job_ended(const std::string& uid);
  void log_when_ready();
  void tick();
  void schedule();
  void send_long_task_map();

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  std::function<void()> on_lease_lost_;
  std::optional<net::Time> ready_since_;
  store::Client client_;
  store::WatchCache watch_cache_;
  cluster::Membership membership_;
  cluster::MessageBus message_bus_;
  cluster::MemberEviction member_eviction_;
  cluster::JobDirectory job_directory_;
  machines::Registry registry_;
  diagnostics::PendingReasonTable pending_reasons_;
  diagnostics::CapacityDiagnosis capacity_diagnosis_;
  drains::Drains drains_;
  machines::WorkerGateway worker_gateway_;
  jobs::CompletionBroadcast completion_broadcast_;
  jobs::JobOwner job_owner_;
  jobs::LongTaskScheduler scheduler_;
  jobs::StatusReader status_reader_;
  jobs::SloMonitor slo_monitor_;
  jobs::JobApi job_api_;
  overload::AdmissionFilter admission_filter_;
  cloud::Autoscaler autoscaler_;
  drains::DrainController drain_controller_;
  operator_api::OperatorApi operator_api_;
};
}  // namespace limemast::app

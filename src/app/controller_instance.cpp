#include "app/controller_instance.hpp"

#include <spdlog/spdlog.h>

#include "app/logs.hpp"

namespace limemast::app {
namespace {
using namespace std::chrono_literals;
using wire::json;
constexpr auto kTickInterval = 1s;
constexpr auto kPlacementInterval = 100ms;
constexpr auto kEndedJobRetention = 600s;
const std::string kSubmissionsPath = "/submissions";
const std::string kAbortSuffix = "/abort";
}  // namespace

ControllerInstance::ControllerInstance(net::Runtime& runtime, const wire::Settings& settings,
                                       std::function<void()> on_lease_lost,
                                       operator_api::Metrics* metrics)
    : runtime_(runtime),
      settings_(settings),
      on_lease_lost_(std::move(on_lease_lost)),
      client_(runtime, settings),
      watch_cache_(runtime, client_, cluster::keys::kWatched),
      membership_(runtime, settings, client_, watch_cache_),
      message_bus_(runtime, membership_, client_.decode_errors()),
      member_eviction_(runtime, client_, watch_cache_, membership_, message_bus_),
      job_directory_(membership_),
      registry_(job_directory_),
      pending_reasons_(settings.operators.enabled),
      capacity_diagnosis_(settings, job_directory_, registry_),
      worker_gateway_(
          {runtime, settings, client_, watch_cache_, membership_, message_bus_, job_directory_,
           registry_},
          [this](const std::string& machine) { job_owner_.on_heartbeat(machine); }, metrics),
      completion_broadcast_(runtime, settings, membership_, message_bus_,
                            [this](const std::string& uid, const jobs::Status& end) {
                              const bool first_notice =
                                  job_directory_.mark_final(uid, runtime_.now());
                              if (end.phase == jobs::Phase::Done)
                                job_directory_.mark_completed(uid);
                              status_reader_.cache_final_status(uid, end);
                              job_owner_.on_job_ended(uid, end.phase);
                              if (first_notice) on_job_ended(uid);
                            }),
      job_owner_(runtime, settings, client_, membership_, message_bus_, job_directory_, registry_,
                 pending_reasons_, capacity_diagnosis_, completion_broadcast_),
      scheduler_(runtime, settings, membership_, message_bus_, job_directory_, registry_,
                 job_owner_, pending_reasons_),
      status_reader_(runtime, client_, watch_cache_, membership_, message_bus_, job_directory_,
                     registry_, job_owner_, completion_broadcast_),
      slo_monitor_(runtime, settings, membership_, job_directory_, registry_, job_owner_,
                   status_reader_, pending_reasons_, capacity_diagnosis_),
      job_api_(runtime, settings, client_, membership_, message_bus_, job_directory_, registry_,
               job_owner_, status_reader_),
      admission_filter_(runtime, settings),
      autoscaler_(runtime, settings, client_, watch_cache_, membership_, job_directory_, registry_,
                  job_owner_, drains_, capacity_diagnosis_),
      drain_controller_(runtime, settings, membership_, job_directory_, registry_, job_owner_,
                        scheduler_, drains_),
      operator_api_(runtime, settings, client_, watch_cache_, membership_, message_bus_,
                    job_directory_, registry_, job_owner_, pending_reasons_, capacity_diagnosis_,
                    drains_, drain_controller_, slo_monitor_.slo_attainment(), metrics) {
  // The queue of short jobs is ordered by least remaining work (paper, section 4.3), so that every
  // controller derives the same order.
  if (pending_reasons_.enabled())
    job_directory_.set_pending_tasks_listener([this](const cluster::ActiveJob& job) {
      if (job.is_long) return;
      if (job.pending_tasks.value_or(0) == 0 || job.ended)
        return pending_reasons_.short_job_queue().erase(job.spec.uid);
      const auto work =
          *job.pending_tasks *
          std::chrono::duration_cast<std::chrono::milliseconds>(job.spec.estimate).count();
      pending_reasons_.short_job_queue().put(job.spec.uid, {work, 0, 0, 0, 0, 0});
    });
}

void ControllerInstance::start() {
  membership_.start({[this] { on_epoch_changed(); }, on_lease_lost_});
  watch_cache_.start([this](const std::vector<store::Change>& changes) { on_changes(changes); });
  autoscaler_.start(
      [this](auto machines) { worker_gateway_.adopt_machines_without_heartbeat(machines); });
  operator_api_.start();
  member_eviction_.start();
  admission_filter_.start();
  tick();
  schedule();
  send_long_task_map();
}

void ControllerInstance::on_changes(const std::vector<store::Change>& changes) {
  std::vector<std::string> jobs;
  bool drains_changed = false;
  for (const auto& c : changes) {
    std::string name;
    if (cluster::keys::match_prefix(c.key, cluster::keys::kActiveJobs, name)) {
      if (c.removed) {
        if (job_directory_.mark_ended(name, runtime_.now())) on_job_ended(name);
        job_owner_.on_active_record_removed(name);
      } else {
        if (!job_directory_.upsert(name, *watch_cache_.find(c.key)))
          client_.decode_errors().record(c.key);
        operator_api_.on_job(name);
        jobs.push_back(name);
      }
    } else if (cluster::keys::match_prefix(c.key, cluster::keys::kMachines, name)) {
      // A record lists registered machines. A machine that no record lists any more was terminated.
      auto registrations = c.removed ? std::optional(std::map<std::string, bool>())
                                     : cluster::read_machines(watch_cache_.find(c.key)->value);
      if (!registrations) {
        client_.decode_errors().record(c.key);
        registry_.mark_record_unreadable(c.key, membership_.epoch().number);
        job_owner_.on_registrations_changed();
        continue;
      }
      for (const auto& machine : registry_.apply_registration_record(
               c.key, std::move(*registrations), membership_.epoch().number)) {
        worker_gateway_.on_machine_removed(machine);
        job_owner_.on_machine_removed(machine);
        registry_.remove(machine);
      }
      job_owner_.on_registrations_changed();
    } else if (cluster::keys::match_prefix(c.key, cluster::keys::kDrains, name)) {
      drains_changed = true;
      const bool valid = c.removed || drains_.put(name, watch_cache_.find(c.key)->value);
      if (!valid) client_.decode_errors().record(c.key);
      if (c.removed) drains_.remove(name);
    } else if (c.key == cluster::keys::kCatalog && !c.removed) {
      if (!autoscaler_.load_types(watch_cache_.find(c.key)->value))
        client_.decode_errors().record(c.key);
    }
  }
  if (drains_changed) registry_.set_drains(drains_.machines(), drains_.zones());
  membership_.on_changes(changes);
  member_eviction_.on_changes(changes);
  std::set<cluster::ControllerId> suspects;
  for (const auto& controller : membership_.epoch().members)
    if (member_eviction_.is_suspected(controller)) suspects.insert(controller);
  registry_.set_suspects(std::move(suspects));
  if (!jobs.empty()) {
    job_owner_.take_ownership(jobs);
    scheduler_.run();
  }
  log_when_ready();
}

void ControllerInstance::on_job_ended(const std::string& uid) {
  operator_api_.on_job_ended(uid);
  worker_gateway_.on_job_ended(uid);
}

bool ControllerInstance::ready() const {
  return membership_.may_act() && !registry_.types().empty();
}

/// Logs once, when the controller becomes ready, how long each phase of the startup took.
void ControllerInstance::log_when_ready() {
  if (ready_since_ || !ready()) return;
  ready_since_ = runtime_.now();
  const auto& steps = membership_.startup_times();
  std::string line;
  for (std::size_t i = 1; i < steps.size(); ++i) {
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(steps[i] - steps[0]).count();
    line += std::string(i > 1 ? ", " : "") +
            cluster::name_of(static_cast<cluster::StartupPhase>(i)) + " after " +
            std::to_string(ms) + " ms";
  }
  spdlog::info(
      "controller ready after {} ms: {}, epoch {}",
      std::chrono::duration_cast<std::chrono::milliseconds>(runtime_.now() - steps[0]).count(),
      line, membership_.epoch().number);
}

void ControllerInstance::on_epoch_changed() {
  set_log_epoch(membership_.epoch().number);
  client_.set_active_controllers(membership_.epoch().members.size());
  member_eviction_.on_epoch_changed();
  worker_gateway_.on_epoch_changed(membership_.lost_member());
  job_owner_.on_epoch_changed();
  autoscaler_.on_epoch_changed();
}

void ControllerInstance::tick() {
  worker_gateway_.tick();
  completion_broadcast_.tick();
  job_owner_.tick();
  drain_controller_.tick();
  slo_monitor_.tick();
  job_directory_.prune(runtime_.now() - kEndedJobRetention);
  runtime_.after(kTickInterval, [this] { tick(); });
}

void ControllerInstance::schedule() {
  scheduler_.run();
  runtime_.after(kPlacementInterval, [this] { schedule(); });
}

void ControllerInstance::send_long_task_map() {
  scheduler_.send_map();
  runtime_.after(net::to_duration(settings_.tuning.map_interval), [this] { send_long_task_map(); });
}

void ControllerInstance::serve(const net::HttpRequest& request, net::Responder respond) {
  const auto& path = request.path;
  auto not_allowed = [&](const char* allow) { respond({405, R"({"error":"method"})", 0, allow}); };
  if (path == "/hello") {
    if (request.method != "POST") return not_allowed("POST");
    const auto heartbeat = wire::parse_heartbeat(json::parse(request.body, nullptr, false));
    if (!heartbeat) return respond({400, R"({"error":"malformed report"})", 0, {}});
    return worker_gateway_.handle_heartbeat(*heartbeat, std::move(respond));
  }
  if (path.starts_with(operator_api::kPrefix))
    return operator_api_.serve(request, std::move(respond));
  if (path == "/ready") {
    if (request.method != "GET") return not_allowed("GET");
    // A controller that the key-value store refuses while it serves a peer can accept no jobs, so
    // it is not ready and users are sent to its peers. In an outage for all controllers it stays
    // ready, because it would take seconds to count as healthy again afterwards.
    const bool store_refuses_only_us =
        !membership_.store_available() && worker_gateway_.any_peer_reaches_store();
    const bool can_serve_users = ready() && !store_refuses_only_us;
    return respond(
        {can_serve_users ? 200 : 503, can_serve_users ? "{}" : R"({"error":"not ready"})", 0, {}});
  }
  if (path == kSubmissionsPath) {
    if (request.method != "POST") return not_allowed("POST");
    if (auto rejection = admission_filter_.rejection(overload::RequestClass::Submission))
      return respond(std::move(*rejection));
    return job_api_.submit(request.body, std::move(respond));
  }
  if (path.compare(0, kSubmissionsPath.size() + 1, kSubmissionsPath + "/") == 0) {
    auto uid_and_action = path.substr(kSubmissionsPath.size() + 1);
    if (uid_and_action.size() > kAbortSuffix.size() &&
        uid_and_action.compare(uid_and_action.size() - kAbortSuffix.size(), kAbortSuffix.size(),
                               kAbortSuffix) == 0) {
      if (request.method != "POST") return not_allowed("POST");
      return job_api_.abort(uid_and_action.substr(0, uid_and_action.size() - kAbortSuffix.size()),
                            std::move(respond));
    }
    if (request.method != "GET") return not_allowed("GET");
    if (auto rejection = admission_filter_.rejection(overload::RequestClass::StatusQuery))
      return respond(std::move(*rejection));
    return job_api_.query(uid_and_action, std::move(respond));
  }
  respond({404, R"({"error":"unknown path"})", 0, {}});
}
}  // namespace limemast::app

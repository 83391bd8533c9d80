#include "app/controller_instance.hpp"

#include <spdlog/spdlog.h>

#include "app/logs.hpp"

namespace limemast::app {
namespace {
using namespace std::chrono_literals;
using wire::json;
constexpr auto kTick = 1s;
constexpr auto kPlaceEvery = 100ms;
constexpr auto kEndedKept = 600s;
const std::string kSubmissions = "/submissions";
const std::string kAbort = "/abort";
}  // namespace

ControllerInstance::ControllerInstance(net::Runtime& runtime, const wire::Settings& settings,
                                       std::function<void()> lost, operator_api::Metrics* metrics)
    : runtime_(runtime),
      settings_(settings),
      lost_(std::move(lost)),
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
          {runtime, settings, client_, membership_, message_bus_, job_directory_, registry_},
          [this](const std::string& machine) { job_owner_.on_heartbeat(machine); }),
      completion_broadcast_(runtime, settings, membership_, message_bus_,
                            [this](const std::string& uid, const jobs::Status& end) {
                              const bool news = job_directory_.mark_final(uid, runtime_.now());
                              status_reader_.cache_final_status(uid, end);
                              job_owner_.on_job_ended(uid, end.phase);
                              if (news) on_end(uid);
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
                  job_owner_, drains_),
      drain_controller_(runtime, settings, membership_, job_directory_, registry_, job_owner_,
                        scheduler_, drains_),
      operator_api_(runtime, settings, client_, watch_cache_, membership_, message_bus_,
                    job_directory_, registry_, job_owner_, pending_reasons_, capacity_diagnosis_,
                    drains_, drain_controller_, slo_monitor_.slo_attainment(), metrics) {
  // Least remaining work first (paper, section 4.3): the line of short jobs, the same at every
  // controller.
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
  membership_.start({[this] { on_epoch_changed(); }, lost_});
  watch_cache_.start([this](const std::vector<store::Change>& changes) { on_changes(changes); });
  autoscaler_.start(
      [this](auto machines) { worker_gateway_.adopt_machines_without_heartbeat(machines); });
  operator_api_.start();
  member_eviction_.start();
  admission_filter_.start();
  tick();
  place();
  send_map();
}

void ControllerInstance::on_changes(const std::vector<store::Change>& changes) {
  std::vector<std::string> jobs;
  bool drains_changed = false;
  for (const auto& c : changes) {
    std::string name;
    if (cluster::keys::match_prefix(c.key, cluster::keys::kActiveJobs, name)) {
      if (c.removed) {
        if (job_directory_.mark_ended(name, runtime_.now())) on_end(name);
        job_owner_.on_active_record_removed(name);
      } else {
        if (!job_directory_.upsert(name, *watch_cache_.find(c.key)))
          client_.decode_errors().record(c.key);
        operator_api_.on_job(name);
        jobs.push_back(name);
      }
    } else if (cluster::keys::match_prefix(c.key, cluster::keys::kMachines, name)) {
      // A record names machines; those that none names any more were given back.
      auto named = c.removed ? std::optional(std::map<std::string, bool>())
                             : cluster::read_machines(watch_cache_.find(c.key)->value);
      if (!named) {
        client_.decode_errors().record(c.key);
        registry_.mark_record_unreadable(c.key, membership_.epoch().number);
        job_owner_.on_registrations_changed();
        continue;
      }
      for (const auto& machine : registry_.apply_registration_record(c.key, std::move(*named),
                                                                     membership_.epoch().number)) {
        worker_gateway_.on_machine_removed(machine);
        job_owner_.on_machine_removed(machine);
        registry_.remove(machine);
      }
      job_owner_.on_registrations_changed();
    } else if (cluster::keys::match_prefix(c.key, cluster::keys::kDrains, name)) {
      drains_changed = true;
      const bool good = c.removed || drains_.put(name, watch_cache_.find(c.key)->value);
      if (!good) client_.decode_errors().record(c.key);
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
  look_ready();
}

void ControllerInstance::on_end(const std::string& uid) {
  operator_api_.on_job_ended(uid);
  worker_gateway_.on_job_ended(uid);
}

bool ControllerInstance::ready() const {
  return membership_.may_act() && !registry_.types().empty();
}

/// Says once how long each step of the start took, and that it is over.
void ControllerInstance::look_ready() {
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
      "ready after {} ms: {}, epoch {}",
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
  job_directory_.prune(runtime_.now() - kEndedKept);
  runtime_.after(kTick, [this] { tick(); });
}

void ControllerInstance::place() {
  scheduler_.run();
  runtime_.after(kPlaceEvery, [this] { place(); });
}

void ControllerInstance::send_map() {
  scheduler_.send_map();
  runtime_.after(net::to_duration(settings_.tuning.map_interval), [this] { send_map(); });
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
    // Refused by the state service while others are served, this controller can accept nothing:
    // users go to those. In an outage for all it stays ready, as it takes seconds to count as
    // healthy again.
    const bool refused = !membership_.store_available() && worker_gateway_.any_peer_reaches_store();
    const bool good = ready() && !refused;
    return respond({good ? 200 : 503, good ? "{}" : R"({"error":"not ready"})", 0, {}});
  }
  if (path == kSubmissions) {
    if (request.method != "POST") return not_allowed("POST");
    if (auto away = admission_filter_.rejection(overload::RequestClass::Submission))
      return respond(std::move(*away));
    return job_api_.submit(request.body, std::move(respond));
  }
  if (path.compare(0, kSubmissions.size() + 1, kSubmissions + "/") == 0) {
    auto rest = path.substr(kSubmissions.size() + 1);
    if (rest.size() > kAbort.size() &&
        rest.compare(rest.size() - kAbort.size(), kAbort.size(), kAbort) == 0) {
      if (request.method != "POST") return not_allowed("POST");
      return job_api_.abort(rest.substr(0, rest.size() - kAbort.size()), std::move(respond));
    }
    if (request.method != "GET") return not_allowed("GET");
    if (auto away = admission_filter_.rejection(overload::RequestClass::StatusQuery))
      return respond(std::move(*away));
    return job_api_.query(rest, std::move(respond));
  }
  respond({404, R"({"error":"unknown path"})", 0, {}});
}
}  // namespace limemast::app

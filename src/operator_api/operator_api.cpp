#include "operator_api/operator_api.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

#include "messages/operators.hpp"

namespace limemast::operator_api {
namespace {
using namespace std::chrono_literals;
using wire::json;
constexpr std::size_t kMaxQueuedRequests = 32;
constexpr std::size_t kMaxPendingQueries = 64;
constexpr auto kRequestInterval = 5ms;  ///< between two requests
constexpr auto kMaxLoopDelay = 60ms;  ///< while timers fire later than this, no request is handled
constexpr auto kMaxQueueTime = 2s;    ///< requests that were queued for longer are refused
constexpr auto kLoopDelayInterval = 100ms;
constexpr auto kDrainCleanupInterval = 10s;
constexpr auto kLogInterval = 60s;

int hex_digit(char c) {
  return c >= '0' && c <= '9'   ? c - '0'
         : c >= 'a' && c <= 'f' ? c - 'a' + 10
         : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                : -1;
}
std::string percent_decode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 &&
        hex_digit(text[i + 2]) >= 0) {
      out += static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2]));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}
}  // namespace

net::HttpResponse error(int status, const std::string& what) {
  return {status, json{{"error", what}}.dump() + "\n", status == 503 ? 1 : 0, {}};
}

OperatorApi::OperatorApi(net::Runtime& runtime, const wire::Settings& settings,
                         store::Client& client, const store::WatchCache& watch_cache,
                         cluster::Membership& membership, cluster::MessageBus& message_bus,
                         cluster::JobDirectory& job_directory, machines::Registry& registry,
                         jobs::JobOwner& job_owner,
                         diagnostics::PendingReasonTable& pending_reasons,
                         diagnostics::CapacityDiagnosis& capacity_diagnosis,
                         const drains::Drains& drains,
                         const drains::DrainController& drain_controller,
                         const diagnostics::SloAttainment& slo_attainment, Metrics* metrics)
    : runtime_(runtime),
      settings_(settings),
      client_(client),
      watch_cache_(watch_cache),
      membership_(membership),
      message_bus_(message_bus),
      job_directory_(job_directory),
      registry_(registry),
      job_owner_(job_owner),
      pending_reasons_(pending_reasons),
      capacity_diagnosis_(capacity_diagnosis),
      drains_(drains),
      drain_controller_(drain_controller),
      slo_attainment_(slo_attainment),
      metrics_(metrics),
      history_(settings.operators.history_size),
      rate_limiter_(settings.operators.max_requests_per_s, settings.operators.max_requests_per_s) {
  if (!settings_.operators.enabled) return;
  message_bus_.on<messages::OperatorQuery>(
      [this](const cluster::ControllerId& from, const messages::OperatorQuery& query) {
        message_bus_.send(
            from, messages::OperatorReply{query.id, local_part(query.what, query.arguments)});
      });
  message_bus_.on<messages::OperatorReply>(
      [this](const cluster::ControllerId& from, const messages::OperatorReply& reply) {
        auto it = pending_queries_.find(reply.id);
        if (it == pending_queries_.end() || it->second.missing.erase(from) == 0) return;
        it->second.parts[from] = reply.part;
        if (it->second.missing.empty()) complete_query(reply.id);
      });
}

void OperatorApi::start() {
  if (!settings_.operators.enabled) return;
  measure_loop_delay();
  sample();
  remove_obsolete_drains();
  runtime_.after(kLogInterval, [this] { log_pending_reasons(); });
  if (settings_.operators.self_requests_per_s > 0) query_itself();
}

void OperatorApi::on_job(const std::string& uid) {
  if (settings_.operators.enabled) open_jobs_.insert(uid);
}

void OperatorApi::on_job_ended(const std::string& uid) {
  open_jobs_.erase(uid);
  pending_reasons_.clear(uid, runtime_.now());
  pending_reasons_.long_job_queue().erase(uid);
  pending_reasons_.short_job_queue().erase(uid);
}

/// Measures how late the loop's timers fire, which shows whether workers and users have to wait.
void OperatorApi::measure_loop_delay() {
  const auto due = runtime_.now() + kLoopDelayInterval;
  runtime_.after(kLoopDelayInterval, [this, due] {
    loop_delay_ = runtime_.now() - due;
    if (metrics_) metrics_->loop_delay(loop_delay_);
    measure_loop_delay();
  });
}

void OperatorApi::serve(const net::HttpRequest& request, net::Responder respond) {
  if (!settings_.operators.enabled)
    return respond(error(404, "the operators' interface is switched off"));
  auto counted = [this, respond = std::move(respond)](net::HttpResponse r) {
    if (metrics_) metrics_->operator_request(r.status);
    respond(std::move(r));
  };
  if (queue_.size() >= kMaxQueuedRequests || !rate_limiter_.take(runtime_.now(), 1))
    return counted(error(503, "too many requests of operators"));
  queue_.push_back({request, std::move(counted), runtime_.now()});
  if (!std::exchange(queue_scheduled_, true))
    runtime_.after(kRequestInterval, [this] { process_queue(); });
}

void OperatorApi::process_queue() {
  const auto now = runtime_.now();
  while (!queue_.empty() && now - queue_.front().since > kMaxQueueTime) {
    queue_.front().respond(error(503, "busy"));
    queue_.pop_front();
  }
  if (!queue_.empty() && loop_delay_ < kMaxLoopDelay) {
    auto next = std::move(queue_.front());
    queue_.pop_front();
    handle(next.request, std::move(next.respond));
  }
  queue_scheduled_ = !queue_.empty();
  if (queue_scheduled_)
    runtime_.after(loop_delay_ < kMaxLoopDelay ? net::Duration(kRequestInterval)
                                               : net::Duration(kLoopDelayInterval),
                   [this] { process_queue(); });
}

void OperatorApi::handle(const net::HttpRequest& request, net::Responder respond) {
  auto rest = request.path.substr(kPrefix.size());
  Query query;
  const auto mark = rest.find('?');
  query.path = rest.substr(0, mark);
  while (mark != std::string::npos) {
    rest = rest.substr(rest.find('?') == std::string::npos ? rest.find('&') : rest.find('?'));
    rest.erase(0, 1);
    const auto end = rest.find('&');
    const auto field = rest.substr(0, end);
    if (const auto is = field.find('='); is != std::string::npos)
      query.fields[field.substr(0, is)] = percent_decode(field.substr(is + 1));
    if (end == std::string::npos) break;
    rest = rest.substr(end);
  }
  const auto& path = query.path;
  const bool get = request.method == "GET";
  auto only = [&](const char* allow) {
    respond({405, json{{"error", "method"}}.dump() + "\n", 0, allow});
  };
  if (path.starts_with("drains/")) {
    const auto id = path.substr(7);
    if (!drains::parse_id(id))
      return respond(error(400, "drains: must be machine/NAME or zone/NAME"));
    if (request.method == "PUT") return put_drain(id, request.body, std::move(respond));
    if (request.method == "DELETE") return remove_drain(id, std::move(respond));
    return only("PUT, DELETE");
  }
  if (!get) return only("GET");
  if (path == "jobs") return jobs(query, std::move(respond));
  if (path.starts_with("jobs/")) return job(path.substr(5), std::move(respond));
  if (path == "machines") return machines(query, std::move(respond));
  if (path == "teams") return teams(std::move(respond));
  if (path == "controllers") return controllers(std::move(respond));
  if (path == "drains") return drains(std::move(respond));
  if (path == "history") return history(std::move(respond));
  if (path == "metrics") return metrics(std::move(respond));
  respond(error(404, "unknown path"));
}

// ---- queries to other controllers ----

std::map<cluster::ControllerId, json> OperatorApi::all_members() const {
  std::map<cluster::ControllerId, json> out;
  for (const auto& controller : membership_.epoch().members) out[controller] = json();
  return out;
}

void OperatorApi::query_members(const std::string& what,
                                std::map<cluster::ControllerId, json> asked,
                                std::function<void(PendingQuery&)> done) {
  PendingQuery g;
  g.what = what;
  g.done = std::move(done);
  const auto id = next_id_++;
  const bool room = pending_queries_.size() < kMaxPendingQueries;
  for (const auto& [controller, args] : asked) {
    if (controller == membership_.self())
      g.parts[controller] = local_part(what, args);
    else if (room && membership_.is_member(controller))
      g.missing.insert(controller);
  }
  const auto others = g.missing;
  pending_queries_.emplace(id, std::move(g));
  if (others.empty()) return complete_query(id);
  for (const auto& controller : others)
    message_bus_.send(controller, messages::OperatorQuery{id, what, asked.at(controller)});
  runtime_.after(net::to_duration(settings_.operators.peer_timeout),
                 [this, id] { complete_query(id); });
}

void OperatorApi::complete_query(std::uint64_t id) {
  auto node = pending_queries_.extract(id);
  if (node.empty()) return;
  auto& g = node.mapped();
  // Parts about jobs are not kept: each query asks for other jobs.
  if (g.what != "jobs")
    for (const auto& [controller, answer] : g.parts)
      last_parts_[{g.what, controller.label()}] = {answer, runtime_.now()};
  g.done(g);
}

json OperatorApi::part_ages(const PendingQuery& g) const {
  json out = json::array();
  auto add = [&](const std::string& label) {
    const auto member = membership_.member_with_label(label);
    const bool answered = !member.empty() && g.parts.contains(member);
    const bool asked = answered || member.empty() || g.missing.contains(member);
    if (!asked) return;
    json entry{{"controller", label}, {"answered", answered}};
    if (!answered) {
      const auto it = last_parts_.find({g.what, label});
      entry["why"] = member.empty() ? "not a member of the generation" : "did not answer in time";
      entry["ageS"] = it == last_parts_.end()
                          ? json()
                          : json(net::to_seconds(runtime_.now() - it->second.at).count());
    }
    out.push_back(std::move(entry));
  };
  add(settings_.label);
  for (const auto& [label, endpoint] : settings_.peer_endpoints) add(label);
  return out;
}

json OperatorApi::local_part(const std::string& what, const json& asked) {
  if (what == "jobs") {
    json out = json::object();
    if (!asked.is_array()) return out;
    std::size_t count = 0;
    for (const auto& uid : asked) {
      if (!uid.is_string() || ++count > settings_.operators.page_size) break;
      out[uid.get<std::string>()] = job_part(uid.get<std::string>());
    }
    return out;
  }
  if (what == "controllers") return controller_part();
  if (what == "drains") return drains_part();
  if (what == "history") return history_part();
  return {};
}

// ---- periodic work ----

/// Logs once a minute for what causes the tasks of this controller's jobs have waited since it
/// started.
void OperatorApi::log_pending_reasons() {
  std::string line;
  const auto& sums = pending_reasons_.sums();
  for (const auto cause : diagnostics::kAllPendingReasons)
    if (const auto& s = sums[static_cast<std::size_t>(cause)]; s.task_seconds >= 1)
      line += fmt::format("{} {}: {:.0f} task seconds, {} tasks now", line.empty() ? "" : ",",
                          diagnostics::name_of(cause), s.task_seconds, s.tasks);
  if (!line.empty())
    spdlog::info("pending time by cause since the start:{}, epoch {}", line,
                 membership_.epoch().number);
  runtime_.after(kLogInterval, [this] { log_pending_reasons(); });
}

void OperatorApi::sample() {
  Sample s;
  s.at = runtime_.wall();
  const auto& sums = pending_reasons_.sums();
  for (std::size_t i = 0; i < diagnostics::kPendingReasons; ++i) s.waiting[i] = sums[i].tasks;
  for (const auto& [name, machine_status] : registry_.machine_statuses())
    ++(machine_status.heartbeat.spot ? s.spot : s.ordinary);
  for (const auto& c : registry_.provisioning()) s.provisioning += c.count;
  history_.add(s);
  runtime_.after(net::to_duration(settings_.operators.history_interval), [this] { sample(); });
}

/// The leader deletes the drains of machines that have been removed.
void OperatorApi::remove_obsolete_drains() {
  if (membership_.is_leader())
    for (const auto& [id, d] : drains_.all())
      if (d.kind == drains::Kind::Machine && registry_.removed(d.name))
        remove_drain(id, [](const net::HttpResponse&) {});
  runtime_.after(kDrainCleanupInterval, [this] { remove_obsolete_drains(); });
}

/// Sends requests to itself, so that the benchmark can measure the cost of operator requests.
void OperatorApi::query_itself() {
  static constexpr const char* kPaths[] = {"jobs",   "machines", "teams",  "controllers",
                                           "drains", "history",  "metrics"};
  serve({"GET", kPrefix + kPaths[self_queries_++ % std::size(kPaths)], {}},
        [](const net::HttpResponse&) {});
  runtime_.after(net::to_duration(wire::Seconds(1 / settings_.operators.self_requests_per_s)),
                 [this] { query_itself(); });
}
}  // namespace limemast::operator_api

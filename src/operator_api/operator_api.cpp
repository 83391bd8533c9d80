#include "operator_api/operator_api.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

#include "messages/operators.hpp"

namespace limemast::operator_api {
namespace {
using namespace std::chrono_literals;
using wire::json;
constexpr std::size_t kMaxWaiting = 32;
constexpr std::size_t kMaxGatherings = 64;
constexpr auto kStep = 5ms;    ///< between two requests
constexpr auto kLate = 60ms;   ///< timers later than this: others need the loop
constexpr auto kGivesUp = 2s;  ///< a request that waited for so long is turned away
constexpr auto kLoopLook = 100ms;
constexpr auto kTidyEvery = 10s;
constexpr auto kLogEvery = 60s;

int hex(char c) {
  return c >= '0' && c <= '9'   ? c - '0'
         : c >= 'a' && c <= 'f' ? c - 'a' + 10
         : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                : -1;
}
std::string unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && hex(text[i + 1]) >= 0 && hex(text[i + 2]) >= 0) {
      out += static_cast<char>(hex(text[i + 1]) * 16 + hex(text[i + 2]));
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
      rate_(settings.operators.max_requests_per_s, settings.operators.max_requests_per_s) {
  if (!settings_.operators.enabled) return;
  message_bus_.on<messages::OperatorQuery>([this](const cluster::ControllerId& from,
                                                  const messages::OperatorQuery& query) {
    message_bus_.send(from, messages::OperatorReply{query.id, part(query.what, query.arguments)});
  });
  message_bus_.on<messages::OperatorReply>(
      [this](const cluster::ControllerId& from, const messages::OperatorReply& reply) {
        auto it = gatherings_.find(reply.id);
        if (it == gatherings_.end() || it->second.missing.erase(from) == 0) return;
        it->second.parts[from] = reply.part;
        if (it->second.missing.empty()) finish(reply.id);
      });
}

void OperatorApi::start() {
  if (!settings_.operators.enabled) return;
  watch_loop();
  sample();
  tidy_drains();
  runtime_.after(kLogEvery, [this] { log_waits(); });
  if (settings_.operators.self_requests_per_s > 0) rehearse();
}

void OperatorApi::on_job(const std::string& uid) {
  if (settings_.operators.enabled) open_.insert(uid);
}

void OperatorApi::on_job_ended(const std::string& uid) {
  open_.erase(uid);
  pending_reasons_.clear(uid, runtime_.now());
  pending_reasons_.long_job_queue().erase(uid);
  pending_reasons_.short_job_queue().erase(uid);
}

/// How late the loop's timers are tells whether workers and users wait.
void OperatorApi::watch_loop() {
  const auto due = runtime_.now() + kLoopLook;
  runtime_.after(kLoopLook, [this, due] {
    late_ = runtime_.now() - due;
    if (metrics_) metrics_->loop_delay(late_);
    watch_loop();
  });
}

void OperatorApi::serve(const net::HttpRequest& request, net::Responder respond) {
  if (!settings_.operators.enabled)
    return respond(error(404, "the operators' interface is switched off"));
  auto counted = [this, respond = std::move(respond)](net::HttpResponse r) {
    if (metrics_) metrics_->operator_request(r.status);
    respond(std::move(r));
  };
  if (waiting_.size() >= kMaxWaiting || !rate_.take(runtime_.now(), 1))
    return counted(error(503, "too many requests of operators"));
  waiting_.push_back({request, std::move(counted), runtime_.now()});
  if (!std::exchange(pumping_, true)) runtime_.after(kStep, [this] { pump(); });
}

void OperatorApi::pump() {
  const auto now = runtime_.now();
  while (!waiting_.empty() && now - waiting_.front().since > kGivesUp) {
    waiting_.front().respond(error(503, "busy"));
    waiting_.pop_front();
  }
  if (!waiting_.empty() && late_ < kLate) {
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    handle(next.request, std::move(next.respond));
  }
  pumping_ = !waiting_.empty();
  if (pumping_)
    runtime_.after(late_ < kLate ? net::Duration(kStep) : net::Duration(kLoopLook),
                   [this] { pump(); });
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
      query.fields[field.substr(0, is)] = unescape(field.substr(is + 1));
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

// ---- what other controllers know ----

std::map<cluster::ControllerId, json> OperatorApi::everybody() const {
  std::map<cluster::ControllerId, json> out;
  for (const auto& controller : membership_.epoch().members) out[controller] = json();
  return out;
}

void OperatorApi::gather(const std::string& what, std::map<cluster::ControllerId, json> asked,
                         std::function<void(Gathering&)> done) {
  Gathering g;
  g.what = what;
  g.done = std::move(done);
  const auto id = next_id_++;
  const bool room = gatherings_.size() < kMaxGatherings;
  for (const auto& [controller, args] : asked) {
    if (controller == membership_.self())
      g.parts[controller] = part(what, args);
    else if (room && membership_.is_member(controller))
      g.missing.insert(controller);
  }
  const auto others = g.missing;
  gatherings_.emplace(id, std::move(g));
  if (others.empty()) return finish(id);
  for (const auto& controller : others)
    message_bus_.send(controller, messages::OperatorQuery{id, what, asked.at(controller)});
  runtime_.after(net::to_duration(settings_.operators.peer_timeout), [this, id] { finish(id); });
}

void OperatorApi::finish(std::uint64_t id) {
  auto node = gatherings_.extract(id);
  if (node.empty()) return;
  auto& g = node.mapped();
  // Of jobs each question names others, so that an old answer serves no new one.
  if (g.what != "jobs")
    for (const auto& [controller, told] : g.parts)
      last_[{g.what, controller.label()}] = {told, runtime_.now()};
  g.done(g);
}

json OperatorApi::ages(const Gathering& g) const {
  json out = json::array();
  auto add = [&](const std::string& label) {
    const auto member = membership_.member_with_label(label);
    const bool answered = !member.empty() && g.parts.contains(member);
    const bool asked = answered || member.empty() || g.missing.contains(member);
    if (!asked) return;
    json entry{{"controller", label}, {"answered", answered}};
    if (!answered) {
      const auto it = last_.find({g.what, label});
      entry["why"] = member.empty() ? "not a member of the generation" : "did not answer in time";
      entry["ageS"] = it == last_.end()
                          ? json()
                          : json(net::to_seconds(runtime_.now() - it->second.at).count());
    }
    out.push_back(std::move(entry));
  };
  add(settings_.label);
  for (const auto& [label, endpoint] : settings_.peer_endpoints) add(label);
  return out;
}

json OperatorApi::part(const std::string& what, const json& asked) {
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

// ---- regular work ----

/// One line a minute: what tasks of this controller's jobs have waited for since it started.
void OperatorApi::log_waits() {
  std::string line;
  const auto& sums = pending_reasons_.sums();
  for (const auto cause : diagnostics::kAllPendingReasons)
    if (const auto& s = sums[static_cast<std::size_t>(cause)]; s.task_seconds >= 1)
      line += fmt::format("{} {}: {:.0f} task seconds, {} now", line.empty() ? "" : ",",
                          diagnostics::name_of(cause), s.task_seconds, s.tasks);
  if (!line.empty())
    spdlog::info("waiting by cause:{}, epoch {}", line, membership_.epoch().number);
  runtime_.after(kLogEvery, [this] { log_waits(); });
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

/// A machine that is gone is drained for good: the leader takes its record away.
void OperatorApi::tidy_drains() {
  if (membership_.is_leader())
    for (const auto& [id, d] : drains_.all())
      if (d.kind == drains::Kind::Machine && registry_.removed(d.name))
        remove_drain(id, [](const net::HttpResponse&) {});
  runtime_.after(kTidyEvery, [this] { tidy_drains(); });
}

/// Asks itself as operators would, so that the bench can measure what being asked costs.
void OperatorApi::rehearse() {
  static constexpr const char* kPaths[] = {"jobs",   "machines", "teams",  "controllers",
                                           "drains", "history",  "metrics"};
  serve({"GET", kPrefix + kPaths[rehearsed_++ % std::size(kPaths)], {}},
        [](const net::HttpResponse&) {});
  runtime_.after(net::to_duration(wire::Seconds(1 / settings_.operators.self_requests_per_s)),
                 [this] { rehearse(); });
}
}  // namespace limemast::operator_api

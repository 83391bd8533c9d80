// The views of the operator API.
#include <algorithm>

#include "operator_api/operator_api.hpp"

namespace limemast::operator_api {
namespace {
using wire::json;
constexpr std::size_t kMaxText = 120;  ///< bytes of a name that users chose; longer names are cut

std::string text_of(const json& j) {
  return j.dump(-1, ' ', false, json::error_handler_t::replace);
}
net::HttpResponse ok(const json& body) { return {200, text_of(body) + "\n", 0, {}}; }

/// Formats one entry per line, so that lines stay short enough for clients.
net::HttpResponse listed(const char* name, const std::vector<json>& entries, json rest) {
  std::string out = "{\"" + std::string(name) + "\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) out += (i ? ",\n" : "\n") + text_of(entries[i]);
  out += "]";
  for (const auto& [key, value] : rest.items()) out += ",\n\"" + key + "\":" + text_of(value);
  return {200, out + "}\n", 0, {}};
}

std::string shortened(const std::string& text) {
  if (text.size() <= kMaxText) return text;
  auto end = kMaxText;
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80)
    --end;  // do not cut within a UTF-8 character
  return text.substr(0, end) + "...";
}

double seconds(net::Duration d) { return std::round(net::to_seconds(d).count() * 1000) / 1000; }
std::int64_t wall_ms(net::WallTime t) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch()).count();
}

/// The value of the field `limit`, at most `max`; `max` if there is no such field; nullopt if it is
/// not a positive whole number.
std::optional<std::size_t> limit_of(const std::map<std::string, std::string>& fields,
                                    std::size_t max) {
  const auto it = fields.find("limit");
  if (it == fields.end()) return max;
  if (it->second.empty() || it->second.size() > 6 ||
      it->second.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  const auto n = std::stoul(it->second);
  if (n == 0) return std::nullopt;
  return std::min<std::size_t>(n, max);
}
}  // namespace

// ---- jobs ----

json OperatorApi::job_part(const std::string& uid) const {
  const auto it = job_owner_.jobs().find(uid);
  if (it == job_owner_.jobs().end()) return {};
  const auto& job = *it->second;
  const auto running = std::min<std::uint32_t>(registry_.running_tasks(uid),
                                               job.record.spec.tasks - job.completed_tasks);
  const auto bound = static_cast<std::uint32_t>(job.assignments.size());
  json out{{"waiting", job.pending()},
           {"starting", bound - std::min(bound, running)},
           {"running", running},
           {"done", job.completed_tasks}};
  const auto now = runtime_.now();
  if (const auto* wait = pending_reasons_.find(uid)) {
    out["cause"] = diagnostics::name_of(wait->reason);
    out["causeForS"] = seconds(now - wait->since);
    if (wait->until) out["expectedInS"] = std::max(0.0, seconds(*wait->until - now));
  }
  const auto& line =
      job.record.is_long ? pending_reasons_.long_job_queue() : pending_reasons_.short_job_queue();
  if (const auto place = line.position(uid); place && job.pending() > 0) {
    out["place"] = *place;
    out["of"] = line.size();
    out["line"] = job.record.is_long ? "placement" : "least_work";
  }
  return out;
}

json OperatorApi::merged_job(const std::string& uid, const json* reported, bool silent) const {
  const auto* open = job_directory_.find(uid);
  if (!open || open->ended) return {};
  const auto& s = open->spec;
  json out{{"uid", uid},
           {"class", shortened(s.workload)},
           {"team", shortened(s.team)},
           {"rank", wire::name_of(s.rank)},
           {"shape", s.service ? "service"
                     : s.gang  ? "gang"
                               : "array"},
           {"tasks", s.tasks},
           {"cpus", s.cpus},
           {"ramGb", s.ram_gb},
           {"ageS", std::max(0.0, seconds(runtime_.wall() - open->submitted))},
           {"owner", job_directory_.owner_of(uid).label()}};
  if (reported && reported->is_object()) {
    out.update(*reported);
    return out;
  }
  // The owner sent no part: use what it last published, and give the reason as the cause.
  const auto running = registry_.running_tasks(uid);
  const auto left = open->pending_tasks.value_or(s.tasks - std::min(s.tasks, running));
  out.update({{"waiting", left}, {"running", running}, {"starting", nullptr}, {"done", nullptr}});
  if (left > 0)
    out["cause"] = diagnostics::name_of(silent ? diagnostics::PendingReason::OwnerUnresponsive
                                               : diagnostics::PendingReason::FailoverBarrier);
  return out;
}

void OperatorApi::answer_jobs(std::vector<std::string> uids,
                              std::function<void(std::vector<json>, json part_ages)> done) {
  std::map<cluster::ControllerId, json> asked;
  for (const auto& uid : uids)
    asked.try_emplace(job_directory_.owner_of(uid), json::array()).first->second.push_back(uid);
  query_members("jobs", std::move(asked),
                [this, uids = std::move(uids), done = std::move(done)](PendingQuery& g) {
                  std::vector<json> out;
                  for (const auto& uid : uids) {
                    const auto owner = g.parts.find(job_directory_.owner_of(uid));
                    const json* reported = nullptr;
                    if (owner != g.parts.end())
                      if (auto it = owner->second.find(uid); it != owner->second.end())
                        reported = &*it;
                    if (auto entry = merged_job(uid, reported, owner == g.parts.end());
                        !entry.is_null())
                      out.push_back(std::move(entry));
                  }
                  done(std::move(out), part_ages(g));
                });
}

void OperatorApi::jobs(const Query& query, net::Responder respond) {
  const auto limit = limit_of(query.fields, settings_.operators.page_size);
  if (!limit) return respond(error(400, "limit: must be a whole number above 0"));
  const auto from = query.fields.find("from");
  auto it = from == query.fields.end() ? open_jobs_.begin() : open_jobs_.upper_bound(from->second);
  std::vector<std::string> uids;
  for (; it != open_jobs_.end() && uids.size() < *limit; ++it) uids.push_back(*it);
  json rest{{"next", it == open_jobs_.end() || uids.empty() ? json() : json(uids.back())},
            {"open", open_jobs_.size()}};
  answer_jobs(std::move(uids), [this, respond, rest = std::move(rest)](std::vector<json> entries,
                                                                       json part_ages) mutable {
    rest["parts"] = std::move(part_ages);
    rest["stateAgeS"] = seconds(runtime_.now() - membership_.last_lease_renewal());
    respond(listed("jobs", entries, rest));
  });
}

void OperatorApi::job(const std::string& uid, net::Responder respond) {
  if (!open_jobs_.contains(uid)) return respond(error(404, "no such open job"));
  answer_jobs({uid}, [respond](std::vector<json> entries, json part_ages) {
    if (entries.empty()) return respond(error(404, "no such open job"));
    entries[0]["parts"] = std::move(part_ages);
    if (const auto cause = entries[0].value("cause", ""); !cause.empty())
      for (const auto c : diagnostics::kAllPendingReasons)
        if (cause == diagnostics::name_of(c)) entries[0]["explained"] = diagnostics::explain(c);
    respond(ok(entries[0]));
  });
}

// ---- machines ----

void OperatorApi::machines(const Query& query, net::Responder respond) {
  const auto limit = limit_of(query.fields, settings_.operators.page_size);
  if (!limit) return respond(error(400, "limit: must be a whole number above 0"));
  const auto from = query.fields.find("from");
  const auto& all = registry_.registrations();
  auto it = from == query.fields.end() ? all.begin() : all.upper_bound(from->second);
  const auto now = runtime_.now();
  std::vector<json> entries;
  std::string last;
  for (; it != all.end() && entries.size() < *limit; ++it) {
    last = it->first;
    json m{{"name", it->first}, {"spot", it->second.spot}};
    if (const auto* machine_status = registry_.find(it->first)) {
      const auto free = registry_.free_resources(*machine_status);
      const auto tasks = std::count_if(machine_status->heartbeat.tasks.begin(),
                                       machine_status->heartbeat.tasks.end(),
                                       [](const auto& t) { return !t.exited(); });
      m.update({{"type", machine_status->heartbeat.type},
                {"zone", machine_status->heartbeat.zone},
                {"hears", machine_status->attached_controller.label()},
                {"heardS", seconds(now - machine_status->last_heartbeat)},
                {"tasks", tasks},
                {"freeCpus", free.cpus},
                {"freeRamGb", free.ram_gb},
                {"state", machine_status->heartbeat.preemption_notice ? "notice"
                          : machine_status->cordoned                  ? "closed"
                          : machine_status->drained ? (tasks ? "draining" : "drained")
                                                    : "up"}});
    } else {
      m["state"] = "silent";
    }
    entries.push_back(std::move(m));
  }
  json provisioning = json::array();
  for (const auto& c : registry_.provisioning())
    provisioning.push_back({{"type", c.type},
                            {"zone", c.zone},
                            {"spot", c.spot},
                            {"count", c.count},
                            {"firstInS", std::max(0.0, seconds(c.first - now))}});
  respond(listed("machines", entries,
                 {{"next", it == all.end() || last.empty() ? json() : json(last)},
                  {"registered", all.size()},
                  {"coming", provisioning}}));
}

void OperatorApi::teams(net::Responder respond) {
  const auto& used = capacity_diagnosis_.team_usage(runtime_.now());
  std::vector<json> entries;
  for (const auto& [name, team] : settings_.teams) {
    const auto it = used.find(name);
    entries.push_back({{"name", shortened(name)},
                       {"usedCpus", it == used.end() ? 0 : it->second.cpus},
                       {"guaranteedCpus", team.cpus},
                       {"mostCpus", team.cpus_max},
                       {"usedAccelerators", it == used.end() ? 0 : it->second.accelerators},
                       {"guaranteedAccelerators", team.accelerators},
                       {"mostAccelerators", team.accelerators_max}});
  }
  respond(listed("teams", entries, json::object()));
}

// ---- controllers ----

json OperatorApi::controller_part() const {
  const auto& sums = pending_reasons_.sums();
  json waits = json::object();
  for (const auto cause : diagnostics::kAllPendingReasons) {
    const auto& s = sums[static_cast<std::size_t>(cause)];
    if (s.jobs > 0 || s.task_seconds > 0)
      waits[diagnostics::name_of(cause)] = {
          {"jobs", s.jobs}, {"tasks", s.tasks}, {"waitedS", std::round(s.task_seconds)}};
  }
  return {
      {"label", settings_.label},
      {"zone", settings_.zone},
      {"tag", membership_.self()},
      {"leads", membership_.is_leader()},
      {"entitled", membership_.may_act()},
      {"generation", membership_.epoch().number},
      {"stateAgeS", seconds(runtime_.now() - membership_.last_lease_renewal())},
      {"ownedJobs", job_owner_.jobs().size()},
      {"loopLateMs", std::chrono::duration_cast<std::chrono::milliseconds>(loop_delay_).count()},
      {"waits", waits}};
}

void OperatorApi::controllers(net::Responder respond) {
  query_members("controllers", all_members(), [this, respond](PendingQuery& g) {
    std::vector<json> entries;
    auto add = [&](const std::string& label) {
      const auto controller = membership_.member_with_label(label);
      if (const auto it = g.parts.find(controller); it != g.parts.end())
        return entries.push_back(it->second);
      json entry{{"label", label}, {"silent", true}};
      if (const auto it = last_parts_.find({g.what, label}); it != last_parts_.end()) {
        entry = it->second.part;
        entry["silent"] = true;
        entry["ageS"] = seconds(runtime_.now() - it->second.at);
      }
      entries.push_back(std::move(entry));
    };
    add(settings_.label);
    for (const auto& [label, endpoint] : settings_.peer_endpoints) add(label);
    respond(listed("controllers", entries,
                   {{"parts", part_ages(g)},
                    {"leader", membership_.epoch().leader.label()},
                    {"generation", membership_.epoch().number}}));
  });
}

// ---- drains ----

json OperatorApi::drains_part() const {
  json out = json::object();
  if (!membership_.is_leader()) return out;
  for (const auto& [id, p] : drain_controller_.progress()) {
    json held = json::object();
    for (const auto& [hold, count] : p.blocked_tasks)
      held[drains::name_of(hold)] = {{"tasks", count}, {"example", p.example_tasks.at(hold)}};
    out[id] = {{"machines", p.machines}, {"empty", p.empty}, {"tasks", p.tasks}, {"held", held}};
  }
  return out;
}

void OperatorApi::drains(net::Responder respond) {
  const auto leader = membership_.epoch().leader;
  query_members("drains", {{leader, json()}}, [this, respond, leader](PendingQuery& g) {
    const auto reported = g.parts.find(leader);
    std::vector<json> entries;
    for (const auto& [id, d] : drains_.all()) {
      json entry{{"id", id},
                 {"kind", d.kind == drains::Kind::Zone ? "zone" : "machine"},
                 {"name", d.name},
                 {"note", d.note},
                 {"giveBack", d.terminate_when_empty},
                 {"ageS", std::max(0.0, seconds(runtime_.wall() - d.requested_at))}};
      const json* progress = nullptr;
      if (reported != g.parts.end()) {
        if (const auto it = reported->second.find(id); it != reported->second.end())
          progress = &*it;
      } else if (const auto it = last_parts_.find({g.what, leader.label()});
                 it != last_parts_.end()) {
        if (const auto p = it->second.part.find(id); p != it->second.part.end()) progress = &*p;
      }
      if (progress) {
        entry.update(*progress);
        entry["complete"] = progress->at("tasks") == 0;
      } else {
        entry["complete"] = nullptr;  // the leader has not evaluated it yet, or does not answer
      }
      entries.push_back(std::move(entry));
    }
    respond(listed("drains", entries, {{"parts", part_ages(g)}}));
  });
}

void OperatorApi::put_drain(const std::string& id, const std::string& body,
                            net::Responder respond) {
  const auto given = body.empty() ? json::object() : json::parse(body, nullptr, false);
  if (!given.is_object()) return respond(error(400, "body: must be an object"));
  auto d = *drains::parse_id(id);
  d.requested_at = runtime_.wall();
  if (const auto it = given.find("note"); it != given.end()) {
    if (!it->is_string() || it->get_ref<const std::string&>().size() > drains::kMaxNoteBytes)
      return respond(error(400, "note: must be a text of 200 bytes at the most"));
    d.note = it->get<std::string>();
  }
  if (const auto it = given.find("giveBack"); it != given.end()) {
    if (!it->is_boolean()) return respond(error(400, "giveBack: must be true or false"));
    d.terminate_when_empty = it->get<bool>();
  }
  const bool known = d.kind == drains::Kind::Zone
                         ? std::count(settings_.zones.begin(), settings_.zones.end(), d.name) > 0
                         : registry_.registered(d.name);
  if (!known)
    return respond(error(404, std::string(d.kind == drains::Kind::Zone ? "zone" : "machine") +
                                  ": none of this name"));
  const auto key = cluster::keys::kDrains + id;
  const auto* old = watch_cache_.find(key);
  if (old && drains_.all().contains(id)) {
    const auto& has = drains_.all().at(id);
    if (has.terminate_when_empty == d.terminate_when_empty)
      return respond(ok({{"id", id}, {"drained", true}}));
    d.requested_at = has.requested_at;  // the patience counts from the first request
  }
  if (!old && drains_.all().size() >= drains::kMaxDrains)
    return respond(error(409, "drains: too many at once"));
  if (!membership_.may_act()) return respond(error(503, "not entitled"));
  client_.txn(
      store::Priority::Background,
      membership_.ownership_guards({{key, old ? old->mod_revision : store::kAbsent}}),
      {{key, drains::to_json(d)}}, [respond, id](store::TxnResult r) {
        if (r.status == store::TxnStatus::Ok)
          return respond({201, json{{"id", id}, {"drained", true}}.dump() + "\n", 0, {}});
        respond(error(503, r.status == store::TxnStatus::Conflict ? "changed meanwhile: try again"
                                                                  : "state service"));
      });
}

void OperatorApi::remove_drain(const std::string& id, net::Responder respond) {
  const auto key = cluster::keys::kDrains + id;
  const auto* old = watch_cache_.find(key);
  if (!old) return respond(error(404, "no such drain"));
  if (!membership_.may_act()) return respond(error(503, "not entitled"));
  client_.txn(
      store::Priority::Background, membership_.ownership_guards({{key, old->mod_revision}}),
      {{key, std::nullopt}}, [respond, id](store::TxnResult r) {
        if (r.status == store::TxnStatus::Ok) return respond(ok({{"id", id}, {"drained", false}}));
        respond(error(503, r.status == store::TxnStatus::Conflict ? "changed meanwhile: try again"
                                                                  : "state service"));
      });
}

// ---- history and metrics ----

json OperatorApi::history_part() const {
  // Columns by position: time, ordinary, spot and provisioning machines, then pending tasks by
  // cause.
  json out = json::array();
  for (const auto& s : history_.samples()) {
    json row{wall_ms(s.at), s.ordinary, s.spot, s.provisioning};
    for (const auto n : s.waiting) row.push_back(n);
    out.push_back(std::move(row));
  }
  return out;
}

void OperatorApi::history(net::Responder respond) {
  query_members("history", all_members(), [this, respond](PendingQuery& g) {
    // Samples of all controllers are aligned to the same intervals. Pending tasks are summed;
    // machine counts are cluster-wide, so their maximum is taken.
    const auto step =
        std::chrono::duration_cast<std::chrono::milliseconds>(settings_.operators.history_interval)
            .count();
    std::map<std::int64_t, std::vector<std::uint64_t>> rows;
    for (const auto& [controller, part] : g.parts) {
      std::set<std::int64_t> seen;
      for (const auto& row : part) {
        const auto at = row.at(0).get<std::int64_t>() / std::max<std::int64_t>(1, step) * step;
        if (!seen.insert(at).second) continue;
        auto& sum = rows.try_emplace(at, row.size() - 1, 0).first->second;
        for (std::size_t i = 1; i < row.size() && i <= sum.size(); ++i) {
          const auto n = row.at(i).get<std::uint64_t>();
          sum[i - 1] = i <= 3 ? std::max(sum[i - 1], n) : sum[i - 1] + n;
        }
      }
    }
    json columns{"atMs", "ordinary", "spot", "coming"};
    for (const auto cause : diagnostics::kAllPendingReasons)
      columns.push_back(diagnostics::name_of(cause));
    std::vector<json> entries;
    for (const auto& [at, sum] : rows) {
      json row{at};
      for (const auto n : sum) row.push_back(n);
      entries.push_back(std::move(row));
    }
    respond(listed("samples", entries, {{"columns", columns}, {"parts", part_ages(g)}}));
  });
}

void OperatorApi::metrics(net::Responder respond) {
  if (!metrics_) return respond(error(404, "no metrics"));
  Gauges g;
  g.leads = membership_.is_leader();
  g.may_act = membership_.may_act();
  g.epoch = membership_.epoch().number;
  g.members = membership_.epoch().members.size();
  g.state_age_s = seconds(runtime_.now() - membership_.last_lease_renewal());
  g.machines = registry_.machine_statuses().size();
  g.open_jobs = open_jobs_.size();
  g.owned_jobs = job_owner_.jobs().size();
  g.drains = drains_.all().size();
  g.waits = pending_reasons_.sums();
  g.decode_errors = client_.decode_errors().count();
  g.served = &slo_attainment_;
  respond({200, metrics_->text(g), 0, {}, "text/plain; version=0.0.4"});
}
}  // namespace limemast::operator_api

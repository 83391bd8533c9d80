#include "machines/host.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;
using wire::json;
constexpr auto kPullPatience = 40ms;
constexpr auto kPullTimeout = 1s;
constexpr auto kFlushDelay = 3ms;
constexpr auto kDirectTimeout = 2s;
constexpr auto kDirectPause = 10s;
constexpr auto kNotNow = 1s;
/// Orders between controllers that are older than this are refused: a held link may let them out minutes late.
constexpr auto kOrderAge = 8s;
constexpr auto kRefusedKept = 120s;
constexpr auto kLookAgain = 2s;
constexpr auto kBeatGap = 3500ms;
constexpr auto kRegisterDelay = 100ms;  ///< machines that were hired together come up together: one record holds them
constexpr auto kRegisterRetry = 1s;
constexpr std::size_t kRecordMachines = 64;
/// Direct commands under way at once: a thousand machines behind a cut must not take all sockets for themselves.
constexpr std::size_t kMaxDirect = 128;
}  // namespace

Host::Host(net::Runtime& runtime, const wire::Settings& settings, store::Client& client, cluster::Membership& membership, cluster::Router& router, cluster::JobIndex& jobs, Registry& registry, Seen seen)
    : runtime_(runtime), settings_(settings), client_(client), membership_(membership), router_(router),
      jobs_(jobs), registry_(registry), seen_(std::move(seen)) {
  router_.on("report", [this](const cluster::Tag& from, const json& m) {
    if (auto report = wire::parse_peer_report(m.at("report"))) take_report(*report, from, m.at("hello").get<bool>());
  });
  router_.on("heard", [this](auto& from, auto& m) { on_heard(from, m); });
  router_.on("resend", [this](auto& from, auto& m) { on_resend(from, m); });
  router_.on("probe", [this](auto& from, auto& m) { on_probe(from, m); });
  router_.on("run", [this](auto& from, auto& m) { on_run(from, m); });
  router_.on("none", [this](auto& from, auto& m) { on_none(from, m); });
  router_.on("order", [this](auto& from, auto& m) { on_order(from, m); });
  router_.on("query", [this](auto& from, auto& m) { on_query(from, m); });
  router_.on("fence", [this](auto&, auto& m) {
    const auto machine = m.at("machine").template get<std::string>();
    if (!ours(machine)) return;
    auto& h = hosted(machine);
    h.fence = std::max(h.fence, m.at("mandate").template get<std::uint64_t>());
  });
  router_.on("left", [this](auto&, auto& m) { on_left(m); });
}

Host::Hosted& Host::hosted(const std::string& machine) {
  return hosted_.try_emplace(machine, settings_.tuning.bypass_cap).first->second;
}

bool Host::ours(const std::string& machine) const {
  const auto* view = registry_.find(machine);
  return view && view->host == membership_.self();
}

json Host::stamp_now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(runtime_.wall().time_since_epoch()).count();
}

bool Host::fresh(const json& m) const {
  const auto age = runtime_.wall() - net::WallTime(std::chrono::milliseconds(m.at("at").get<std::int64_t>()));
  return age < kOrderAge + 2 * net::to_duration(settings_.skew);
}

bool Host::usable(const View& view) const { return membership_.entitled() && view.takes_work(); }

void Host::hello(const wire::Report& report, net::Responder respond) {
  const auto generation = membership_.generation().number;
  // Without entitlement we must not answer 200, and a mandate of a generation that we have not read means that we
  // are behind: a 200 that the worker has to drop would let its lease run out here.
  if (!membership_.entitled() || cluster::generation_of(report.mandate) > generation || registry_.gone(report.machine))
    return respond({503, R"({"error":"not entitled"})", 0, {}});
  const auto* view = registry_.find(report.machine);
  if (view && !report.newer_than(view->report)) {
    // Older than what a direct command's answer has shown meanwhile: it renews the lease and carries no orders.
    if (view->host != membership_.self()) return respond({503, R"({"error":"late report"})", 0, {}});
    return respond({200, wire::orders_body(mandate_for(hosted(report.machine), *view), {}).dump(), 0, {}});
  }
  const bool moved = !view || view->host != membership_.self() || !hosted_.contains(report.machine);
  auto& h = hosted(report.machine);
  if (moved) {
    // Orders that another controller sent straight to this machine may still be under way. Raising its mandate
    // voids them; until a report shows it, nothing is cleared here.
    h.clean_from = std::max({h.clean_from, report.mandate + 1, cluster::mandate_base(generation)});
    h.fence = std::max(h.fence, h.clean_from);
    h.moved_here = report.mandate != 0;  // a new machine holds nothing that could be asked for
    spdlog::debug("machine {} now reports here, generation {}", report.machine, generation);
  }
  if (h.respond) h.respond({503, {}, 0, {}});
  h.respond = std::move(respond);
  h.answering_tick = report.tick;
  const auto serial = ++h.answer_serial;
  if (!registry_.registered(report.machine)) register_soon(report.machine);
  h.heard_lately = true;
  // Most reports repeat the one before: the others need no more than to hear that it still holds.
  if (moved || !h.told_hello || !view->report.repeats(report)) tell_others(report, true);
  take_report(report, membership_.self(), true);
  pump(report.machine);
  // The owners' orders are posted; the answer leaves after them, or when the pull under way is answered.
  const auto machine = report.machine;
  auto later = [this, machine, serial] {
    if (auto it = hosted_.find(machine); it != hosted_.end() && it->second.answer_serial == serial) answer(machine);
  };
  runtime_.after(kPullPatience, later);
  runtime_.post([this, later, machine] {
    runtime_.post([this, later, machine] {
      runtime_.post([this, later, machine] {
        auto it = hosted_.find(machine);
        if (it != hosted_.end() && !it->second.pull) later();
      });
    });
  });
}

void Host::tell_others(const wire::Report& report, bool hello) {
  auto& h = hosted(report.machine);
  h.told_tenure = report.tenure;
  h.told_tick = report.tick;
  h.told_hello = hello;
  router_.broadcast("report", {{"report", wire::to_peer(report)}, {"hello", hello}});
}

void Host::tick() {
  registry_.awake(runtime_.now());
  json machines = json::array();
  // Probes that came before the drain did.
  for (const auto& [name, view] : registry_.views()) {
    if (!registry_.draining()) break;
    if (view.drained && view.host == membership_.self())
      if (auto it = hosted_.find(name); it != hosted_.end() && !it->second.probes.empty()) drop_probes(name, it->second);
  }
  for (const auto& name : registry_.long_map().kept_free)
    if (auto it = hosted_.find(name); it != hosted_.end()) drop_probes(name, it->second);
  for (auto& [name, h] : hosted_) {
    if (!std::exchange(h.heard_lately, false) || !ours(name)) continue;
    machines.insert(machines.end(), {json(name), json(h.told_tenure), json(h.told_tick)});
  }
  const auto now = runtime_.now();
  if (membership_.entitled()) router_.broadcast("heard", {{"machines", machines}, {"served", membership_.certain()}});
  std::erase_if(beats_, [&](const auto& b) { return !membership_.member(b.first); });
  // One that has just joined heard nothing before that we could have missed.
  for (const auto& tag : membership_.generation().members)
    if (tag != membership_.self() && now - beats_.try_emplace(tag, Beat{now, false}).first->second.at > kBeatGap) registry_.set_linked_since(now);
}

bool Host::others_served() const {
  return std::any_of(beats_.begin(), beats_.end(), [&](const auto& b) { return b.second.served && runtime_.now() - b.second.at < kBeatGap; });
}

/// Machines that another controller heard of late, and the newest report of each that it sent us. What was lost on a
/// broken link, or came before we had joined, is asked for again.
void Host::on_heard(const cluster::Tag& from, const json& m) {
  beats_[from] = {runtime_.now(), m.at("served").get<bool>()};
  const auto& list = m.at("machines");
  json missing = json::array();
  for (std::size_t i = 0; i + 2 < list.size(); i += 3) {
    const auto& machine = list[i].get_ref<const std::string&>();
    const auto tenure = list[i + 1].get<std::uint64_t>();
    const auto tick = list[i + 2].get<std::uint64_t>();
    const auto* view = registry_.find(machine);
    if (view && std::pair(view->report.tenure, view->report.tick) >= std::pair(tenure, tick)) {
      if (view->host == from) registry_.heard(machine, runtime_.now());
    } else if (!registry_.gone(machine)) {
      missing.push_back(machine);
    }
  }
  if (!missing.empty()) router_.send(from, "resend", {{"machines", missing}});
}

void Host::on_resend(const cluster::Tag& from, const json& m) {
  for (const auto& name : m.at("machines")) {
    const auto& machine = name.get_ref<const std::string&>();
    auto it = hosted_.find(machine);
    if (it == hosted_.end() || !ours(machine)) continue;
    // It is sent to one, yet counts as sent to all: the others hear of it by the next round.
    auto& h = it->second;
    const auto& report = registry_.find(machine)->report;
    h.told_tenure = report.tenure;
    h.told_tick = report.tick;
    router_.send(from, "report", {{"report", wire::to_peer(report)}, {"hello", h.told_hello}});
  }
}

void Host::on_left(const json& m) {
  for (const auto& entry : m.at("jobs")) {
    const auto& uid = entry.at(0).get_ref<const std::string&>();
    const auto left = entry.at(1).get<std::uint32_t>();
    jobs_.set_left(uid, left, entry.at(2).get<std::uint32_t>());
    if (left == 0) {
      remove_probes_of(uid);
    } else if (auto it = probed_.find(uid); it != probed_.end()) {
      for (const auto& machine : it->second) hosted(machine).probes.set_remaining(uid, left);
    }
  }
}

void Host::take_report(const wire::Report& report, const cluster::Tag& host, bool hello) {
  const auto* before = registry_.find(report.machine);
  const bool repeats = before && before->host == host && before->report.repeats(report);
  if (!registry_.update(report, host, runtime_.now())) return;
  const auto machine = report.machine;
  settle(machine, hello);
  if (host != membership_.self()) {
    // Another controller hears this machine now: its probes go, what was not sent yet never will be.
    if (auto it = hosted_.find(machine); it != hosted_.end()) {
      auto& h = it->second;
      drop_probes(machine, h);
      h.outbox.clear();
      std::erase_if(h.deliveries, [&](const Delivery& d) {
        if (d.path != Path::Queued) return false;
        tell_settled(machine, d, false);
        return true;
      });
      if (h.deliveries.empty() && !h.direct_busy && !h.respond) hosted_.erase(it);
    }
  } else {
    auto& h = hosted(machine);
    const auto* view = registry_.find(machine);
    stray_tasks(machine, h, *view);
    if (registry_.closed(machine) || view->drained || view->report.notice) drop_probes(machine, h);
  }
  if (!repeats) runtime_.post([this, machine] { seen_(machine); });
}

void Host::settle(const std::string& machine, bool hello) {
  auto it = hosted_.find(machine);
  const auto* view = registry_.find(machine);
  if (it == hosted_.end() || !view) return;
  const auto& r = view->report;
  std::erase_if(it->second.deliveries, [&](const Delivery& d) {
    if (r.tenure > d.tenure) return tell_settled(machine, d, false), true;
    const bool present = r.find(d.order.uid, d.order.index, d.order.attempt) != nullptr;
    switch (d.path) {
      case Path::Queued:
        return false;
      case Path::Response:
        // One report is in flight at a time and its answer is dropped after 4 s: a later *report* (a direct
        // command's body is none) without the task proves that it can never start.
        if (!hello || r.tick <= d.tick) return false;
        break;
      case Path::Direct:
        if (!(d.answered && present) && r.mandate <= d.mandate) return false;
        break;
    }
    return tell_settled(machine, d, present), true;
  });
}

void Host::tell_settled(const std::string& machine, const Delivery& d, bool present) {
  const auto* view = registry_.find(machine);
  router_.send(d.owner, "settled",
               {{"machine", machine}, {"uid", d.order.uid}, {"index", d.order.index}, {"attempt", d.order.attempt},
                {"present", present}, {"tenure", view ? view->report.tenure : 0}, {"tick", view ? view->report.tick : 0}});
}

void Host::stray_tasks(const std::string& machine, Hosted& h, const View& view) {
  // Jobs that have ended need no owner: whoever hears the machine ends what is left of them, so that a controller
  // cut off from its peers alone still carries out cancellations.
  for (const auto& t : view.report.tasks) {
    const auto* job = jobs_.find(t.uid);
    if (!job) look_into(t.uid);
    if (!job || !job->ended) continue;
    if (!t.exited()) {
      h.outbox.push_back({wire::Verb::Kill, t.uid, t.index, t.attempt, wire::Seconds(0)});
    } else if (view.report.mandate >= h.clean_from &&
               std::none_of(h.deliveries.begin(), h.deliveries.end(), [&](const Delivery& d) {
                 return d.order.uid == t.uid && d.order.index == t.index && d.order.attempt == t.attempt;
               })) {
      h.outbox.push_back({wire::Verb::Clear, t.uid, t.index, t.attempt, wire::Seconds(0)});
    }
  }
  std::erase_if(h.deliveries, [&](const Delivery& d) {
    const auto* job = jobs_.find(d.order.uid);
    if (d.path != Path::Queued || !job || !job->ended) return false;
    tell_settled(machine, d, false);
    return true;
  });
}

void Host::look_into(const std::string& uid) {
  // A job's record is written before its first task starts. If we do not know it, either we lag behind, or it ended
  // before we joined: then no controller that remembers it may be left to end its tasks.
  const auto now = runtime_.now();
  auto [asked, fresh] = looked_into_.try_emplace(uid, now);
  if (!fresh && now - asked->second < kLookAgain) return;
  asked->second = now;
  client_.get(store::Priority::User, cluster::keys::open_job(uid), [this, uid](store::GetResult g) {
    if (g.answered && !g.found) jobs_.ended_before_our_time(uid, runtime_.now());
  });
}

std::uint64_t Host::mandate_for(const Hosted& h, const View& view) const {
  return std::max({cluster::mandate_base(membership_.generation().number), h.fence, view.report.mandate});
}

void Host::answer(const std::string& machine) {
  auto& h = hosted(machine);
  if (!h.respond) return;
  auto respond = std::move(h.respond);
  h.respond = nullptr;
  const auto* view = registry_.find(machine);
  if (!view || !membership_.entitled() || view->host != membership_.self()) return respond({503, {}, 0, {}});
  std::vector<wire::Order> orders;
  // A direct command under way carries the same orders' elder siblings: theirs are not sent twice at once.
  if (registry_.registered(machine) && !h.direct_busy) {
    orders.assign(h.outbox.begin(), h.outbox.end());
    h.outbox.clear();
    for (auto& d : h.deliveries) {
      if (d.path != Path::Queued || d.tenure != view->report.tenure) continue;
      d.path = Path::Response;
      d.tick = h.answering_tick;
      orders.push_back(d.order);
    }
  }
  h.answered = runtime_.now();
  respond({200, wire::orders_body(mandate_for(h, *view), orders).dump(), 0, {}});
  // It has come from a controller that was lost, or out of a cut. A worker tells of a higher mandate by itself only once
  // in half a lease: asked for it now, what it holds is known a report's interval sooner.
  if (std::exchange(h.moved_here, false) && cluster::generation_of(view->report.mandate) < membership_.generation().number) {
    h.announce = true;
    flush_soon(machine);
  }
}

void Host::register_soon(const std::string& machine) {
  to_register_.insert(machine);
  if (std::exchange(register_armed_, true)) return;
  runtime_.after(kRegisterDelay, [this] {
    register_armed_ = false;
    register_machines();
  });
}

void Host::register_machines() {
  if (registering_ || !membership_.entitled()) return;
  // Before its first command a machine is written down, in this generation: a later leader that reads the records
  // misses none that may run something. One record takes many, as the state service counts changes.
  json names = json::object();
  while (!to_register_.empty() && names.size() < kRecordMachines) {
    auto name = to_register_.extract(to_register_.begin()).value();
    if (!registry_.registered(name) && ours(name) && !registry_.gone(name)) names[name] = registry_.find(name)->report.spot;
  }
  if (names.empty()) return;
  registering_ = true;
  const auto key = cluster::keys::machines(membership_.self() + "-" + std::to_string(next_record_++));
  auto when = membership_.fences();
  when.push_back({key, 0});
  client_.txn(store::Priority::User, when, {{key, names}}, [this](store::TxnResult) {
    // The mirror shows whether it worked; a machine that is still not written down is tried again by its next report.
    runtime_.after(kRegisterRetry, [this] { registering_ = false; });
  });
}

Room Host::room(const std::string& machine, const Hosted& h) const {
  const auto* view = registry_.find(machine);
  if (!view) return {};
  Room room = registry_.reported_room(*view);
  for (const auto& d : h.deliveries) {
    const auto* t = view->report.find(d.order.uid, d.order.index, d.order.attempt);
    if (!t) room -= d.need;
  }
  if (h.pull) room -= h.pull->need;
  return room;
}

void Host::pump(const std::string& machine) {
  const auto* view = registry_.find(machine);
  auto it = hosted_.find(machine);
  if (!view || it == hosted_.end() || view->host != membership_.self() || !usable(*view)) return;
  auto& h = it->second;
  const auto now = runtime_.now();
  if (h.pull && now - h.pull->since > kPullTimeout) h.pull.reset();
  if (h.pull || h.probes.empty()) return;
  const auto free = room(machine, h);
  const auto* probe = h.probes.choose(now, [&](const sched::Probe& p) { return free.fits({p.cpus, p.ram_gb, p.accelerators}); });
  if (!probe) return;
  h.pull = Pull{probe->uid, now, {probe->cpus, probe->ram_gb, probe->accelerators}};
  router_.send(probe->owner, "pull", {{"uid", probe->uid}, {"machine", machine}, {"tenure", view->report.tenure}, {"at", stamp_now()}});
}

void Host::on_probe(const cluster::Tag& from, const json& m) {
  const auto uid = m.at("uid").get<std::string>();
  const auto stage = m.at("stage").get<int>();
  sched::Probe probe;
  probe.uid = uid;
  probe.owner = from;
  probe.estimate = wire::Seconds(m.at("estimate").get<double>());
  probe.remaining = m.at("left").get<std::uint32_t>();
  probe.cpus = m.at("cpus").get<double>();
  probe.ram_gb = m.at("ram").get<double>();
  probe.accelerators = m.at("acc").get<double>();
  json behind_long = json::array();
  json otherwise = json::array();
  for (const auto& name : m.at("machines")) {
    const auto& machine = name.get_ref<const std::string&>();
    const auto* view = registry_.find(machine);
    if (!view || view->host != membership_.self() || !usable(*view)) {
      otherwise.push_back(machine);
      continue;
    }
    auto& h = hosted(machine);
    const bool long_coming = std::any_of(h.deliveries.begin(), h.deliveries.end(), [&](const Delivery& d) {
      const auto* job = jobs_.find(d.order.uid);
      return job && job->is_long;
    });
    if (stage < kLastResort && (long_coming || registry_.holds_long(*view) || registry_.long_map().kept_free.contains(machine)))
      behind_long.push_back(machine);
    else if (!add_probe(machine, probe))
      otherwise.push_back(machine);
    else
      pump(machine);
  }
  if (behind_long.empty() && otherwise.empty()) return;
  const auto& map = registry_.long_map();
  json answer{{"uid", uid}, {"stage", stage}, {"long", behind_long}, {"other", otherwise}};
  // The map goes along where the owner's is older: at a thousand machines it outweighs all else that is said.
  const LongMap theirs{m.at("map").at(0).get<std::uint64_t>(), m.at("map").at(1).get<std::uint64_t>(), {}, {}, {}};
  if (!behind_long.empty() && map.fresher_than(theirs)) {
    answer["map"] = {map.generation, map.serial};
    answer["with_long"] = map.with_long;
    answer["short_part"] = map.short_part;
    answer["kept_free"] = map.kept_free;
  }
  router_.send(from, "rejected", std::move(answer));
}

bool Host::add_probe(const std::string& machine, sched::Probe probe) {
  auto uid = probe.uid;
  if (!hosted(machine).probes.add(std::move(probe))) return false;
  probed_[std::move(uid)].insert(machine);
  return true;
}

void Host::remove_probe(const std::string& machine, const std::string& uid) {
  if (auto it = hosted_.find(machine); it != hosted_.end()) {
    it->second.probes.remove(uid);
    if (it->second.pull && it->second.pull->uid == uid) it->second.pull.reset();
  }
  if (auto it = probed_.find(uid); it != probed_.end()) {
    it->second.erase(machine);
    if (it->second.empty()) probed_.erase(it);
  }
}

void Host::remove_probes_of(const std::string& uid) {
  auto it = probed_.find(uid);
  if (it == probed_.end()) return;
  const auto machines = it->second;
  for (const auto& machine : machines) remove_probe(machine, uid);
}

void Host::drop_probes(const std::string& machine, Hosted& h) {
  std::map<cluster::Tag, json> dropped;
  std::vector<std::string> uids;
  for (const auto& p : h.probes.all()) {
    dropped.try_emplace(p.owner, json::array()).first->second.push_back(p.uid);
    uids.push_back(p.uid);
  }
  for (auto& [owner, jobs] : dropped) router_.send(owner, "dropped", {{"jobs", std::move(jobs)}, {"machine", machine}});
  for (const auto& uid : uids) remove_probe(machine, uid);
  h.pull.reset();
}

/// A task to be started: the answer to a pull, or the leader's placement of a long one.
void Host::on_run(const cluster::Tag& from, const json& m) {
  const auto machine = m.at("machine").get<std::string>();
  Delivery d;
  d.order = {wire::Verb::Run, m.at("uid").get<std::string>(), m.at("index").get<std::uint32_t>(),
             m.at("attempt").get<std::uint64_t>(), wire::Seconds(0)};
  d.owner = from;
  d.tenure = m.at("tenure").get<std::uint64_t>();
  d.need = {m.at("cpus").get<double>(), m.at("ram").get<double>(), m.at("acc").get<double>()};
  const bool pulled = m.at("pulled").get<bool>();
  const auto* view = registry_.find(machine);
  auto it = hosted_.find(machine);
  if (pulled && it != hosted_.end()) {
    auto& h = it->second;
    const auto free = room(machine, h);
    if (h.pull && h.pull->uid == d.order.uid) h.pull.reset();
    if (const auto* p = h.probes.find(d.order.uid)) {
      h.probes.took(d.order.uid, runtime_.now(), [&](const sched::Probe& q) { return free.fits({q.cpus, q.ram_gb, q.accelerators}); });
      h.probes.set_remaining(d.order.uid, p->remaining > 0 ? p->remaining - 1 : 0);
    }
  }
  std::vector<wire::Order> evictions;
  Room extra;
  for (const auto& entry : m.at("evict")) {
    const auto order = wire::parse_order(entry);
    const auto* victim = order ? jobs_.find(order->uid) : nullptr;
    const auto* t = victim && view ? view->report.find(order->uid, order->index, order->attempt) : nullptr;
    if (!t || t->exited()) continue;
    evictions.push_back(*order);
    extra += Room::of(victim->spec);
  }
  auto has_room = [&](const Hosted& h) {
    Room free = room(machine, h);
    free += extra;
    return free.fits(d.need);
  };
  const auto* job = jobs_.find(d.order.uid);
  const bool good = it != hosted_.end() && view && view->host == membership_.self() && usable(*view) &&
                    view->report.tenure == d.tenure && !(job && job->ended) && fresh(m) &&
                    !refused_.contains({d.order.uid, d.order.index, d.order.attempt}) && has_room(it->second);
  if (!good) {
    refused_[{d.order.uid, d.order.index, d.order.attempt}] = runtime_.now();
    tell_settled(machine, d, false);
    return;
  }
  auto& h = it->second;
  // Orders are executed in turn, kills before runs: the room is there when the run is reached.
  h.outbox.insert(h.outbox.end(), evictions.begin(), evictions.end());
  h.deliveries.push_back(std::move(d));
  pump(machine);
  if (h.respond && !h.pull)
    answer(machine);
  else
    flush_soon(machine);
}

void Host::on_none(const cluster::Tag&, const json& m) {
  const auto machine = m.at("machine").get<std::string>();
  const auto uid = m.at("uid").get<std::string>();
  auto it = hosted_.find(machine);
  if (it == hosted_.end()) return;
  auto& h = it->second;
  if (h.pull && h.pull->uid == uid) h.pull.reset();
  if (m.at("over").get<bool>())
    remove_probe(machine, uid);
  else
    h.probes.postpone(uid, runtime_.now() + kNotNow);
  pump(machine);
  if (!h.pull && h.respond) answer(machine);
}

void Host::on_order(const cluster::Tag& from, const json& m) {
  const auto machine = m.at("machine").get<std::string>();
  if (!ours(machine) || !fresh(m)) return;
  auto order = wire::parse_order(m.at("order"));
  if (!order || order->verb == wire::Verb::Run) return;
  auto& h = hosted(machine);
  const auto* view = registry_.find(machine);
  const auto same = [&](const wire::Order& o) { return o.uid == order->uid && o.index == order->index && o.attempt == order->attempt; };
  if (order->verb == wire::Verb::Clear) {
    // After a clear, a late `run` of the same attempt would start it again: none may be under way.
    if (view->report.mandate < h.clean_from ||
        std::any_of(h.deliveries.begin(), h.deliveries.end(), [&](const Delivery& d) { return same(d.order); }))
      return;
  } else {
    std::erase_if(h.deliveries, [&](const Delivery& d) {
      if (d.path != Path::Queued || d.owner != from || !same(d.order)) return false;
      tell_settled(machine, d, false);
      return true;
    });
  }
  if (std::any_of(h.outbox.begin(), h.outbox.end(), [&](const wire::Order& o) { return same(o) && o.verb == order->verb; })) return;
  h.outbox.push_back(*order);
  if (order->verb == wire::Verb::Kill) flush_soon(machine);
}

void Host::on_query(const cluster::Tag& from, const json& m) {
  const auto machine = m.at("machine").get<std::string>();
  Delivery d;
  d.order = {wire::Verb::Run, m.at("uid").get<std::string>(), m.at("index").get<std::uint32_t>(),
             m.at("attempt").get<std::uint64_t>(), wire::Seconds(0)};
  d.owner = from;
  if (auto it = hosted_.find(machine); it != hosted_.end()) {
    const bool pending = std::any_of(it->second.deliveries.begin(), it->second.deliveries.end(), [&](const Delivery& x) {
      return x.order.uid == d.order.uid && x.order.index == d.order.index && x.order.attempt == d.order.attempt;
    });
    if (pending) return;
  }
  const auto* view = registry_.find(machine);
  const bool present = view && view->report.tenure == m.at("tenure").get<std::uint64_t>() &&
                       view->report.find(d.order.uid, d.order.index, d.order.attempt);
  // The order may still be on its way to us: once we have said that it never came, it must not be carried out.
  if (!present) refused_[{d.order.uid, d.order.index, d.order.attempt}] = runtime_.now();
  tell_settled(machine, d, present);
}

void Host::flush_soon(const std::string& machine) {
  auto found = hosted_.find(machine);
  if (found == hosted_.end()) return;
  auto& h = found->second;
  if (h.flush_armed || h.respond) return;  // a report that waits for its answer takes it along
  h.flush_armed = true;
  runtime_.after(kFlushDelay, [this, machine] {
    if (auto it = hosted_.find(machine); it != hosted_.end()) {
      it->second.flush_armed = false;
      flush_direct(machine);
    }
  });
}

void Host::flush_direct(const std::string& machine) {
  auto& h = hosted(machine);
  const auto* view = registry_.find(machine);
  const auto now = runtime_.now();
  // Only to a machine that was heard just now: one that hangs would carry the order out whenever it goes on.
  const auto recent = net::to_duration(settings_.report * 1.25) + 1s;
  if (!view || view->host != membership_.self() || !membership_.entitled() || !registry_.registered(machine) || h.direct_busy || h.respond ||
      now < h.direct_bad_until || now - view->heard > recent)
    return;
  if (direct_calls_ >= kMaxDirect) return void(direct_waiting_.insert(machine));
  std::vector<wire::Order> orders(h.outbox.begin(), h.outbox.end());
  const auto mandate = mandate_for(h, *view);
  for (auto& d : h.deliveries) {
    if (d.path != Path::Queued || d.tenure != view->report.tenure) continue;
    d.path = Path::Direct;
    d.mandate = mandate;
    d.answered = false;
    orders.push_back(d.order);
  }
  const bool announce = std::exchange(h.announce, false) && view->report.mandate < cluster::mandate_base(membership_.generation().number);
  if (orders.empty() && !announce) return;
  h.outbox.clear();
  h.direct_busy = true;
  ++direct_calls_;
  auto body = wire::orders_body(mandate, orders);
  body["tenure"] = view->report.tenure;
  runtime_.http(view->report.address, {"POST", "/orders", body.dump()}, kDirectTimeout,
                [this, machine, mandate, orders](net::HttpResult r) { on_direct(machine, mandate, orders, std::move(r)); });
}

void Host::on_direct(const std::string& machine, std::uint64_t mandate, const std::vector<wire::Order>& sent, net::HttpResult result) {
  --direct_calls_;
  if (!direct_waiting_.empty()) flush_soon(direct_waiting_.extract(direct_waiting_.begin()).value());
  auto it = hosted_.find(machine);
  if (it == hosted_.end()) return;
  auto& h = it->second;
  h.direct_busy = false;
  auto is_sent = [&](const Delivery& d) {
    return d.path == Path::Direct && d.mandate == mandate &&
           std::any_of(sent.begin(), sent.end(), [&](const wire::Order& o) {
             return o.uid == d.order.uid && o.index == d.order.index && o.attempt == d.order.attempt;
           });
  };
  const auto body = wire::json::parse(result.body, nullptr, false);
  const auto report = body.is_object() ? wire::parse_report(body) : std::nullopt;
  if (result.status == 200) {
    for (auto& d : h.deliveries)
      if (is_sent(d)) d.answered = true;
  } else if (result.status == 409 || (result.status == 0 && !result.maybe_sent) || result.status == 400) {
    // Not executed, and never will be.
    std::erase_if(h.deliveries, [&](const Delivery& d) {
      if (!is_sent(d)) return false;
      tell_settled(machine, d, false);
      return true;
    });
    h.direct_bad_until = runtime_.now() + kDirectPause;
  } else {
    // It may yet be executed, minutes from now: only a higher mandate on the machine rules that out.
    h.direct_bad_until = runtime_.now() + kDirectPause;
    if (std::any_of(h.deliveries.begin(), h.deliveries.end(), is_sent)) {
      h.fence = std::max(h.fence, mandate + 1);
      router_.broadcast("fence", {{"machine", machine}, {"mandate", mandate + 1}});
      spdlog::info("machine {} did not answer a direct order, generation {}: raising its mandate", machine,
                   membership_.generation().number);
    }
  }
  if (report && report->machine == machine && !registry_.gone(machine)) {
    // The view stays with whoever hears the machine's reports; this body only shows what is on it.
    const auto* view = registry_.find(machine);
    if (view && view->host == membership_.self()) {
      if (!view->report.repeats(*report)) tell_others(*report, false);
      take_report(*report, membership_.self(), false);
    }
  }
  if (ours(machine)) {
    pump(machine);
    if (!h.outbox.empty() || h.announce) flush_soon(machine);
  }
}

void Host::on_generation(bool lost) {
  for (auto& [machine, h] : hosted_) {
    // What was taken over waits until every machine has shown the new mandate. Their reports would bring it within a
    // report's interval and a quarter; the answer to a command, though it orders nothing, brings it at once.
    if (lost) {
      h.announce = true;
      flush_soon(machine);
    }
    // Runs that a lost owner asked for and that have not left us are dropped: its jobs' new owner knows nothing of
    // them and counts on every mandate of the new generation to prove what is where.
    std::erase_if(h.deliveries, [&](const Delivery& d) { return d.path == Path::Queued && !membership_.member(d.owner); });
    for (const auto& p : std::list<sched::Probe>(h.probes.all()))
      if (!membership_.member(p.owner)) remove_probe(machine, p.uid);
  }
  if (lost) claim_orphans();
  const auto limit = runtime_.now() - kRefusedKept;
  looked_into_.clear();
  std::erase_if(refused_, [&](const auto& r) { return r.second < limit; });
}

void Host::on_machine_removed(const std::string& machine) {
  auto it = hosted_.find(machine);
  if (it == hosted_.end()) return;
  drop_probes(machine, it->second);
  if (it->second.respond) it->second.respond({503, {}, 0, {}});
  hosted_.erase(it);
}

void Host::on_job_ended(const std::string& uid) {
  remove_probes_of(uid);
  for (auto& [machine, h] : hosted_) {
    const auto* view = registry_.find(machine);
    if (!view || view->host != membership_.self()) continue;
    const auto before = h.outbox.size();
    for (const auto& t : view->report.tasks)
      if (t.uid == uid && !t.exited()) h.outbox.push_back({wire::Verb::Kill, t.uid, t.index, t.attempt, wire::Seconds(0)});
    if (h.outbox.size() != before) flush_soon(machine);
  }
}
}  // namespace limemast::machines

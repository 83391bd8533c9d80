#include "jobs/placer.hpp"

#include <algorithm>

namespace limemast::jobs {
namespace {
using wire::json;
constexpr wire::Seconds kIndifference{5};
}  // namespace

Placer::Placer(net::Runtime& runtime, const wire::Settings& settings, cluster::Membership& membership, cluster::Router& router,
               cluster::JobIndex& index, machines::Registry& registry, Book& book)
    : runtime_(runtime), settings_(settings), membership_(membership), router_(router), index_(index), registry_(registry), book_(book) {
  router_.on("map", [this](const Tag&, const json& m) {
    machines::LongMap map;
    map.generation = m.at("generation").get<std::uint64_t>();
    map.serial = m.at("serial").get<std::uint64_t>();
    if (!map.fresher_than(registry_.long_map())) return;
    map.with_long = m.at("with_long").get<std::set<std::string>>();
    map.short_part = m.at("short_part").get<std::set<std::string>>();
    registry_.long_map() = std::move(map);
    registry_.set_closed(m.at("closed").get<std::set<std::string>>());
  });
}

std::map<std::string, Placer::Slot> Placer::slots() const {
  std::map<std::string, Slot> out;
  const auto now = runtime_.now();
  const auto silent = net::to_duration(settings_.report * 2.5);
  for (const auto& [name, view] : registry_.views()) {
    if (!registry_.registered(name) || registry_.closed(name) || view.report.notice || now - view.heard > silent ||
        book_.refused_lately(name) || !membership_.member(view.host))
      continue;
    out.emplace(name, Slot{&view, registry_.reported_room(view)});
  }
  for (const auto& [uid, job] : book_.jobs()) {
    for (const auto& [index, b] : job->bound) {
      auto it = out.find(b.machine);
      if (it == out.end() || it->second.view->report.find(uid, index, b.attempt)) continue;
      it->second.free -= machines::Room::of(job->open.spec);
    }
  }
  return out;
}

void Placer::run() {
  if (!membership_.leads()) return;
  std::vector<const Job*> waiting;
  for (const auto& [uid, job] : book_.jobs())
    if (job->open.is_long && job->alive() && job->todo() > 0 && book_.may_hand_out(*job)) waiting.push_back(job.get());
  if (waiting.empty()) return;
  const auto now = runtime_.wall();
  std::map<const Job*, Order> order;
  for (const auto* job : waiting) order.emplace(job, order_of(*job, now));
  std::sort(waiting.begin(), waiting.end(), [&](const Job* a, const Job* b) { return order.at(a) < order.at(b); });
  auto free = slots();
  for (const auto* job : waiting) {
    if (job->open.spec.gang) {
      place_gang(*job, free);
      continue;
    }
    while (job->todo() > 0 && place_one(*job, free)) {
    }
    while (job->todo() > 0 && job->open.spec.rank >= wire::Rank::Urgent && evict_for(*job, free)) {
    }
  }
}

Placer::Order Placer::order_of(const Job& job, net::WallTime now) const {
  const auto& s = job.open.spec;
  // When the job should be complete: its own deadline, or the nearest of its class's aims that it can still meet.
  std::optional<net::WallTime> target;
  bool missed = false;
  auto consider = [&](wire::Seconds within) {
    const auto at = job.open.submitted + net::to_duration(within);
    if (now + net::to_duration(s.estimate) > at)
      missed = true;
    else if (!target || at < *target)
      target = at;
  };
  if (s.due) consider(*s.due);
  for (const auto& o : settings_.objectives)
    if (!s.due && o.kind == "finished" && o.workload == s.workload) consider(o.within);
  // What cannot be in time any more lets those pass that can; in a backlog everybody would be late otherwise.
  const int rank = static_cast<int>(s.rank);
  return {s.rank >= wire::Rank::Urgent ? -rank : 0, missed && !target, target.value_or(net::WallTime::max()), -rank, job.open.submitted, s.uid};
}

void Placer::place_gang(const Job& job, std::map<std::string, Slot>& slots) {
  // All of them or none: a gang that holds machines while it waits for its last task wastes them. One zone is tried
  // after the other if the gang must stay in one.
  if (!book_.may_use_for_all(job)) return;
  const auto& s = job.open.spec;
  const auto zones = s.one_zone ? settings_.zones : std::vector<std::string>{""};
  for (const auto& zone : zones) {
    std::map<std::string, Slot> part;
    std::uint64_t fit = 0;
    std::map<std::string, std::uint64_t> by_zone;
    for (const auto& [name, slot] : slots) {
      const auto& r = slot.view->report;
      if ((!zone.empty() && r.zone != zone) || short_part().contains(name) || !book_.may_place(job, *slot.view, false)) continue;
      part.emplace(name, slot);
      for (auto free = slot.free; free.fits(machines::Room::of(s)) && by_zone[r.zone] < s.zone_cap(); free -= machines::Room::of(s)) {
        ++fit;
        ++by_zone[r.zone];
      }
    }
    if (fit < job.todo()) continue;
    while (job.todo() > 0 && place_one(job, part)) {
    }
    for (const auto& [name, slot] : part) slots.at(name) = slot;
    return;
  }
}

bool Placer::place_one(const Job& job, std::map<std::string, Slot>& slots) {
  const auto& s = job.open.spec;
  const auto need = machines::Room::of(s);
  std::vector<sched::Candidate> candidates;
  for (const auto& [name, slot] : slots) {
    if (!slot.free.fits(need)) continue;
    const auto& r = slot.view->report;
    const auto* type = registry_.type(r.type);
    if (!type || !book_.may_place(job, *slot.view, false)) continue;
    sched::Candidate c;
    c.machine = name;
    c.zone = r.zone;
    c.spot = r.spot;
    c.short_part = short_part().contains(name);
    if (!registry_.has_image(name, s.image) && type->fetch_gb_per_s > 0) c.delay = wire::Seconds(s.image_gb / type->fetch_gb_per_s);
    c.price = (r.spot ? type->spot_price : type->price) / type->cpus;
    c.fill_after = 1 - (slot.free.cpus - need.cpus) / type->cpus;
    candidates.push_back(std::move(c));
  }
  const auto best = sched::choose(candidates, kIndifference);
  if (!best || !book_.place(s.uid, candidates[*best].machine)) return false;
  slots[candidates[*best].machine].free -= need;
  return true;
}

bool Placer::evict_for(const Job& job, std::map<std::string, Slot>& slots) {
  // Work of lower rank gives way. The machine that needs the fewest tasks ended is taken.
  const auto& s = job.open.spec;
  const auto need = machines::Room::of(s);
  std::string best;
  std::vector<wire::TaskReport> best_victims;
  for (const auto& [name, slot] : slots) {
    if (!book_.may_place(job, *slot.view, false) || short_part().contains(name)) continue;
    std::vector<std::pair<wire::Rank, const wire::TaskReport*>> lower;
    for (const auto& t : slot.view->report.tasks) {
      const auto* other = index_.find(t.uid);
      if (!t.exited() && other && !other->ended && other->spec.rank < s.rank) lower.emplace_back(other->spec.rank, &t);
    }
    std::stable_sort(lower.begin(), lower.end(), [](auto& a, auto& b) { return a.first < b.first; });
    auto free = slot.free;
    std::vector<wire::TaskReport> victims;
    for (const auto& [rank, t] : lower) {
      if (free.fits(need)) break;
      free += machines::Room::of(index_.find(t->uid)->spec);
      victims.push_back(*t);
    }
    if (!free.fits(need) || victims.empty()) continue;
    if (best.empty() || victims.size() < best_victims.size()) {
      best = name;
      best_victims = std::move(victims);
    }
  }
  if (best.empty() || !book_.place(s.uid, best, best_victims)) return false;
  slots.erase(best);  // what is left there shows with its next report
  return true;
}

void Placer::send_map() {
  if (!membership_.leads()) return;
  std::vector<sched::PartCandidate> machines;
  machines::LongMap map;
  map.generation = membership_.generation().number;
  map.serial = ++serial_;
  std::set<std::string> bound_long;
  for (const auto& [uid, job] : book_.jobs())
    if (job->open.is_long)
      for (const auto& [index, b] : job->bound) bound_long.insert(b.machine);
  const auto part = short_part();
  for (const auto& [name, view] : registry_.views()) {
    if (!registry_.registered(name)) continue;
    const bool has_long = bound_long.contains(name) || registry_.holds_long(view);
    if (has_long) map.with_long.insert(name);
    if (!registry_.closed(name)) machines.push_back({name, has_long, part.contains(name), view.report.spot});
  }
  const auto chosen = sched::choose_short_part(std::move(machines), settings_.tuning.short_share);
  map.short_part = {chosen.begin(), chosen.end()};
  const json message{{"generation", map.generation}, {"serial", map.serial}, {"with_long", map.with_long},
                     {"short_part", map.short_part}, {"closed", registry_.all_closed()}};
  registry_.long_map() = std::move(map);
  router_.broadcast("map", message);
}
}  // namespace limemast::jobs

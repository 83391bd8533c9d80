#include "jobs/book.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
using wire::json;
constexpr auto kAskAfter = 3s;
constexpr auto kCommitRetry = 300ms;
constexpr auto kRefusedPause = 500ms;
constexpr auto kRefusedSame = 5s;
constexpr auto kFailedOn = 30s;
constexpr double kNoticeTrust = 0.8;  ///< a machine may be taken before its notice says
constexpr auto kFailurePause = 250ms;
constexpr unsigned kMaxDoublings = 7;
constexpr unsigned kFailsEverywhere = 3;  ///< machines
constexpr auto kTrial = 3s;
constexpr unsigned kAttemptBits = 24;
/// How much is left of each job is said again though nothing changed: it may have been lost on a link.
constexpr auto kTellAgain = 5s;
constexpr auto kLimitSeen = 2s;  ///< a pull that the budget refused comes again after one
}  // namespace

const char* name_of(Phase phase) {
  switch (phase) {
    case Phase::Pending: return "pending";
    case Phase::Running: return "running";
    case Phase::Done: return "done";
    case Phase::Cancelled: return "cancelled";
  }
  return "";
}

std::optional<Phase> final_phase(const json& record) {
  const auto phase = cluster::text_in(record, "phase");
  if (phase == name_of(Phase::Done)) return Phase::Done;
  return phase == name_of(Phase::Cancelled) ? std::optional(Phase::Cancelled) : std::nullopt;
}

Book::Book(net::Runtime& runtime, const wire::Settings& settings, store::Client& client, cluster::Membership& membership,
           cluster::Router& router, cluster::JobIndex& index, machines::Registry& registry, insight::Ledger& ledger, insight::Terrain& terrain, Ends& ends)
    : runtime_(runtime), settings_(settings), client_(client), membership_(membership), router_(router), index_(index),
      registry_(registry), ledger_(ledger), terrain_(terrain), ends_(ends), budgets_(runtime, settings, membership, router), progress_(runtime, settings, client, membership),
      prober_(runtime, settings, membership, router, registry) {
  router_.on("pull", [this](auto& from, auto& m) { on_pull(from, m); });
  router_.on("settled", [this](auto& from, auto& m) { on_settled(from, m); });
  router_.on("rejected", [this](auto&, auto& m) { prober_.on_rejected(find(m.at("uid").template get<std::string>()), m); });
  router_.on("dropped", [this](auto&, auto& m) {
    for (const auto& uid : m.at("jobs"))
      if (auto* job = find(uid.template get<std::string>()))
        if (const auto* view = registry_.find(m.at("machine").template get_ref<const std::string&>())) {
          job->probes.erase(view->number);
          job->drawn_from = 0;
        }
  });
}

Job* Book::find(const std::string& uid) {
  auto it = jobs_.find(uid);
  return it == jobs_.end() ? nullptr : it->second.get();
}

json Book::wall_ms() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(runtime_.wall().time_since_epoch()).count();
}

void Book::take_up(const std::vector<std::string>& uids) {
  if (membership_.self().empty()) return;
  const auto& generation = membership_.generation();
  if (!membership_.member(membership_.self())) return;
  bool inherited = false;
  bool gated = false;
  for (const auto& uid : uids) {
    const auto* known = index_.find(uid);
    if (!known || !known->wanted() || jobs_.contains(uid) || index_.owner_of(uid) != membership_.self()) continue;
    const auto& open = *known;
    auto job = std::make_unique<Job>();
    job->open = open;
    job->done.resize(open.spec.tasks);
    job->recorded = TaskSet(open.spec.tasks);
    const bool ours_from_birth = open.is_long ? open.generation >= membership_.leading_since()
                                              : open.accepted_by == membership_.self();
    if (!ours_from_birth) {
      // Some run that is lost may have handed tasks out: wait until every machine has shown what it holds.
      job->gate = generation.number;
      gated = true;
      job->progress_known = open.spec.service;
      inherited = inherited || !job->progress_known;
      job->dirty = true;
    }
    auto& entry = *job;
    jobs_.emplace(uid, std::move(job));
    arrivals_ += open.is_long;
    if (!open.is_long && membership_.entitled() && entry.gate == 0) prober_.top_up(entry);
  }
  if (inherited) load_progress();
  // A machine may have shown the new generation before we read of it: what it holds must be taken over all the same.
  if (gated)
    for (const auto& [name, view] : registry_.views()) on_view(name);
}

bool Book::all_known_since(std::uint64_t generation, bool ordinary) const {
  if (!least_read_) {
    constexpr auto kNone = std::numeric_limits<std::uint64_t>::max();
    least_read_ = LeastRead{kNone, kNone};
    for (const auto& [name, known] : registry_.all_registered()) {
      auto it = read_.find(name);
      const auto shown = it == read_.end() ? 0 : it->second;
      // Before it was written down nobody commanded it: what came up since a takeover holds nothing from before.
      const auto mandate = std::max(shown, cluster::mandate_base(known.generation));
      least_read_->all = std::min(least_read_->all, mandate);
      if (!known.spot) least_read_->ordinary = std::min(least_read_->ordinary, mandate);
    }
  }
  return (ordinary ? least_read_->ordinary : least_read_->all) >= cluster::mandate_base(generation);
}

bool Book::gate_open(const Job& job) const {
  // A job that may not use spot machines has never had a task on one: those that a wave took away, and whose silence
  // proves nothing yet, must not hold up services after a change of leader.
  return job.gate == 0 || all_known_since(job.gate, !job.open.spec.spot);
}

bool Book::holds(const std::string& machine) const {
  auto it = on_machine_.find(machine);
  return it != on_machine_.end() && !it->second.tasks.empty();
}

bool Book::has_long(const std::string& machine) const {
  auto it = on_machine_.find(machine);
  return it != on_machine_.end() && it->second.long_tasks > 0;
}

machines::Room Book::on_the_way(const std::string& machine) const {
  machines::Room out;
  auto it = on_machine_.find(machine);
  if (it == on_machine_.end()) return out;
  if (it->second.on_the_way) return *it->second.on_the_way;
  const auto* view = registry_.find(machine);
  if (!view) return out;
  for (const auto& [uid, index] : it->second.tasks) {
    const auto& job = *jobs_.at(uid);
    if (!view->report.find(uid, index, job.bound.at(index).attempt)) out += machines::Room::of(job.open.spec);
  }
  it->second.on_the_way = out;
  return out;
}

void Book::load_progress() {
  if (loading_) return;
  loading_ = true;
  const auto generation = membership_.generation().number;
  progress_.read([this, generation](std::vector<ProgressPiece> pieces) {
    loading_ = false;
    std::set<std::string> touched;
    for (const auto& p : pieces) {
      auto* job = find(p.uid);
      if (job && job->gate != 0 && job->recorded.merge_hex(p.piece, p.hex)) touched.insert(p.uid);
    }
    bool again = false;
    for (auto& [uid, job] : jobs_) {
      if (job->progress_known) continue;
      if (job->gate > generation) {  // inherited while we were reading
        again = true;
        continue;
      }
      job->progress_known = true;
      if (touched.contains(uid))
        for (std::uint32_t i = 0; i < job->open.spec.tasks; ++i)
          if (job->recorded.test(i)) mark_done(*job, i);
    }
    if (again) load_progress();
  });
}

void Book::on_generation() {
  budgets_.on_generation();
  const auto base = cluster::mandate_base(membership_.generation().number);
  for (auto& [uid, job] : jobs_)
    for (auto& [index, b] : job->bound)
      if (!b.settled && b.void_from == 0 && !membership_.member(b.deliverer)) {
        b.void_from = base;
        // Its machine may have shown the new generation to another controller before we read of it.
        again_.insert(b.machine);
      }
  // Owners have changed: whichever of all jobs are ours now.
  std::vector<std::string> all;
  for (const auto& [uid, open] : index_.all()) all.push_back(uid);
  take_up(all);
  // Probes at machines that nobody of this generation hears are lost; a member that has joined knows of no job how much is left.
  names::NumberSet unheard;
  for (const auto& [name, view] : registry_.views())
    if (!membership_.member(view.host)) unheard.insert(view.number);
  for (auto& [uid, job] : jobs_) {
    job->told.reset();
    job->probes.subtract(unheard);
    job->drawn_from = 0;
  }
}

// ---- what machines show ----

void Book::on_view(const std::string& machine) {
  const auto* view = registry_.find(machine);
  if (!view) return;
  const auto& r = view->report;
  ++changes_;
  if (view->number >= hosts_.size()) hosts_.resize(view->number + 1);
  if (auto& host = hosts_[view->number]; host != view->host) {
    // Another controller hears it now: the probes that the one before queued for it are gone.
    if (!std::exchange(host, view->host).empty())
      for (auto& [uid, job] : jobs_)
        if (job->probes.erase(view->number)) job->drawn_from = 0;
  }

  if (auto it = on_machine_.find(machine); it != on_machine_.end()) {
    it->second.on_the_way.reset();
    const auto here = it->second.tasks;  // unbinding changes the set
    for (const auto& [uid, index] : here) {
      auto* job = find(uid);
      if (!job) continue;
      const OpenJob* started = nullptr;
      auto found = job->bound.find(index);
      if (found == job->bound.end()) continue;
      auto& b = found->second;
      if (r.tenure < b.tenure) continue;
      const auto* t = r.find(uid, index, b.attempt);
      const auto standing = machines::standing_of(b, r, t);
      if (standing == machines::Standing::Gone) {
        unbind(*job, index, true);
        continue;
      }
      if (standing == machines::Standing::Settled) {
        b.settled = true;
        b.settled_tick = r.tick;
        if (t->exited()) on_exit(*job, index, *t, machine);
        else b.running = t->runs();
        continue;
      }
      if (!t) continue;
      if (t->runs() && !b.running) b.running_since = runtime_.now();
      if (std::exchange(b.running, t->runs()) != t->runs()) started = &job->open;
      if (r.notice && !t->exited()) leave_in_time(job->open.spec, b, *t, r);
      // An exit counts once its delivery is settled: until then the same order may still be on its way.
      if (t->exited() && b.settled) on_exit(*job, index, *t, machine);
      // The last of its tasks that fetched its image runs: nothing of the job waits any more.
      if (started && ledger_.on() && registry_.running(uid) + job->done_count >= job->open.spec.tasks) ledger_.clear_if(uid, insight::Cause::Image, runtime_.now());
    }
  }

  for (const auto& t : r.tasks) {
    // Most tasks that a controller reads of are of others' jobs: those are passed first.
    auto* job = find(t.uid);
    if (!job || index_.owner_of(t.uid) != membership_.self()) continue;  // ended, which whoever hears the machine sees to; or not taken up yet
    // Also while we are not entitled, as when renewals are answered late: the report counts as read below, and what it shows would be
    // unknown here and run twice once we are again (meetings, seeds 30, 61, 158). Orders that follow from it go out by whoever is.
    if (job->over || t.index >= job->open.spec.tasks) continue;
    auto found = job->bound.find(t.index);
    const bool is_bound = found != job->bound.end() && found->second.machine == machine && found->second.attempt == t.attempt;
    if (is_bound) continue;
    const bool settled = r.mandate >= cluster::mandate_base(job->gate);
    if (t.exited()) {
      if (t.cause == wire::Cause::Done && !job->open.spec.service && !job->done[t.index]) {
        if (found == job->bound.end()) mark_done(*job, t.index);
      }
      const bool finished = t.cause == wire::Cause::Done && !job->open.spec.service;
      if (settled && (!finished || (job->done[t.index] && job->recorded.test(t.index)))) order(machine, t, wire::Verb::Clear);
      again_.insert(machine);
      continue;
    }
    if (job->done[t.index] || found != job->bound.end()) {
      order(machine, t, wire::Verb::Kill);
      continue;
    }
    // A task that nobody here remembers, of a job that is alive: it is taken over as it runs.
    Binding b;
    b.machine = machine;
    b.zone = r.zone;
    b.tenure = r.tenure;
    b.attempt = t.attempt;
    b.settled = settled;
    b.settled_tick = r.tick;
    b.void_from = cluster::mandate_base(job->gate);
    b.running = t.runs();
    b.running_since = runtime_.now();
    b.since = runtime_.now();
    spdlog::debug("job {} task {} found on {}, generation {}", t.uid, t.index, machine, membership_.generation().number);
    job->bound.emplace(t.index, std::move(b));
    std::erase(job->returned, t.index);
    ++job->zones[r.zone];
    auto& held = on_machine_[machine];
    held.tasks.emplace_back(t.uid, t.index);
    held.long_tasks += job->open.is_long;
    held.on_the_way.reset();
    budgets_.use(job->open.spec.team, machines::Room::of(job->open.spec));
  }
  // Only now, with all that it shows taken over, does the machine count as known: the registry is ahead of us by a
  // message, and a task handed out in between would run twice.
  if (auto& read = read_[machine]; read != r.mandate) {
    read = r.mandate;
    least_read_.reset();
  }
}

/// The machine is about to be taken away. A task that cannot end before is stopped now: saved if it can save, begun
/// anew elsewhere in any case, long before the machine's silence would prove it lost.
void Book::leave_in_time(const wire::JobSpec& s, Binding& b, const wire::TaskReport& t, const wire::Report& r) {
  if (s.service || b.leaving || t.phase == wire::TaskPhase::Saving) return;
  const auto ran = t.runs() ? net::to_seconds(runtime_.now() - b.running_since) : wire::Seconds(0);
  if (t.runs() && ran + *r.notice * kNoticeTrust > s.estimate) return;
  b.leaving = true;
  order(r.machine, t, wire::Verb::Kill, s.wind_down());
}

void Book::order(const std::string& machine, const wire::TaskReport& t, wire::Verb verb, wire::Seconds wind_down) {
  const auto* view = registry_.find(machine);
  if (!view) return;
  again_.insert(machine);
  const wire::Order o{verb, t.uid, t.index, t.attempt, wind_down};
  router_.send(view->host, "order", {{"machine", machine}, {"order", wire::to_json(o)}, {"at", wall_ms()}});
}

void Book::on_exit(Job& job, std::uint32_t index, const wire::TaskReport& t, const std::string& machine) {
  const bool finished = t.cause == wire::Cause::Done && !job.open.spec.service;
  spdlog::debug("job {} task {} exited on {}: {}, generation {}", job.open.spec.uid, index, machine, wire::name_of(t.cause),
                membership_.generation().number);
  const auto bound = job.bound.find(index);
  const auto ran = bound != job.bound.end() && bound->second.running ? runtime_.now() - bound->second.running_since : net::Duration::zero();
  unbind(job, index, !finished);
  if (finished) {
    mark_done(job, index);
  } else if (t.cause == wire::Cause::Error || t.cause == wire::Cause::NoSuch || t.cause == wire::Cause::Done) {
    on_failure(job, index, machine, ran);
  } else if (t.cause == wire::Cause::Full || t.cause == wire::Cause::InUse) {
    spdlog::debug("job {} task {} refused by {}, generation {}", job.open.spec.uid, index, machine, membership_.generation().number);
  }
  // Its entry on the machine is cleared below, with the same report, unless its result has yet to be recorded.
}

void Book::on_failure(Job& job, std::uint32_t index, const std::string& machine, net::Duration ran) {
  job.failed_on[machine] = runtime_.now();
  job.longest_failure = std::max(job.longest_failure, ran);
  // A job that fails everywhere keeps its small remaining estimate and would win every pull: it is backed off. Only
  // failures on different machines count: one faulty machine must not stop the jobs that it failed many tasks of.
  const auto machines = static_cast<unsigned>(job.failed_on.size());
  if (machines > 1) job.not_before = runtime_.now() + kFailurePause * (1u << std::min(machines, kMaxDoublings));
  const bool failing = machines >= kFailsEverywhere && job.done_count == 0;
  if (failing && !std::exchange(job.failing, true))
    spdlog::info("job {} fails on every machine, task {} now on {}: one task at a time, generation {}", job.open.spec.uid, index, machine,
                 membership_.generation().number);
  else if (!job.failing)
    spdlog::info("job {} task {} failed on {}, generation {}", job.open.spec.uid, index, machine, membership_.generation().number);
}

/// A job that has failed on several machines and completed nothing tries one task at a time, until one has run for well
/// longer than those that failed: each pause would end in hundreds of starts otherwise, and machines be hired for them.
bool Book::may_try(const Job& job) const {
  if (!job.failing || job.done_count > 0 || job.open.spec.gang) return true;
  return std::all_of(job.bound.begin(), job.bound.end(), [&](const auto& b) {
    return b.second.running && runtime_.now() - b.second.running_since > 2 * job.longest_failure + kTrial;
  });
}

void Book::mark_done(Job& job, std::uint32_t index) {
  if (job.done[index]) return;
  job.done[index] = true;
  ++job.done_count;
  std::erase(job.returned, index);
  job.dirty = true;
  if (job.done_count == job.open.spec.tasks && job.alive()) finish(job, Phase::Done);
}

void Book::on_machine_removed(const std::string& machine) {
  auto it = on_machine_.find(machine);
  if (it != on_machine_.end()) {
    const auto here = it->second.tasks;
    for (const auto& [uid, index] : here)
      if (auto* job = find(uid)) unbind(*job, index, true);
  }
  read_.erase(machine);
  refused_.erase(machine);
  least_read_.reset();
  again_.erase(machine);
  const auto* view = registry_.find(machine);
  if (!view) return;
  // Its number goes to another machine.
  for (auto& [uid, job] : jobs_) job->probes.erase(view->number);
  if (view->number < hosts_.size()) hosts_[view->number].clear();
}

// ---- handing out ----

bool Book::may_hand_out(const Job& job) const {
  return membership_.entitled() && job.alive() && job.progress_known && runtime_.now() >= job.not_before &&
         may_try(job) && gate_open(job);
}

bool Book::may_place(const Job& job, const View& view) const {
  const auto& s = job.open.spec;
  const auto& r = view.report;
  if (!s.allows_type(r.type) || (s.zone && *s.zone != r.zone) || (r.spot && !s.spot)) return false;
  if (auto it = job.failed_on.find(r.machine); it != job.failed_on.end() && runtime_.now() - it->second < kFailedOn) return false;
  if (s.one_zone)
    for (const auto& [zone, count] : job.zones)
      if (count > 0 && zone != r.zone) return false;
  if (s.spread) {
    auto it = job.zones.find(r.zone);
    if ((it == job.zones.end() ? 0 : it->second) + 1 > s.zone_cap()) return false;
  }
  return true;
}

bool Book::within_budget(Job& job) {
  if (budgets_.may_use(job.open.spec.team, machines::Room::of(job.open.spec), job.todo())) return true;
  job.over_limit = runtime_.now();
  return false;
}

std::optional<std::uint32_t> Book::next_task(Job& job) {
  while (!job.returned.empty()) {
    const auto index = job.returned.front();
    job.returned.pop_front();
    if (!job.done[index] && !job.bound.contains(index)) return index;
  }
  for (; job.cursor < job.open.spec.tasks; ++job.cursor)
    if (!job.done[job.cursor] && !job.bound.contains(job.cursor)) return job.cursor++;
  return std::nullopt;
}

void Book::bind(Job& job, std::uint32_t index, const View& view, bool pulled, const std::vector<wire::TaskReport>& evict) {
  const auto& s = job.open.spec;
  Binding b;
  b.machine = view.report.machine;
  b.zone = view.report.zone;
  b.tenure = view.report.tenure;
  // The tasks of a gang know each other by the attempt: with one of its own each would wait for the others in vain.
  const bool joins = s.gang && !job.bound.empty();
  b.attempt = joins ? job.gang_attempt : membership_.generation().number << kAttemptBits | ++attempts_;
  if (s.gang) job.gang_attempt = b.attempt;
  b.deliverer = view.host;
  b.since = runtime_.now();
  unsettled_.push_back({runtime_.now() + kAskAfter, s.uid, index, b.attempt});
  spdlog::debug("{} job {} task {} handed to {} by {} gate {}, generation {}", membership_.self(), s.uid, index, b.machine, b.deliverer, job.gate, membership_.generation().number);
  ++job.zones[b.zone];
  auto& held = on_machine_[b.machine];
  held.tasks.emplace_back(s.uid, index);
  held.long_tasks += job.open.is_long;
  held.on_the_way.reset();
  budgets_.use(s.team, machines::Room::of(s));
  json room_from = json::array();
  for (const auto& t : evict) room_from.push_back(wire::to_json(wire::Order{wire::Verb::Kill, t.uid, t.index, t.attempt, wire::Seconds(0)}));
  router_.send(view.host, "run",
               {{"machine", b.machine}, {"uid", s.uid}, {"index", index}, {"attempt", b.attempt}, {"tenure", b.tenure},
                {"cpus", s.cpus}, {"ram", s.ram_gb}, {"acc", s.accelerators}, {"pulled", pulled}, {"evict", room_from}, {"at", wall_ms()}});
  job.bound.emplace(index, std::move(b));
  if (job.todo() == 0) note_wait(job);
}

void Book::unbind(Job& job, std::uint32_t index, bool todo) {
  auto it = job.bound.find(index);
  if (it == job.bound.end()) return;
  const auto& b = it->second;
  spdlog::debug("job {} task {} is off {} (settled {}, tick {}, void from {}), generation {}", job.open.spec.uid, index, b.machine, b.settled,
                b.settled_tick, b.void_from, membership_.generation().number);
  if (auto z = job.zones.find(b.zone); z != job.zones.end() && --z->second == 0) job.zones.erase(z);
  if (auto m = on_machine_.find(b.machine); m != on_machine_.end() && std::erase(m->second.tasks, std::pair(job.open.spec.uid, index)) > 0) {
    m->second.long_tasks -= job.open.is_long;
    m->second.on_the_way.reset();
    if (m->second.tasks.empty()) on_machine_.erase(m);
  }
  ++changes_;
  budgets_.release(job.open.spec.team, machines::Room::of(job.open.spec));
  job.bound.erase(it);
  if (todo && !job.done[index] && index < job.cursor) job.returned.push_back(index);
}

bool Book::may_use_for_all(const Job& job) {
  const auto& s = job.open.spec;
  const double n = job.todo();
  return budgets_.may_use(s.team, {s.cpus * n, s.ram_gb * n, s.accelerators * n});
}

bool Book::refused_lately(const std::string& machine) const {
  if (refused_.empty()) return false;
  auto it = refused_.find(machine);
  if (it == refused_.end()) return false;
  // What its host holds back for others shows here with the machine's next report: until then asking again is vain.
  const auto* view = registry_.find(machine);
  const auto pause = view && view->report.tick == it->second.tick ? kRefusedSame : kRefusedPause;
  return runtime_.now() - it->second.at < pause;
}

bool Book::place(const std::string& uid, const std::string& machine, const std::vector<wire::TaskReport>& evict) {
  auto* job = find(uid);
  const auto* view = registry_.find(machine);
  if (!job || !view || !may_hand_out(*job) || !may_place(*job, *view) || !within_budget(*job)) return false;
  const auto index = next_task(*job);
  if (!index) return false;
  bind(*job, *index, *view, false, evict);
  return true;
}

void Book::on_pull(const Tag& from, const json& m) {
  const auto uid = m.at("uid").get<std::string>();
  const auto machine = m.at("machine").get<std::string>();
  auto* job = find(uid);
  const auto* view = registry_.find(machine);
  // `everywhere`: it is the job that may hand out nothing, not this machine that may not have it.
  auto none = [&](bool over, bool everywhere = false) {
    router_.send(from, "none", {{"uid", uid}, {"machine", machine}, {"over", over}, {"job", everywhere}});
  };
  if (!job || !job->alive() || job->todo() == 0) {
    if (job && view) job->probes.erase(view->number);
    return none(true);
  }
  job->stirred = runtime_.now();
  if (!may_hand_out(*job)) {
    job->held = true;
    return none(false, true);
  }
  if (!view || view->host != from || view->report.tenure != m.at("tenure").get<std::uint64_t>() || !registry_.registered(machine) ||
      !may_place(*job, *view) || !within_budget(*job))
    return none(false);
  const auto index = next_task(*job);
  if (!index) return none(false);
  bind(*job, *index, *view, true);
  // Handed out to the last: the probes go at once. Each would cost a pull and a refusal otherwise.
  if (job->todo() == 0) tell_left({job});
}

void Book::on_settled(const Tag& from, const json& m) {
  auto* job = find(m.at("uid").get<std::string>());
  if (!job) return;
  const auto index = m.at("index").get<std::uint32_t>();
  auto it = job->bound.find(index);
  if (it == job->bound.end() || it->second.attempt != m.at("attempt").get<std::uint64_t>() || it->second.deliverer != from) return;
  auto& b = it->second;
  if (b.settled) return;
  if (!m.at("present").get<bool>()) {
    const auto* view = registry_.find(b.machine);
    refused_[b.machine] = {runtime_.now(), view ? view->report.tick : 0};
    return unbind(*job, index, true);
  }
  b.settled = true;
  b.settled_tick = m.at("tick").get<std::uint64_t>();
  // What our own view shows may be newer than the proof. The name is copied: reading the view may end the binding.
  const auto machine = b.machine;
  on_view(machine);
}

// ---- why tasks wait ----

std::optional<insight::Cause> Book::held_by(const Job& job) const {
  using insight::Cause;
  if (!membership_.entitled()) return Cause::StateAway;
  if (!job.progress_known) return membership_.served() ? Cause::Takeover : Cause::StateAway;
  if (!gate_open(job)) return Cause::Takeover;
  if (runtime_.now() < job.not_before || !may_try(job)) return Cause::BackingOff;
  return std::nullopt;
}

void Book::note_wait(const Job& job) {
  using insight::Cause;
  if (!ledger_.on()) return;
  const auto now = runtime_.now();
  const auto& s = job.open.spec;
  if (!job.alive()) return ledger_.clear(s.uid, now);
  const auto todo = job.todo();
  if (todo == 0) {
    const auto settled = registry_.running(s.uid) + job.done_count;
    if (settled >= s.tasks) return ledger_.clear(s.uid, now);
    return ledger_.note(s.uid, Cause::Image, s.tasks - settled, now);
  }
  if (const auto held = held_by(job))
    return ledger_.note(s.uid, *held, todo, now, *held == Cause::BackingOff && now < job.not_before ? std::optional(job.not_before) : std::nullopt);
  // A budget that is refused though the team is below its limit is granted within a moment: that is no cause.
  if (now - job.over_limit < kLimitSeen && terrain_.at_limit(s, now)) return ledger_.note(s.uid, Cause::TeamLimit, todo, now);
  const auto verdict = terrain_.judge(s, job.open.is_long, todo, job.zones, !job.failed_on.empty(), now);
  ledger_.note(s.uid, verdict.cause, todo, now, verdict.until);
}

void Book::tell_left(const std::vector<Job*>& jobs) {
  json left = json::array();
  for (auto* job : jobs) {
    left.push_back({job->open.spec.uid, job->todo(), job->unfinished()});
    job->told = {job->todo(), job->unfinished()};
    job->told_at = runtime_.now();
    job->held = false;
    if (job->todo() == 0) job->probes.clear();
  }
  router_.broadcast("left", {{"jobs", left}});
  router_.send(membership_.self(), "left", {{"jobs", left}});
}

// ---- endings ----

void Book::finish(Job& job, Phase phase) {
  job.ending = phase;
  commit(job.open.spec.uid);
}

void Book::commit(const std::string& uid) {
  auto* job = find(uid);
  if (!job || !job->ending || job->over) return;
  // Taken over from a member that may not know it yet: it might still tell a user that the job runs, after we told its end.
  const bool too_soon = job->gate != 0 && runtime_.now() < membership_.others_silent_from();
  if (!membership_.entitled() || too_soon) {
    runtime_.after(kCommitRetry, [this, uid] { commit(uid); });
    return;
  }
  // As the mirror shows it: somebody may have written it anew by hand, and then no other condition would ever hold.
  const auto* open = index_.find(uid);
  const auto when = membership_.fences({{cluster::keys::open_job(uid), open ? open->stamp : job->open.stamp}, {cluster::keys::final_job(uid), 0}});
  client_.txn(store::Priority::User, when,
              {{cluster::keys::open_job(uid), std::nullopt, 0},
               {cluster::keys::final_job(uid), json{{"phase", name_of(*job->ending)}, {"tasks", job->open.spec.tasks}}, 0}},
              [this, uid](store::TxnResult r) {
                auto* job = find(uid);
                if (!job) return;
                if (r.verdict == store::Verdict::Ok) return written(uid, *job->ending);
                if (r.verdict == store::Verdict::Refused) {
                  runtime_.after(kCommitRetry, [this, uid] { commit(uid); });
                  return;
                }
                learn_outcome(uid);
              });
}

void Book::learn_outcome(const std::string& uid) {
  client_.get(store::Priority::User, cluster::keys::final_job(uid), [this, uid](store::GetResult g) {
    auto* job = find(uid);
    if (!job) return;
    const auto phase = g.answered && g.found ? final_phase(g.value) : std::nullopt;
    if (phase) return written(uid, *phase);
    if (g.answered && g.found) client_.unreadable().note(cluster::keys::final_job(uid));
    runtime_.after(kCommitRetry, [this, uid, open = g.answered && !g.found] { open ? commit(uid) : learn_outcome(uid); });
  });
}

void Book::written(const std::string& uid, Phase phase) {
  const auto* job = find(uid);
  Status end;
  end.phase = phase;
  if (phase == Phase::Done) end.done = job->open.spec.tasks;
  ends_.tell(uid, end);
}

void Book::closed(const std::string& uid, Phase phase) {
  auto* job = find(uid);
  if (!job || job->over) return;
  job->ending = phase;
  job->over = true;
  ledger_.clear(uid, runtime_.now());
  spdlog::debug("job {} {}, generation {}", uid, name_of(phase), membership_.generation().number);
  for (auto& done : std::exchange(job->waiting, {})) done(phase);
}

std::optional<Status> Book::status(const std::string& uid) const {
  auto it = jobs_.find(uid);
  if (it == jobs_.end()) return std::nullopt;
  const auto& job = *it->second;
  Status s;
  s.done = job.done_count;
  for (const auto& [index, b] : job.bound) s.running += b.running;
  s.deciding = job.ending && !job.over;
  s.phase = job.over ? *job.ending : s.running > 0 ? Phase::Running : Phase::Pending;
  return s;
}

void Book::cancel(const std::string& uid, std::function<void(std::optional<Phase>)> done) {
  auto* job = find(uid);
  if (!job) return done(std::nullopt);
  if (job->over) return done(job->ending);
  job->waiting.push_back(std::move(done));
  if (!job->ending) finish(*job, Phase::Cancelled);
}

// ---- regular work ----

void Book::record_progress() {
  if (progress_.busy() || !membership_.entitled()) return;
  const auto now = runtime_.now();
  if (now - last_record_ < net::to_duration(settings_.tuning.progress_interval)) return;
  const bool dirty = std::any_of(jobs_.begin(), jobs_.end(), [](const auto& j) { return j.second->dirty && j.second->alive(); });
  if (!dirty) return;
  last_record_ = now;
  std::vector<ProgressPiece> pieces;
  std::map<std::string, TaskSet> written;
  std::vector<std::string> names;
  for (const auto& [uid, job] : jobs_)
    if (job->alive() && !job->open.spec.service && job->progress_known && job->done_count > 0) names.push_back(uid);
  std::sort(names.begin(), names.end());
  for (const auto& uid : names) {
    auto& job = *find(uid);
    TaskSet set(job.open.spec.tasks);
    for (std::uint32_t i = 0; i < job.open.spec.tasks; ++i)
      if (job.done[i]) set.set(i);
    for (std::uint32_t p = 0; p < set.pieces(); ++p) pieces.push_back({uid, p, set.piece_hex(p)});
    job.dirty = false;
    written.emplace(uid, std::move(set));
  }
  progress_.write(pieces, [this, written = std::move(written)](bool ok) {
    for (const auto& [uid, set] : written) {
      auto* job = find(uid);
      if (!job) continue;
      if (ok)
        job->recorded = set;
      else
        job->dirty = true;
    }
    const bool all_known = std::all_of(jobs_.begin(), jobs_.end(), [](const auto& j) { return j.second->progress_known; });
    if (ok && all_known && membership_.leads()) progress_.remove_strangers();
  });
}

/// Whose delivery nobody has settled for a while: its host is asked.
void Book::ask_about_unsettled() {
  const auto now = runtime_.now();
  while (!unsettled_.empty() && unsettled_.front().ask_at <= now) {
    auto u = std::move(unsettled_.front());
    unsettled_.pop_front();
    const auto* job = find(u.uid);
    if (!job) continue;
    const auto it = job->bound.find(u.index);
    if (it == job->bound.end()) continue;
    const auto& b = it->second;
    // What a lost member was to deliver, the generation without it settles.
    if (b.attempt != u.attempt || b.settled || !membership_.member(b.deliverer)) continue;
    router_.send(b.deliverer, "query", {{"machine", b.machine}, {"uid", u.uid}, {"index", u.index}, {"attempt", b.attempt}, {"tenure", b.tenure}});
    u.ask_at = now + kAskAfter;
    unsettled_.push_back(std::move(u));
  }
}

void Book::tick() {
  const auto now = runtime_.now();
  std::vector<Job*> changed;
  std::map<std::string, machines::Room> waiting;
  std::vector<std::string> finished;
  std::erase_if(refused_, [&](const auto& r) { return now - r.second.at > kRefusedSame; });
  for (auto& [uid, job] : jobs_) {
    // Not before the mirror shows the end as well: the job would be taken up anew from its old record.
    if (job->over && job->bound.empty()) {
      const auto* known = index_.find(uid);
      if (!known || known->ended) finished.push_back(uid);
    }
    std::erase_if(job->failed_on, [&](const auto& f) { return now - f.second > kFailedOn; });
    if (job->alive() && job->todo() > 0) {
      const double n = job->unfinished() == 1 ? 1 : job->todo();
      waiting[job->open.spec.team] += {n * job->open.spec.cpus, 0, n * job->open.spec.accelerators};
    }
    // The leader's placement notes long jobs; not while it may place nothing.
    if (job->open.is_long && !membership_.entitled()) note_wait(*job);
    if (job->open.is_long || !job->alive()) continue;
    const std::pair left{job->todo(), job->unfinished()};
    if (job->told != left || now - job->told_at > kTellAgain || (job->held && may_hand_out(*job))) changed.push_back(job.get());
    if (ledger_.on()) note_wait(*job);
    if (!membership_.entitled()) continue;
    prober_.renew_if_lost(*job);
    // Not before it may hand out: what was taken over would be pulled for by every machine, in vain.
    if (job->progress_known && gate_open(*job)) prober_.top_up(*job);
  }
  if (!changed.empty() && membership_.entitled()) tell_left(changed);
  ask_about_unsettled();
  for (const auto& machine : std::exchange(again_, {})) on_view(machine);
  for (const auto& uid : finished) jobs_.erase(uid);
  // What a lost owner had handed out is known, and belongs to somebody, once every machine has shown the generation
  // without it. Members that joined since have nothing that could be unknown.
  waits_for_ = 0;
  bool rebuilt = all_known_since(budgets_.lost_since());
  if (!rebuilt && !waiting.empty() && budgets_.recovering()) waits_for_ = budgets_.lost_since();
  for (const auto& [uid, job] : jobs_) {
    if (job->over || job->gate == 0) continue;
    const bool known = all_known_since(job->gate);
    rebuilt = rebuilt && known && job->progress_known;
    if (!known && job->alive() && job->todo() > 0) waits_for_ = std::max(waits_for_, job->gate);
  }
  budgets_.expect(std::move(waiting));
  budgets_.tick(rebuilt);
  record_progress();
}
}  // namespace limemast::jobs

// Workers: heartbeats, commands, tasks and leases.
#include <algorithm>
#include <cmath>

#include "simulation/simulated_cluster.hpp"
#include "simulation/simulation_constants.hpp"

namespace limemast::simulation {
double SimulatedCluster::free_cpus(const Worker& w) const {
  double free = machine_type(w.type).cpus;
  for (const auto& t : w.tasks)
    if (t.phase != wire::TaskPhase::Exited) free -= jobs_.at(t.uid).spec.cpus;
  return free;
}

void SimulatedCluster::drop_all(Worker& w) {
  for (auto& t : w.tasks)
    if (t.phase == wire::TaskPhase::Running || t.phase == wire::TaskPhase::Saving)
      invariants_.ended(wire::task_name(t.uid, t.index), w.name);
  w.tasks.clear();
}

void SimulatedCluster::check_lease(Worker& w) {
  if (!w.up || w.hung || world_.now() - w.last_ok <= net::to_duration(settings_.worker_lease))
    return;
  drop_all(w);
  ++w.incarnation;
  w.last_ok = world_.now();
}

void SimulatedCluster::when_awake(const std::string& name, std::function<void(Worker&)> act) {
  auto& w = workers_.at(name);
  if (!w.up) return;
  if (w.hung) return void(w.while_hung.push_back([this, name, act] { act(workers_.at(name)); }));
  check_lease(w);
  act(w);
}

wire::Heartbeat SimulatedCluster::account(Worker& w) {
  wire::Heartbeat r;
  r.machine = w.name;
  r.address = w.address;
  r.type = w.type;
  r.zone = w.zone;
  r.spot = w.spot;
  r.incarnation = w.incarnation;
  r.sequence = ++w.sequence;
  r.fencing_token = ids::FencingToken(w.fencing_token);
  if (w.preemption_notice) r.preemption_notice = wire::Seconds(*w.preemption_notice);
  for (const auto& t : w.tasks)
    r.tasks.push_back({t.uid, t.index, t.attempt, t.phase, t.exit_cause});
  return r;
}

void SimulatedCluster::report(const std::string& name) {
  when_awake(name, [this, name](Worker& w) {
    if (w.in_flight != 0) return;
    if (w.mute > 0) return unheard(w);  // no connection
    const auto flight = w.in_flight = next_serial_++;
    const auto sent = world_.now();
    const auto incarnation = w.incarnation;
    const net::HttpRequest request{"POST", "/hello", wire::to_json(account(w)).dump()};
    if (reports_late_ > 0 && world_.chance(reports_late_)) {
      const auto later = seconds(world_.uniform(2, 1.6 * settings_.worker_lease.count()));
      world_.at(later, [this, request, to = world_.below(nodes_.size()), zone = w.zone] {
        to_controller(
            to, Side::Workers, request, 4s, [](net::HttpResult) {}, zone);
      });
    }
    if (kept_for_next_ > 0 && world_.chance(kept_for_next_))
      for_next_.try_emplace(name, Copy{request, w.zone});
    to_controller(
        w.home, Side::Workers, request, 4s,
        [=, this](net::HttpResult r) {
          when_awake(name, [=, this](Worker& w) {
            if (w.in_flight != flight) return;
            if (w.deaf > 0) {  // the answer is lost on the way
              world_.at(std::max(Duration::zero(), sent + 4s - world_.now()), [=, this] {
                when_awake(name, [=, this](Worker& w) {
                  if (w.in_flight == flight) unheard(w);
                });
              });
              return;
            }
            w.in_flight = 0;
            // Answers are dropped after 4 s, whenever the machine comes to read them.
            const bool in_time = world_.now() - sent <= 4s;
            if (r.status == 200 && in_time && incarnation == w.incarnation) {
              const auto body = json::parse(r.body);
              const auto fencing_token = body.at("mandate").get<std::uint64_t>();
              if (fencing_token >= w.fencing_token) {
                w.fencing_token = fencing_token;
                w.last_ok = sent;
                execute(w, body.at("orders"));
              }
              send_heartbeat_after(
                  w, net::to_duration(settings_.heartbeat_interval * world_.uniform(0.75, 1.25)));
            } else if (const auto home = r.status == 421 ? home_in(r.body) : nodes_.size();
                       home < nodes_.size() && home != w.home) {
              ++redirected_;
              w.home = home;
              send_heartbeat_after(w, seconds(world_.uniform(0, 0.5)));
            } else {
              unheard(w);
            }
          });
        },
        w.zone);
  });
}

/// No answer that counts: the next controller is tried 1 s later.
void SimulatedCluster::unheard(Worker& w) {
  w.in_flight = 0;
  w.home = (w.home + 1) % nodes_.size();
  send_heartbeat_after(w, 1s);
}

/// Its next report by itself.
void SimulatedCluster::send_heartbeat_after(Worker& w, Duration delay) {
  world_.at(delay, [this, name = w.name, plan = ++w.plan] {
    if (auto it = workers_.find(name);
        it != workers_.end() && (!options_.one_plan || it->second.plan == plan))
      report(name);
  });
}

/// The controller that an answer names; none: their number.
std::size_t SimulatedCluster::home_in(const std::string& body) const {
  const auto b = json::parse(body, nullptr, false);
  const auto label = b.is_object() ? b.value("home", "") : "";
  return static_cast<std::size_t>(
      std::find_if(nodes_.begin(), nodes_.end(),
                   [&](const auto& n) { return n.settings.label == label; }) -
      nodes_.begin());
}

void SimulatedCluster::send_heartbeat_soon(Worker& w) {
  world_.at(500ms, [this, name = w.name] { report(name); });
}

void SimulatedCluster::end_task(Worker& w, Task& t, wire::ExitCause cause) {
  if (t.phase == wire::TaskPhase::Running || t.phase == wire::TaskPhase::Saving)
    invariants_.ended(wire::task_name(t.uid, t.index), w.name);
  t.phase = wire::TaskPhase::Exited;
  t.exit_cause = cause;
  send_heartbeat_soon(w);
  if (cause != wire::ExitCause::Done) return;
  invariants_.completed(t.uid, t.index);
  if (cancel_at_end_ > 0 && invariants_.all_completed(t.uid) && world_.chance(cancel_at_end_))
    cancel(t.uid);
}

void SimulatedCluster::image_ready(const std::string& name, std::uint64_t serial) {
  when_awake(name, [this, serial](Worker& w) {
    auto it =
        std::find_if(w.tasks.begin(), w.tasks.end(), [&](auto& t) { return t.serial == serial; });
    if (it == w.tasks.end() || it->phase != wire::TaskPhase::Fetching) return;
    const auto& job = jobs_.at(it->uid);
    w.images.insert(job.spec.image);
    if (!job.spec.gang) return start_task(w, *it);
    // A gang waits until all its tasks are there with the same attempt.
    it->phase = wire::TaskPhase::Waiting;
    send_heartbeat_soon(w);
    std::vector<std::pair<Worker*, Task*>> gang;
    for (auto& [name, other] : workers_)
      for (auto& t : other.tasks)
        if (t.uid == it->uid && t.attempt == it->attempt && t.phase == wire::TaskPhase::Waiting)
          gang.emplace_back(&other, &t);
    if (gang.size() == job.spec.tasks) {
      for (auto& [where, t] : gang) start_task(*where, *t);
      return;
    }
    world_.at(kGangWait, [this, name = w.name, serial] {
      when_awake(name, [this, serial](Worker& w) {
        auto t = std::find_if(w.tasks.begin(), w.tasks.end(),
                              [&](auto& x) { return x.serial == serial; });
        if (t != w.tasks.end() && t->phase == wire::TaskPhase::Waiting)
          end_task(w, *t, wire::ExitCause::GangTimeout);
      });
    });
  });
}

void SimulatedCluster::start_task(Worker& w, Task& task) {
  auto* it = &task;
  const auto serial = task.serial;
  const auto& job = jobs_.at(it->uid);
  it->phase = wire::TaskPhase::Running;
  invariants_.started(wire::task_name(it->uid, it->index), w.name, w.type, w.zone, w.spot);
  send_heartbeat_soon(w);
  const bool fails = w.sick || job.always_fails;
  if (job.spec.service && !fails) return;
  const auto time = seconds(fails ? 0.3 : job.run_s * world_.uniform(0.7, 1.4));
  world_.at(time, [this, name = w.name, serial, fails] {
    when_awake(name, [this, serial, fails](Worker& w) {
      auto t =
          std::find_if(w.tasks.begin(), w.tasks.end(), [&](auto& x) { return x.serial == serial; });
      if (t != w.tasks.end() && t->phase == wire::TaskPhase::Running)
        end_task(w, *t, fails ? wire::ExitCause::Error : wire::ExitCause::Done);
    });
  });
}

void SimulatedCluster::execute(Worker& w, const json& list) {
  for (const auto& entry : list) {
    const auto o = *wire::parse_command(entry);
    auto it = std::find_if(w.tasks.begin(), w.tasks.end(), [&](auto& t) {
      return t.uid == o.uid && t.index == o.index && t.attempt == o.attempt;
    });
    if (o.kind == wire::CommandKind::Forget) {
      if (it != w.tasks.end() && it->phase == wire::TaskPhase::Exited) w.tasks.erase(it);
    } else if (o.kind == wire::CommandKind::Stop) {
      if (it == w.tasks.end() || it->phase == wire::TaskPhase::Exited) continue;
      ++halted_;
      end_task(w, *it, wire::ExitCause::Stopped);
    } else if (it == w.tasks.end()) {
      invariants_.ordered(o.uid);
      Task t;
      t.uid = o.uid;
      t.index = o.index;
      t.attempt = o.attempt;
      t.serial = next_serial_++;
      const bool busy = std::any_of(w.tasks.begin(), w.tasks.end(), [&](auto& x) {
        return x.uid == o.uid && x.index == o.index && x.phase != wire::TaskPhase::Exited;
      });
      const auto job = jobs_.find(o.uid);
      if (job == jobs_.end() || busy || free_cpus(w) + 1e-6 < job->second.spec.cpus) {
        t.phase = wire::TaskPhase::Exited;
        t.exit_cause = job == jobs_.end() ? wire::ExitCause::UnknownTask
                       : busy             ? wire::ExitCause::DuplicateAttempt
                                          : wire::ExitCause::NoRoom;
        if (job == jobs_.end()) continue;
        w.tasks.push_back(t);
      } else {
        w.tasks.push_back(t);
        const auto fetch =
            w.images.contains(job->second.spec.image) ? 0s : seconds(world_.uniform(0.5, 4));
        world_.at(fetch, [this, name = w.name, serial = t.serial] { image_ready(name, serial); });
      }
      send_heartbeat_soon(w);
    }
  }
}

void SimulatedCluster::orders(const std::string& name, const net::HttpRequest& request,
                              const StateService::Answer& answer) {
  auto found = workers_.find(name);
  if (found == workers_.end()) return;
  when_awake(name, [this, request, answer](Worker& w) {
    if (w.deaf > 0 || direct_lost_) return;
    const auto body = json::parse(request.body);
    const auto fencing_token = body.at("mandate").get<std::uint64_t>();
    if (fencing_token < w.fencing_token || body.at("tenure").get<std::uint64_t>() != w.incarnation)
      return answer({409, true, wire::to_json(account(w)).dump()});
    w.fencing_token = fencing_token;
    execute(w, body.at("orders"));
    answer({200, true, wire::to_json(account(w)).dump()});
  });
}
}  // namespace limemast::simulation

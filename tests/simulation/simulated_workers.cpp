// Workers send heartbeats, execute commands and end their tasks when the lease expires.
#include <algorithm>
#include <cmath>

#include "simulation/simulated_cluster.hpp"
#include "simulation/simulation_constants.hpp"

namespace limemast::simulation {
namespace {
constexpr auto kRetryDelay = 1s;
// Time from a change on a machine to the heartbeat that reports it.
constexpr auto kChangeReportDelay = 500ms;
}  // namespace

double SimulatedCluster::free_cpus(const Worker& w) const {
  double free = machine_type(w.type).cpus;
  for (const auto& t : w.tasks)
    if (t.phase != wire::TaskPhase::Exited) free -= jobs_.at(t.uid).spec.cpus;
  return free;
}

void SimulatedCluster::drop_all_tasks(Worker& w) {
  for (auto& t : w.tasks)
    if (t.phase == wire::TaskPhase::Running || t.phase == wire::TaskPhase::Saving)
      invariants_.ended(wire::task_name(t.uid, t.index), w.name);
  w.tasks.clear();
}

void SimulatedCluster::check_lease(Worker& w) {
  if (!w.up || w.hung ||
      world_.now() - w.last_acknowledged_at <= net::to_duration(settings_.worker_lease))
    return;
  drop_all_tasks(w);
  w.started_attempts.clear();
  ++w.incarnation;
  w.last_acknowledged_at = world_.now();
}

void SimulatedCluster::when_not_hung(const std::string& name, std::function<void(Worker&)> act) {
  auto& w = workers_.at(name);
  if (!w.up) return;
  if (w.hung) return void(w.while_hung.push_back([this, name, act] { act(workers_.at(name)); }));
  check_lease(w);
  act(w);
}

wire::Heartbeat SimulatedCluster::make_heartbeat(Worker& w) {
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

void SimulatedCluster::send_heartbeat(const std::string& name) {
  when_not_hung(name, [this, name](Worker& w) {
    if (w.heartbeat_in_flight != 0) return;
    if (w.heartbeats_blocked > 0)
      return retry_with_next_controller(w);  // no connection to any controller
    const auto flight = w.heartbeat_in_flight = next_serial_++;
    const auto sent = world_.now();
    const auto incarnation = w.incarnation;
    const net::HttpRequest request{"POST", "/hello", wire::to_json(make_heartbeat(w)).dump()};
    if (duplicated_heartbeat_share_ > 0 && world_.chance(duplicated_heartbeat_share_)) {
      const auto later = seconds(world_.uniform(2, 1.6 * settings_.worker_lease.count()));
      world_.after(later, [this, request, to = world_.below(nodes_.size()), zone = w.zone] {
        to_controller(
            to, Side::Workers, request, kHeartbeatTimeout, [](net::HttpResult) {}, zone);
      });
    }
    if (replayed_heartbeat_share_ > 0 && world_.chance(replayed_heartbeat_share_))
      heartbeats_to_replay_.try_emplace(name, SavedHeartbeat{request, w.zone});
    to_controller(
        w.heartbeat_target, Side::Workers, request, kHeartbeatTimeout,
        [=, this](net::HttpResult r) {
          when_not_hung(name, [=, this](Worker& w) {
            if (w.heartbeat_in_flight != flight) return;
            if (w.inbound_blocked > 0) {  // the answer is lost on the way
              world_.after(std::max(Duration::zero(), sent + kHeartbeatTimeout - world_.now()),
                           [=, this] {
                             when_not_hung(name, [=, this](Worker& w) {
                               if (w.heartbeat_in_flight == flight) retry_with_next_controller(w);
                             });
                           });
              return;
            }
            w.heartbeat_in_flight = 0;
            // A machine that hung drops answers that it reads after the timeout.
            const bool in_time = world_.now() - sent <= kHeartbeatTimeout;
            if (r.status == 200 && in_time && incarnation == w.incarnation) {
              const auto body = json::parse(r.body);
              const auto fencing_token = body.at("mandate").get<std::uint64_t>();
              if (fencing_token >= w.fencing_token) {
                w.fencing_token = fencing_token;
                w.last_acknowledged_at = sent;
                execute_commands(w, body.at("orders"));
              }
              send_heartbeat_after(
                  w, net::to_duration(settings_.heartbeat_interval * world_.uniform(0.75, 1.25)));
            } else if (const auto target =
                           r.status == 421 ? redirect_target(r.body) : nodes_.size();
                       target < nodes_.size() && target != w.heartbeat_target) {
              ++redirected_;
              w.heartbeat_target = target;
              send_heartbeat_after(w, seconds(world_.uniform(0, 0.5)));
            } else {
              retry_with_next_controller(w);
            }
          });
        },
        w.zone);
  });
}

/// Tries the next controller after a heartbeat without a valid answer.
void SimulatedCluster::retry_with_next_controller(Worker& w) {
  w.heartbeat_in_flight = 0;
  w.heartbeat_target = (w.heartbeat_target + 1) % nodes_.size();
  send_heartbeat_after(w, kRetryDelay);
}

/// Schedules the next regular heartbeat.
void SimulatedCluster::send_heartbeat_after(Worker& w, Duration delay) {
  world_.after(delay, [this, name = w.name, timer = ++w.heartbeat_timer] {
    if (auto it = workers_.find(name);
        it != workers_.end() &&
        (!options_.early_heartbeat_replaces_next || it->second.heartbeat_timer == timer))
      send_heartbeat(name);
  });
}

/// The index of the controller that an answer redirects to; the number of controllers if it names
/// none.
std::size_t SimulatedCluster::redirect_target(const std::string& body) const {
  const auto b = json::parse(body, nullptr, false);
  const auto label = b.is_object() ? b.value("home", "") : "";
  return static_cast<std::size_t>(
      std::find_if(nodes_.begin(), nodes_.end(),
                   [&](const auto& n) { return n.settings.label == label; }) -
      nodes_.begin());
}

void SimulatedCluster::send_heartbeat_soon(Worker& w) {
  world_.after(kChangeReportDelay, [this, name = w.name] { send_heartbeat(name); });
}

void SimulatedCluster::end_task(Worker& w, Task& t, wire::ExitCause cause) {
  if (t.phase == wire::TaskPhase::Running || t.phase == wire::TaskPhase::Saving)
    invariants_.ended(wire::task_name(t.uid, t.index), w.name);
  t.phase = wire::TaskPhase::Exited;
  t.exit_cause = cause;
  send_heartbeat_soon(w);
  if (cause != wire::ExitCause::Done) return;
  invariants_.completed(t.uid, t.index);
  if (cancel_at_end_share_ > 0 && invariants_.all_completed(t.uid) &&
      world_.chance(cancel_at_end_share_))
    cancel(t.uid);
}

void SimulatedCluster::image_ready(const std::string& name, std::uint64_t serial) {
  when_not_hung(name, [this, serial](Worker& w) {
    auto it =
        std::find_if(w.tasks.begin(), w.tasks.end(), [&](auto& t) { return t.serial == serial; });
    if (it == w.tasks.end() || it->phase != wire::TaskPhase::Fetching) return;
    const auto& job = jobs_.at(it->uid);
    w.images.insert(job.spec.image);
    if (!job.spec.gang) return start_task(w, *it);
    // A gang starts when all its tasks wait with the same attempt number.
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
    world_.after(kGangTimeout, [this, name = w.name, serial] {
      when_not_hung(name, [this, serial](Worker& w) {
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
  const bool fails = w.faulty || job.always_fails;
  if (job.spec.service && !fails) return;
  const auto time = seconds(fails ? 0.3 : job.run_time_s * world_.uniform(0.7, 1.4));
  world_.after(time, [this, name = w.name, serial, fails] {
    when_not_hung(name, [this, serial, fails](Worker& w) {
      auto t =
          std::find_if(w.tasks.begin(), w.tasks.end(), [&](auto& x) { return x.serial == serial; });
      if (t != w.tasks.end() && t->phase == wire::TaskPhase::Running)
        end_task(w, *t, fails ? wire::ExitCause::Error : wire::ExitCause::Done);
    });
  });
}

void SimulatedCluster::execute_commands(Worker& w, const json& commands) {
  for (const auto& entry : commands) {
    const auto command = *wire::parse_command(entry);
    auto it = std::find_if(w.tasks.begin(), w.tasks.end(), [&](auto& t) {
      return t.uid == command.uid && t.index == command.index && t.attempt == command.attempt;
    });
    if (command.kind == wire::CommandKind::Forget) {
      if (it != w.tasks.end() && it->phase == wire::TaskPhase::Exited) w.tasks.erase(it);
    } else if (command.kind == wire::CommandKind::Stop) {
      if (it == w.tasks.end() || it->phase == wire::TaskPhase::Exited) continue;
      ++stopped_tasks_;
      end_task(w, *it, wire::ExitCause::Stopped);
    } else if (it == w.tasks.end()) {
      invariants_.ordered(command.uid);
      if (!w.started_attempts.emplace(command.uid, command.index, command.attempt).second)
        ++attempts_started_twice_;
      Task t;
      t.uid = command.uid;
      t.index = command.index;
      t.attempt = command.attempt;
      t.serial = next_serial_++;
      const bool busy = std::any_of(w.tasks.begin(), w.tasks.end(), [&](auto& x) {
        return x.uid == command.uid && x.index == command.index &&
               x.phase != wire::TaskPhase::Exited;
      });
      const auto job = jobs_.find(command.uid);
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
        world_.after(fetch,
                     [this, name = w.name, serial = t.serial] { image_ready(name, serial); });
      }
      send_heartbeat_soon(w);
    }
  }
}

void SimulatedCluster::handle_direct_commands(const std::string& name,
                                              const net::HttpRequest& request,
                                              const StateService::Answer& answer) {
  auto found = workers_.find(name);
  if (found == workers_.end()) return;
  when_not_hung(name, [this, request, answer](Worker& w) {
    if (w.inbound_blocked > 0 || direct_commands_dropped_) return;
    const auto body = json::parse(request.body);
    const auto fencing_token = body.at("mandate").get<std::uint64_t>();
    if (fencing_token < w.fencing_token || body.at("tenure").get<std::uint64_t>() != w.incarnation)
      return answer({409, true, wire::to_json(make_heartbeat(w)).dump()});
    w.fencing_token = fencing_token;
    execute_commands(w, body.at("orders"));
    answer({200, true, wire::to_json(make_heartbeat(w)).dump()});
  });
}
}  // namespace limemast::simulation

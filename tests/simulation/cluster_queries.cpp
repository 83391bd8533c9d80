// Queries of the simulated cluster's state for tests.
#include <algorithm>
#include <cmath>

#include "simulation/simulated_cluster.hpp"
#include "simulation/simulation_constants.hpp"

namespace limemast::simulation {
std::set<std::string> SimulatedCluster::machines_with(const std::string& uid) const {
  std::set<std::string> out;
  for (const auto& [name, w] : workers_)
    for (const auto& t : w.tasks)
      if (t.uid == uid && t.phase != wire::TaskPhase::Exited) out.insert(name);
  return out;
}

std::set<std::string> SimulatedCluster::terminated_machines() const {
  std::set<std::string> out;
  for (const auto& [name, w] : workers_)
    if (w.terminated) out.insert(name);
  return out;
}

std::set<std::string> SimulatedCluster::all_machines() const {
  std::set<std::string> out;
  for (const auto& [name, w] : workers_)
    if (w.up) out.insert(name);
  return out;
}

std::set<std::string> SimulatedCluster::registered_machines() const {
  std::set<std::string> out;
  state_.for_each_key([&](const std::string& key, const json& value) {
    if (key.starts_with(cluster::keys::kMachines))
      for (const auto& [name, spot] : value.items()) out.insert(name);
  });
  return out;
}

void SimulatedCluster::watch_waiting_jobs() {
  longest_wait_ = {};
  waiting_since_.clear();
  if (!std::exchange(watching_waiting_jobs_, true)) check_waiting_jobs();
}

bool SimulatedCluster::has_room_for(const wire::JobSpec& s) const {
  const double limit_cpus = settings_.teams.at(s.team).cpus_max;
  if (limit_cpus > 0 && invariants_.used_cpus(s.team) + s.cpus > limit_cpus + 1e-6) return false;
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const auto& w = entry.second;
    return w.up && !w.hung && !w.preemption_notice && !w.faulty && w.inbound_blocked == 0 &&
           w.heartbeats_blocked == 0 && s.allows_type(w.type) && (!s.zone || *s.zone == w.zone) &&
           (s.spot || !w.spot) && free_cpus(w) + 1e-6 >= s.cpus;
  });
}

void SimulatedCluster::check_waiting_jobs() {
  std::map<std::string, std::uint32_t> unexited_tasks;
  for (const auto& [name, w] : workers_)
    for (const auto& t : w.tasks) unexited_tasks[t.uid] += t.phase != wire::TaskPhase::Exited;
  for (const auto& [uid, job] : jobs_) {
    const auto known = invariants_.known(uid);
    const auto& s = job.spec;
    const bool waits = known.accepted && known.final.empty() && !job.always_fails &&
                       job.cancel_requested_at == Time{} && !s.spread && !s.one_zone && !s.gang &&
                       invariants_.completed(uid) + unexited_tasks[uid] < s.tasks &&
                       has_room_for(s);
    if (!waits) {
      waiting_since_.erase(uid);
      continue;
    }
    longest_wait_ = std::max(
        longest_wait_, world_.now() - waiting_since_.try_emplace(uid, world_.now()).first->second);
  }
  world_.after(1s, [this] { check_waiting_jobs(); });
}

Duration SimulatedCluster::longest_unanswered() const {
  Duration out{};
  for (const auto& [uid, job] : jobs_)
    if (const auto known = invariants_.known(uid); known.accepted && known.final.empty())
      out = std::max(out, world_.now() - job.last_answer_at);
  return out;
}

std::size_t SimulatedCluster::leases_lost() const {
  return static_cast<std::size_t>(std::count_if(
      workers_.begin(), workers_.end(), [](const auto& w) { return w.second.incarnation > 1; }));
}

std::size_t SimulatedCluster::machines_of(std::size_t node) const {
  return static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& w) {
        return w.second.up && !w.second.terminated && w.second.heartbeat_target == node;
      }));
}

std::size_t SimulatedCluster::messages(const std::string& kind) const {
  const auto it = messages_sent_.find(kind);
  return it == messages_sent_.end() ? 0 : it->second;
}

std::size_t SimulatedCluster::up_machines() const {
  return static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), [](const auto& w) { return w.second.up; }));
}

std::map<std::string, std::uint32_t> SimulatedCluster::running() const {
  std::map<std::string, std::uint32_t> out;
  for (const auto& [name, w] : workers_)
    for (const auto& t : w.tasks)
      if (t.phase == wire::TaskPhase::Running) ++out[t.uid];
  return out;
}

std::size_t SimulatedCluster::leader() const {
  std::size_t i = 0;
  while (i + 1 < nodes_.size() &&
         !(nodes_[i].controller && nodes_[i].controller->node().membership().is_leader()))
    ++i;
  return i;
}

std::size_t SimulatedCluster::up_controllers() const {
  return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](auto& n) {
    return n.controller && n.controller->node().membership().may_act();
  }));
}

std::vector<std::string> SimulatedCluster::unfinished() const {
  std::vector<std::string> out;
  for (const auto& [uid, job] : jobs_)
    if (!job.spec.service && !job.always_fails && invariants_.known(uid).final.empty())
      out.push_back(uid);
  return out;
}
}  // namespace limemast::simulation

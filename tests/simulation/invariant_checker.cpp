#include "simulation/invariant_checker.hpp"

#include <spdlog/fmt/fmt.h>

namespace limemast::simulation {
namespace {
// Commands sent before a cancellation was confirmed may still arrive within this time.
constexpr auto kInTransitGrace = 250ms;
}  // namespace

InvariantChecker::KnownStatus InvariantChecker::known(const std::string& uid) const {
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? KnownStatus{} : it->second.known;
}

void InvariantChecker::status_answered(const std::string& uid, const KnownStatus& then, int status,
                                       const std::string& phase) {
  auto it = jobs_.find(uid);
  if (it == jobs_.end()) {
    if (status == 200) violated("invented", uid);
    return;
  }
  auto& job = it->second;
  auto& final = job.known.final;
  if (status == 404 && then.accepted) violated("forgotten", uid);
  if (status != 200) return;
  job.known.accepted = true;
  if (!then.final.empty() && phase != then.final)
    violated("went_back", uid + " " + then.final + " -> " + phase);
  if (phase != "done" && phase != "cancelled") return;
  // Two final phases must be equal, in whichever order the answers arrive.
  if (!final.empty() && phase != final) violated("went_back", uid + " " + final + " and " + phase);
  if (phase == "done" && (job.completed.size() != job.spec.tasks || job.spec.service))
    violated("not_done", uid);
  if (phase == "cancelled") {
    if (!job.cancel_requested) violated("went_back", uid + " was not cancelled");
    if (final.empty()) {
      job.cancelled_at = world_.now();
      cancelled_.insert(uid);
    }
  }
  final = phase;
}

void InvariantChecker::submission_answered(const std::string& uid, const KnownStatus& then,
                                           int status, const std::string& phase) {
  if (then.accepted && (status == 400 || status == 422)) violated("forgotten", uid + " repeated");
  if (then.accepted && status == 201) violated("went_back", uid + " accepted anew");
  if (status == 200 || status == 201) status_answered(uid, then, 200, phase);
}

double InvariantChecker::used_cpus(const std::string& team) const {
  const auto it = used_cpus_.find(team);
  return it == used_cpus_.end() ? 0 : it->second;
}

void InvariantChecker::started(const std::string& task, const std::string& machine,
                               const std::string& type, const std::string& zone, bool spot) {
  std::string uid;
  std::uint32_t index = 0;
  wire::parse_task_name(task, uid, index);
  auto& job = jobs_.at(uid);
  const auto& s = job.spec;
  ++starts_;
  if (job.known.final == "cancelled" && world_.now() - job.cancelled_at > kInTransitGrace)
    ++started_after_cancel_;
  if (!job.running[index].empty() && !job.running[index].contains(machine))
    violated("ran_twice", task + " on " + machine + " and " + job.running[index].begin()->first);
  if (!s.allows_type(type) || (s.zone && *s.zone != zone) || (spot && !s.spot))
    violated("wrong_place", task + " on " + machine);
  std::map<std::string, std::uint32_t> zones;
  for (const auto& [i, places] : job.running)
    if (i != index)
      for (const auto& [m, p] : places) ++zones[p.zone];
  ++zones[zone];
  if ((s.one_zone && zones.size() > 1) || zones[zone] > s.max_tasks_per_zone())
    violated("wrong_place", task + " in " + zone);
  if (job.running[index].emplace(machine, Place{machine, zone}).second)
    used_cpus_[s.team] += s.cpus;
  const double most = settings_.teams.at(s.team).cpus_max;
  if (most > 0 && used_cpus_[s.team] > most + 1e-6) violated("quota", s.team + " by " + task);
  check_time();
}

void InvariantChecker::token_sent(const std::string& controller, ids::FencingToken token,
                                  ids::EpochNumber epoch) {
  if (token.epoch() > epoch)
    violated("token_of_unread_epoch", fmt::format("{} in epoch {} sent token {} of epoch {}",
                                                  controller, epoch, token, token.epoch()));
}

void InvariantChecker::ordered(const std::string& uid) {
  const auto it = jobs_.find(uid);
  if (it != jobs_.end() && it->second.known.final == "cancelled" &&
      world_.now() - it->second.cancelled_at > kInTransitGrace)
    ++ordered_after_cancel_;
}

void InvariantChecker::ended(const std::string& task, const std::string& machine) {
  std::string uid;
  std::uint32_t index = 0;
  wire::parse_task_name(task, uid, index);
  auto& job = jobs_.at(uid);
  auto it = job.running.find(index);
  if (it == job.running.end() || it->second.erase(machine) == 0) return;
  used_cpus_[job.spec.team] -= job.spec.cpus;
  if (it->second.empty()) job.running.erase(it);
}

void InvariantChecker::check_time() {
  for (const auto& uid : cancelled_) {
    const auto& job = jobs_.at(uid);
    const auto since = world_.now() - job.cancelled_at;
    for (const auto& [index, places] : job.running)
      for (const auto& [machine, place] : places) {
        longest_after_cancel_ = std::max(longest_after_cancel_, since);
        if (since > net::to_duration(settings_.cancel_timeout))
          violated("ran_cancelled", wire::task_name(uid, index) + " on " + machine);
      }
  }
}
}  // namespace limemast::simulation

#include "standins/rules.hpp"

namespace limemast::standins {
void Rules::told(const std::string& uid, int status, const std::string& phase) {
  auto it = jobs_.find(uid);
  if (it == jobs_.end()) {
    if (status == 200) broke("invented", uid);
    return;
  }
  auto& job = it->second;
  if (status == 404 && job.accepted) broke("forgotten", uid);
  if (status != 200) return;
  if (!job.final.empty() && phase != job.final) broke("went_back", uid + " " + job.final + " -> " + phase);
  if (phase == "done") {
    if (job.completed.size() != job.spec.tasks || job.spec.service) broke("not_done", uid);
    job.final = phase;
  } else if (phase == "cancelled") {
    if (!job.cancel_asked) broke("went_back", uid + " was not cancelled");
    if (job.final.empty()) {
      job.cancelled_at = world_.now();
      cancelled_.insert(uid);
    }
    job.final = phase;
  }
}

void Rules::resubmitted(const std::string& uid, int status) {
  if (jobs_.at(uid).accepted && (status == 400 || status == 422)) broke("forgotten", uid + " repeated");
}

void Rules::started(const std::string& task, const std::string& machine, const std::string& type, const std::string& zone, bool spot) {
  std::string uid;
  std::uint32_t index = 0;
  wire::parse_task_name(task, uid, index);
  auto& job = jobs_.at(uid);
  const auto& s = job.spec;
  ++starts_;
  if (!job.on[index].empty() && !job.on[index].contains(machine)) broke("ran_twice", task + " on " + machine + " and " + job.on[index].begin()->first);
  if (!s.allows_type(type) || (s.zone && *s.zone != zone) || (spot && !s.spot)) broke("wrong_place", task + " on " + machine);
  std::map<std::string, std::uint32_t> zones;
  for (const auto& [i, places] : job.on)
    if (i != index)
      for (const auto& [m, p] : places) ++zones[p.zone];
  ++zones[zone];
  if ((s.one_zone && zones.size() > 1) || zones[zone] > s.zone_cap()) broke("wrong_place", task + " in " + zone);
  if (job.on[index].emplace(machine, Place{machine, zone}).second) used_[s.team] += s.cpus;
  const double most = settings_.teams.at(s.team).cpus_max;
  if (most > 0 && used_[s.team] > most + 1e-6) broke("quota", s.team + " by " + task);
  check_time();
}

void Rules::ordered(const std::string& uid) {
  constexpr auto kMoment = 250ms;  // what was on its way
  const auto it = jobs_.find(uid);
  if (it != jobs_.end() && it->second.final == "cancelled" && world_.now() - it->second.cancelled_at > kMoment) ++ordered_after_cancel_;
}

void Rules::ended(const std::string& task, const std::string& machine) {
  std::string uid;
  std::uint32_t index = 0;
  wire::parse_task_name(task, uid, index);
  auto& job = jobs_.at(uid);
  auto it = job.on.find(index);
  if (it == job.on.end() || it->second.erase(machine) == 0) return;
  used_[job.spec.team] -= job.spec.cpus;
  if (it->second.empty()) job.on.erase(it);
}

void Rules::check_time() {
  for (const auto& uid : cancelled_) {
    const auto& job = jobs_.at(uid);
    const auto since = world_.now() - job.cancelled_at;
    for (const auto& [index, places] : job.on)
      for (const auto& [machine, place] : places) {
        if (hanging_.contains(machine)) continue;
        longest_after_cancel_ = std::max(longest_after_cancel_, since);
        if (since > net::to_duration(settings_.cancel)) broke("ran_cancelled", wire::task_name(uid, index) + " on " + machine);
      }
  }
}
}  // namespace limemast::standins

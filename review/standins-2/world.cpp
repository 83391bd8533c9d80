#include "world.hpp"

namespace standins {
namespace {
std::string uid_of(const std::string& task) { return task.substr(0, task.find('/')); }
}  // namespace

json submission(const std::string& uid, int tasks, double cpus, double estimate, const json& more) {
  json body{{"uid", uid},           {"workload", "sync"},  {"owner", "assets"},
            {"shape", "batch"},     {"rank", "standard"},  {"shards", tasks},
            {"cpus", cpus},         {"accelerators", 0.0}, {"ramGb", 1.0},
            {"bundle", "img-01"},   {"sizeGb", 1.0},       {"flavors", nullptr},
            {"district", nullptr},  {"samePlace", false},  {"apart", false},
            {"reclaimable", false}, {"expectS", estimate}, {"snapshotEveryS", 0.0},
            {"snapshotCostS", 0.0}, {"dueS", nullptr}};
  body.update(more);
  return body;
}

void World::add_job(const std::string& uid, Job job) {
  const std::lock_guard lock(mutex_);
  jobs_[uid] = std::move(job);
}

std::optional<Job> World::job(const std::string& uid) {
  const std::lock_guard lock(mutex_);
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? std::nullopt : std::optional(it->second);
}

void World::on_machine(const std::string& task, const std::string& machine, std::uint64_t attempt) {
  const std::lock_guard lock(mutex_);
  record("run: " + task + " begins on " + machine + ", attempt " + std::to_string(attempt));
  auto& on = machines_[task];
  for (const auto& other : on)
    if (other != machine)
      Record::get().broken("ran_twice",
                           task + " begins on " + machine + " while it is on " + other);
  on.insert(machine);
  const auto& known = known_[uid_of(task)];
  if (known.final_phase == "cancelled" && now() > known.final_at + cancel_s_)
    Record::get().broken("ran_cancelled", task + " begins on " + machine);
  if (count_starts_ && known.final_phase == "cancelled" && now() > known.final_at)
    Record::get().broken("started_after_cancellation",
                         task + " begins on " + machine + " " +
                             std::to_string(now() - known.final_at) +
                             " s after its user was told that the job is cancelled");
}

void World::off_machine(const std::string& task, const std::string& machine) {
  const std::lock_guard lock(mutex_);
  const auto it = machines_.find(task);
  if (it == machines_.end() || it->second.erase(machine) == 0) return;
  record("run: " + task + " is no longer on " + machine);
  if (it->second.empty()) machines_.erase(it);
}

void World::completed(const std::string& task) {
  const std::lock_guard lock(mutex_);
  if (known_[uid_of(task)].completed.insert(task).second) record("run: " + task + " is complete");
}

bool World::is_completed(const std::string& task) {
  const std::lock_guard lock(mutex_);
  return known_[uid_of(task)].completed.contains(task);
}

std::set<std::string> World::machines_of(const std::string& task) {
  const std::lock_guard lock(mutex_);
  const auto it = machines_.find(task);
  return it == machines_.end() ? std::set<std::string>() : it->second;
}

void World::accepted(const std::string& uid) {
  const std::lock_guard lock(mutex_);
  auto& known = known_[uid];
  if (known.accepted_at < 0) known.accepted_at = now();
}

void World::cancel_asked(const std::string& uid) {
  const std::lock_guard lock(mutex_);
  known_[uid].cancel_asked = true;
}

std::string World::final_phase(const std::string& uid) {
  const std::lock_guard lock(mutex_);
  return known_[uid].final_phase;
}

void World::told(const std::string& uid, const Response& response, double asked_at, int node) {
  const std::lock_guard lock(mutex_);
  auto& known = known_[uid];
  const auto where = uid + " at node " + std::to_string(node);
  const bool accepted = known.accepted_at >= 0 && known.accepted_at < asked_at;
  if (accepted && (response.status == 404 || response.status == 400 || response.status == 422))
    Record::get().broken("forgotten", where + " gets " + std::to_string(response.status));
  if (response.status != 200 && response.status != 201) return;
  const auto body = response.parsed();
  const auto phase = body.is_object() ? body.value("phase", std::string()) : std::string();
  if (!jobs_.contains(uid)) return Record::get().broken("invented", where);
  const bool final = phase == "done" || phase == "cancelled";
  const bool known_final = !known.final_phase.empty() && known.final_at < asked_at;
  if (known_final && phase != known.final_phase)
    Record::get().broken("went_back", where + " was " + known.final_phase + ", is " + phase);
  if (phase == "cancelled" && !known.cancel_asked)
    Record::get().broken("went_back", where + " is cancelled, and nobody asked for it");
  if (phase == "done" && known.completed.size() < jobs_[uid].body["shards"].get<std::size_t>())
    Record::get().broken(
        "not_done", where + " is done with " + std::to_string(known.completed.size()) + " tasks");
  if (known.accepted_at < 0) known.accepted_at = now();
  if (!final || !known.final_phase.empty()) return;
  known.final_phase = phase;
  known.final_at = now();
}

void World::check_cancelled() {
  const std::lock_guard lock(mutex_);
  for (const auto& [task, on] : machines_) {
    const auto& known = known_[uid_of(task)];
    if (known.final_phase == "cancelled" && now() > known.final_at + cancel_s_ &&
        reported_.insert(task).second)
      Record::get().broken("ran_cancelled", task + " is on " + *on.begin());
  }
}
}  // namespace standins

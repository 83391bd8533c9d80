#pragma once
// Jobs as their users know them, and the checks of the rules on what workers run and users are
// told.
#include <map>
#include <optional>
#include <set>

#include "net.hpp"

namespace standins {
/// A job, with what only its stand-ins know.
struct Job {
  json body;                 ///< the submission
  double run_s = 5;          ///< run time of each task
  bool fails = false;        ///< submitted with a mistake: each task exits with `error`
  double fails_after_s = 0;  ///< run time until then
  bool service() const { return body["shape"] == "daemon"; }
};

/// A submission with the usual fields; `more` replaces or adds fields.
json submission(const std::string& uid, int tasks, double cpus, double estimate,
                const json& more = json::object());

/// What users know and which tasks are on which machines. Each call checks the rules.
class World {
 public:
  explicit World(double cancel_s) : cancel_s_(cancel_s) {}
  /// From now on, each start after a confirmed cancellation breaks a rule.
  void count_starts_after_cancellation() { count_starts_ = true; }

  void add_job(const std::string& uid, Job job);
  std::optional<Job> job(const std::string& uid);
  /// The task has its image: it is on the machine from now on.
  void on_machine(const std::string& task, const std::string& machine, std::uint64_t attempt);
  /// The task exited or was killed, or its machine is gone.
  void off_machine(const std::string& task, const std::string& machine);
  void completed(const std::string& task);
  bool is_completed(const std::string& task);
  /// The machines that a task is on.
  std::set<std::string> machines_of(const std::string& task);

  // Answers to users.
  void accepted(const std::string& uid);
  void told(const std::string& uid, const Response& response, double asked_at, int node);
  void cancel_asked(const std::string& uid);
  std::string final_phase(const std::string& uid);
  /// Checks `ran_cancelled` for tasks that are on machines now.
  void check_cancelled();

 private:
  struct Known {
    double accepted_at = -1;
    bool cancel_asked = false;
    std::string final_phase;
    double final_at = -1;
    std::set<std::string> completed;
  };
  std::mutex mutex_;
  double cancel_s_;
  std::atomic<bool> count_starts_{false};
  std::map<std::string, Job> jobs_;
  std::map<std::string, Known> known_;
  std::map<std::string, std::set<std::string>> machines_;  ///< by task
  std::set<std::string> reported_;
};
}  // namespace standins

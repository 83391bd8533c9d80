#pragma once
#include <map>
#include <set>

#include "ids/fencing.hpp"
#include "simulation/simulated_world.hpp"
#include "wire/settings.hpp"

namespace limemast::simulation {
/// Checks the rules of PROTOCOL at every event that can break one, and keeps the first violation of
/// each rule.
class InvariantChecker {
 public:
  InvariantChecker(SimulatedWorld& world, const wire::Settings& settings)
      : world_(world), settings_(settings) {}

  // Requests of users and the answers to them.
  void submitted(const wire::JobSpec& spec) {
    jobs_.try_emplace(spec.uid).first->second.spec = spec;
  }
  void asked_to_cancel(const std::string& uid) { jobs_.at(uid).cancel_requested = true; }
  /// What a job's user knows from earlier answers: nothing, that the job was accepted, or its final
  /// phase. The answer to a later request must not contradict it.
  struct KnownStatus {
    bool accepted = false;
    std::string final;  ///< "done" or "cancelled"; "" while not known
  };
  KnownStatus known(const std::string& uid) const;
  /// Checks the answer to a status query or a cancellation that was sent when the user knew `then`.
  void status_answered(const std::string& uid, const KnownStatus& then, int status,
                       const std::string& phase);
  /// Checks the answer to a submission that was sent when the user knew `then`.
  void submission_answered(const std::string& uid, const KnownStatus& then, int status,
                           const std::string& phase);
  /// Reports that polls of an accepted job failed for longer than allowed while others were
  /// answered.
  void status_overdue(const std::string& uid) { violated("forgotten", uid); }

  // Events on machines.
  void started(const std::string& task, const std::string& machine, const std::string& type,
               const std::string& zone, bool spot);
  void ended(const std::string& task, const std::string& machine);
  void completed(const std::string& uid, std::uint32_t index) {
    jobs_.at(uid).completed.insert(index);
  }
  std::size_t completed(const std::string& uid) const { return jobs_.at(uid).completed.size(); }
  bool all_completed(const std::string& uid) const {
    return !jobs_.at(uid).spec.service &&
           jobs_.at(uid).completed.size() == jobs_.at(uid).spec.tasks;
  }
  /// Checks the cancellation timeout, also of tasks on machines that hang. Must be called after
  /// each step of the simulation.
  void check_time();

  const std::map<std::string, std::string>& violations() const { return violations_; }
  std::size_t starts() const { return starts_; }
  /// Checks a fencing token that a controller sends to a machine: it may only be one of an epoch
  /// that the controller has read. `epoch`: the epoch that the controller knows.
  void token_sent(const std::string& controller, ids::FencingToken token, ids::EpochNumber epoch);
  /// Records that a machine got a Start command for a task of this job.
  void ordered(const std::string& uid);
  /// The number of Start commands that arrived more than kInTransitGrace after the job's
  /// cancellation was confirmed to its user.
  std::size_t ordered_after_cancel() const { return ordered_after_cancel_; }
  /// The number of tasks that started more than kInTransitGrace after the cancellation was
  /// confirmed.
  std::size_t started_after_cancel() const { return started_after_cancel_; }
  /// CPUs of the team's running tasks, whether or not a controller knows of them.
  double used_cpus(const std::string& team) const;
  /// The longest time that a task stayed on a machine after its job's cancellation was confirmed.
  Duration longest_after_cancel() const { return longest_after_cancel_; }

 private:
  struct Place {
    std::string machine, zone;
  };
  struct Job {
    wire::JobSpec spec;
    KnownStatus known;
    bool cancel_requested = false;
    Time cancelled_at{};
    std::set<std::uint32_t> completed;
    std::map<std::uint32_t, std::map<std::string, Place>>
        running;  ///< by task index, then by machine
  };
  void violated(const std::string& rule, const std::string& what) {
    violations_.emplace(rule, what);
  }
  SimulatedWorld& world_;
  const wire::Settings& settings_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, double> used_cpus_;
  std::set<std::string> cancelled_;
  std::map<std::string, std::string> violations_;
  std::size_t starts_ = 0;
  Duration longest_after_cancel_{};
  std::size_t ordered_after_cancel_ = 0;
  std::size_t started_after_cancel_ = 0;
};
}  // namespace limemast::simulation

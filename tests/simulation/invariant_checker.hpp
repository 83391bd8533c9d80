#pragma once
#include <map>
#include <set>

#include "simulation/simulated_world.hpp"
#include "wire/settings.hpp"

namespace limemast::simulation {
/// PROTOCOL's rules, checked at every event that can break one. What is broken is kept by name.
class InvariantChecker {
 public:
  InvariantChecker(SimulatedWorld& world, const wire::Settings& settings)
      : world_(world), settings_(settings) {}

  // What users do and are told.
  void submitted(const wire::JobSpec& spec) {
    jobs_.try_emplace(spec.uid).first->second.spec = spec;
  }
  void asked_to_cancel(const std::string& uid) { jobs_.at(uid).cancel_asked = true; }
  /// What the user of a job has been told of it. An answer to anything that is asked from then on
  /// may be no older: nothing, accepted, final.
  struct KnownStatus {
    bool accepted = false;
    std::string final;
  };
  KnownStatus known(const std::string& uid) const;
  /// The answer to a question or a cancellation that was sent when its user knew `then`.
  void status_answered(const std::string& uid, const KnownStatus& then, int status,
                       const std::string& phase);
  /// The answer to a submission, likewise.
  void submission_answered(const std::string& uid, const KnownStatus& then, int status,
                           const std::string& phase);
  /// Polls of an accepted job have failed for longer than is allowed while others were answered.
  void status_overdue(const std::string& uid) { violated("forgotten", uid); }

  // What happens on machines.
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
  /// A machine that hangs executes nothing, so its tasks are not held against anybody until it goes
  /// on.
  void set_hanging(const std::string& machine, bool on) {
    on ? (void)hanging_.insert(machine) : (void)hanging_.erase(machine);
  }
  /// To be called after each step.
  void check_time();

  const std::map<std::string, std::string>& violations() const { return violations_; }
  std::size_t starts() const { return starts_; }
  /// A machine was ordered to run a task of this job.
  void ordered(const std::string& uid);
  /// Orders to run that came more than a moment after the job's user was told that it is cancelled.
  std::size_t ordered_after_cancel() const { return ordered_after_cancel_; }
  /// Tasks that started more than a moment after their job's user was told that it is cancelled.
  std::size_t started_after_cancel() const { return started_after_cancel_; }
  /// CPUs that the team's tasks take now, whoever knows of them.
  double used_cpus(const std::string& team) const;
  /// The longest after its user was told that the job is cancelled that a task of it was still on a
  /// machine.
  Duration longest_after_cancel() const { return longest_after_cancel_; }

 private:
  struct Place {
    std::string machine, zone;
  };
  struct Job {
    wire::JobSpec spec;
    KnownStatus known;
    bool cancel_asked = false;
    Time cancelled_at{};
    std::set<std::uint32_t> completed;
    std::map<std::uint32_t, std::map<std::string, Place>> on;  ///< index -> machine -> place
  };
  void violated(const std::string& rule, const std::string& what) {
    violations_.emplace(rule, what);
  }
  SimulatedWorld& world_;
  const wire::Settings& settings_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, double> used_;
  std::set<std::string> cancelled_;
  std::set<std::string> hanging_;
  std::map<std::string, std::string> violations_;
  std::size_t starts_ = 0;
  Duration longest_after_cancel_{};
  std::size_t ordered_after_cancel_ = 0;
  std::size_t started_after_cancel_ = 0;
};
}  // namespace limemast::simulation

#pragma once
#include <map>
#include <set>

#include "standins/world.hpp"
#include "wire/settings.hpp"

namespace limemast::standins {
/// PROTOCOL's rules, checked at every event that can break one. What is broken is kept by name.
class Rules {
 public:
  Rules(World& world, const wire::Settings& settings) : world_(world), settings_(settings) {}

  // What users do and are told.
  void submitted(const wire::JobSpec& spec) { jobs_.try_emplace(spec.uid).first->second.spec = spec; }
  void accepted(const std::string& uid) { jobs_.at(uid).accepted = true; }
  void asked_to_cancel(const std::string& uid) { jobs_.at(uid).cancel_asked = true; }
  void told(const std::string& uid, int status, const std::string& phase);
  void resubmitted(const std::string& uid, int status);
  /// Polls of an accepted job have failed for longer than is allowed while others were answered.
  void unanswered(const std::string& uid) { broke("forgotten", uid); }

  // What happens on machines.
  void started(const std::string& task, const std::string& machine, const std::string& type, const std::string& zone, bool spot);
  void ended(const std::string& task, const std::string& machine);
  void completed(const std::string& uid, std::uint32_t index) { jobs_.at(uid).completed.insert(index); }
  /// A machine that hangs executes nothing, so its tasks are not held against anybody until it goes on.
  void hanging(const std::string& machine, bool on) { on ? (void)hanging_.insert(machine) : (void)hanging_.erase(machine); }
  /// To be called after each step.
  void check_time();

  const std::map<std::string, std::string>& broken() const { return broken_; }
  std::size_t starts() const { return starts_; }
  /// A machine was ordered to run a task of this job.
  void ordered(const std::string& uid);
  /// Orders to run that came more than a moment after the job's user was told that it is cancelled.
  std::size_t ordered_after_cancel() const { return ordered_after_cancel_; }
  /// The longest after its user was told that the job is cancelled that a task of it was still on a machine.
  Duration longest_after_cancel() const { return longest_after_cancel_; }

 private:
  struct Place {
    std::string machine, zone;
  };
  struct Job {
    wire::JobSpec spec;
    bool accepted = false;
    bool cancel_asked = false;
    std::string final;
    Time cancelled_at{};
    std::set<std::uint32_t> completed;
    std::map<std::uint32_t, std::map<std::string, Place>> on;  ///< index -> machine -> place
  };
  void broke(const std::string& rule, const std::string& what) { broken_.emplace(rule, what); }
  World& world_;
  const wire::Settings& settings_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, double> used_;
  std::set<std::string> cancelled_;
  std::set<std::string> hanging_;
  std::map<std::string, std::string> broken_;
  std::size_t starts_ = 0;
  Duration longest_after_cancel_{};
  std::size_t ordered_after_cancel_ = 0;
};
}  // namespace limemast::standins

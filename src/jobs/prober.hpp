#pragma once
// Probes of the short jobs that this controller owns.
#include "cluster/message_bus.hpp"
#include "jobs/job.hpp"
#include "machines/candidates.hpp"
#include "messages/probes.hpp"

namespace limemast::jobs {
/// Draws machines at random and sends them probes (Eagle, section 3). Which machines hold a probe
/// of a job is in `Job::probing`.
class Prober {
 public:
  Prober(net::Runtime& runtime, const wire::Settings& settings, cluster::MessageBus& message_bus,
         machines::Registry& registry)
      : runtime_(runtime),
        settings_(settings),
        message_bus_(message_bus),
        registry_(registry),
        candidates_(registry) {}

  /// Sends the first probes of the job, or replaces those that are gone. Cheap where all machines
  /// were drawn and none has come up since.
  void top_up(Job& job);
  /// Sends the job's probes once more if none was pulled for so long that they may be lost: a
  /// controller keeps those that it has.
  void resend_if_lost(Job& job);
  /// Probes wait at the machines that were there when they were drawn. If none of the job's tasks
  /// was assigned for a while, machines that show room are probed as well: they came up later or
  /// have become free.
  void probe_further_machines(Job& job);
  /// A controller has rejected probes; `job` is null if it is not owned here any more.
  void on_rejected(Job* job, const messages::ProbesRejected& message);

 private:
  /// Sends up to `count` probes to machines that the newest map shows free of long tasks, then to
  /// the short partition, then anywhere. `stage`: how often they were drawn already. Returns for
  /// how many there was no machine.
  std::size_t redraw(Job& job, std::size_t count, int stage);
  /// Machines that a probe of this stage may be sent to.
  std::vector<ids::DenseId> machines_for_stage(const Job& job,
                                               const std::vector<ids::DenseId>& candidates,
                                               int stage) const;
  void send(Job& job, const std::vector<ids::DenseId>& machines, int stage);
  void apply_map(const messages::ProbesRejected::NewerMap& newer);
  /// Returns how many of these machines held a probe of the job.
  std::size_t remove_probes(Job& job, const std::vector<std::string>& machines);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  cluster::MessageBus& message_bus_;
  machines::Registry& registry_;
  machines::Candidates candidates_;
};
}  // namespace limemast::jobs

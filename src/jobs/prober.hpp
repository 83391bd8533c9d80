#pragma once
// Sends the probes of the short jobs that this controller owns.
#include "cluster/message_bus.hpp"
#include "jobs/job.hpp"
#include "machines/candidates.hpp"
#include "messages/probes.hpp"

namespace limemast::jobs {
/// Draws machines at random and sends them probes (Eagle, section 3). `Job::probing` records which
/// machines hold a probe of the job.
class Prober {
 public:
  Prober(net::Runtime& runtime, const wire::Settings& settings, cluster::MessageBus& message_bus,
         machines::Registry& registry)
      : runtime_(runtime),
        settings_(settings),
        message_bus_(message_bus),
        registry_(registry),
        candidates_(registry) {}

  /// Sends the first probes of the job, or replaces those that are gone. Returns early if every
  /// candidate machine was drawn and no further one has come up since.
  void top_up(Job& job);
  /// Sends all probes of the job again if none was pulled for so long that they may be lost. A
  /// controller ignores probes that it already holds.
  void resend_if_lost(Job& job);
  /// Probes machines with free resources that came up or became free after the job's probes were
  /// drawn. Does so only if no task of the job was assigned for a while.
  void probe_further_machines(Job& job);
  /// Handles probes that a controller rejected. `job` is null if it is not owned here any more.
  void on_rejected(Job* job, const messages::ProbesRejected& message);

 private:
  /// Sends up to `count` probes to machines without long tasks according to the newest map, then to
  /// the short partition, then to any machine. `stage`: how often these probes were drawn already.
  /// Returns the number of probes for which there was no machine.
  std::size_t redraw(Job& job, std::size_t count, int stage);
  /// The candidates that a probe of this stage may be sent to.
  std::vector<ids::DenseId> machines_for_stage(const Job& job,
                                               const std::vector<ids::DenseId>& candidates,
                                               int stage) const;
  void send(Job& job, const std::vector<ids::DenseId>& machines, int stage);
  void apply_map(const messages::ProbesRejected::NewerMap& newer);
  /// Forgets the job's probes at these machines. Returns how many of the machines held one.
  std::size_t remove_probes(Job& job, const std::vector<std::string>& machines);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  cluster::MessageBus& message_bus_;
  machines::Registry& registry_;
  machines::Candidates candidates_;
};
}  // namespace limemast::jobs

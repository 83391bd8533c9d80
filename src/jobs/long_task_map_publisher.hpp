#pragma once
// Builds and broadcasts the long-task map on the leader, and applies it on the other members.
#include "jobs/job_owner.hpp"
#include "messages/machines.hpp"

namespace limemast::jobs {
/// Spare capacity of on-demand machines that is kept for services, as a fraction of the capacity
/// that they use now.
constexpr double kServiceSpareFraction = 0.06;

/// The map lists which machines hold long tasks, which are kept for short ones (the short partition
/// of Eagle, Delgado et al. 2016) and which are reserved for future service replicas.
class LongTaskMapPublisher {
 public:
  /// All arguments must outlive this object. Subscribes to `LongTaskMapUpdate`.
  LongTaskMapPublisher(net::Runtime& runtime, const wire::Settings& settings,
                       cluster::Membership& membership, cluster::MessageBus& message_bus,
                       machines::Registry& registry, JobOwner& job_owner,
                       const diagnostics::PendingReasonTable& pending_reasons);

  /// Builds the map, applies it locally and broadcasts it. To be called on the leader only.
  void publish();

 private:
  void on_update(const messages::LongTaskMapUpdate& message);
  machines::LongTaskMap build();
  messages::LongTaskMapUpdate to_message(const machines::LongTaskMap& map) const;
  /// The machines without long tasks that short tasks must not use, so that new replicas find room.
  std::set<std::string> reserve_for_services(const machines::LongTaskMap& map) const;

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  machines::Registry& registry_;
  JobOwner& job_owner_;
  const diagnostics::PendingReasonTable& pending_reasons_;
  std::uint64_t serial_ = 0;  ///< of the last map built here
};
}  // namespace limemast::jobs

#pragma once
// Announces the final statuses of jobs to all controllers.
#include "cluster/message_bus.hpp"
#include "jobs/job.hpp"
#include "messages/jobs.hpp"

namespace limemast::jobs {
/// Sends each final status to all members. A stored final status never changes, so every receiver
/// acts on it at once, whichever member sent it. A controller whose requests the store rejects
/// receives no watch events but still keeps its workers' tasks running (test:
/// CancelDuringStoreOutage.LeaderRejectedByTheStoreIsNotifiedOfCancellations).
///
/// A final status is resent until each member has acknowledged it or has left the cluster. Delivery
/// is an optimization: if no message arrives, the tasks of a cancelled job still stop within the
/// time for which a controller may act without renewing its lease (Membership::may_act; test:
/// CancelDuringStoreOutage.LeaseExpiryAloneStopsTasksInTime).
class CompletionBroadcast {
 public:
  /// Called for each final status that is announced here or received from another member.
  using FinalStatusCallback =
      std::function<void(const std::string& uid, const Status& final_status)>;
  CompletionBroadcast(net::Runtime& runtime, const wire::Settings& settings,
                      const cluster::Membership& membership, cluster::MessageBus& message_bus,
                      FinalStatusCallback on_final_status);
  /// Sends a final status, which must be stored already, to all members and calls the local
  /// callback.
  void announce(const std::string& uid, const Status& final_status);
  /// Resends unacknowledged announcements. To be called once a second.
  void tick();

 private:
  struct Announcement {
    std::string uid;
    Status final_status;
    std::set<ControllerId> unacknowledged;
    net::Time first_sent{};
  };
  void on_job_ended(const ControllerId& from, const messages::JobEnded& message);
  void on_acknowledged(const ControllerId& from, const messages::JobEndedAck& message);
  void send(const ControllerId& to, const Announcement& announcement);
  net::Runtime& runtime_;
  const wire::Settings& settings_;
  const cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  FinalStatusCallback on_final_status_;
  std::deque<Announcement> announcements_;  ///< oldest first
};
}  // namespace limemast::jobs

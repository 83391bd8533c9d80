#pragma once
// Cancels jobs on users' request, whichever controller owns them.
#include "jobs/status_reader.hpp"

namespace limemast::jobs {
/// Handles the cancellation requests of the user API. Any member accepts a request for any job and
/// forwards it to the job's owner. Not thread-safe; all calls come from the event loop.
class JobCancellation {
 public:
  /// All arguments must outlive this. Subscribes to `CancelJob` and `CancelReply`.
  JobCancellation(net::Runtime& runtime, cluster::Membership& membership,
                  cluster::MessageBus& message_bus, cluster::JobDirectory& job_directory,
                  JobOwner& job_owner, StatusReader& status_reader);

  /// Responds with the job's final phase, 404 if it was never accepted, or 503 if its final phase
  /// is not known in time. `uid` must be a valid job id.
  void cancel(const std::string& uid, net::Responder respond);

 private:
  struct PendingCancellation {
    net::Responder respond;
    std::string uid;
  };
  /// Sends the cancellation to the job's owner and responds when the owner replies or the timeout
  /// expires. Returns false, without a response, if no owner is known here, this controller may not
  /// act, or too many cancellations are pending.
  bool forward_to_owner(const std::string& uid, const net::Responder& respond);
  /// The member that owns the active job; nullopt if no such member is known.
  std::optional<ControllerId> known_owner(const std::string& uid) const;
  void on_cancel(const ControllerId& from, const messages::CancelJob& message);
  void on_reply(const messages::CancelReply& message);

  net::Runtime& runtime_;
  cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  cluster::JobDirectory& job_directory_;
  JobOwner& job_owner_;
  StatusReader& status_reader_;
  std::map<std::uint64_t, PendingCancellation> pending_;  ///< by message id
  std::uint64_t next_id_ = 1;
};
}  // namespace limemast::jobs

#pragma once
// The user API: submissions, status queries, cancellations.
#include "jobs/job_cancellation.hpp"
#include "jobs/job_submission.hpp"
#include "jobs/status_reader.hpp"

namespace limemast::jobs {
/// Handles the requests of users. Any member accepts any request. `respond` is called exactly once,
/// possibly before the call returns.
class JobApi {
 public:
  /// All arguments must outlive the API.
  JobApi(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
         cluster::Membership& membership, cluster::MessageBus& message_bus,
         cluster::JobDirectory& job_directory, machines::Registry& registry, JobOwner& job_owner,
         StatusReader& status_reader);
  /// See `JobSubmission::submit`.
  void submit(const std::string& body, net::Responder respond);
  /// Responds with the job's status, 404 if it was never accepted, or 503 if its status is not
  /// known in time.
  void query(const std::string& uid, net::Responder respond);
  /// Cancels the job; see `JobCancellation::cancel`.
  void abort(const std::string& uid, net::Responder respond);

 private:
  StatusReader& status_reader_;
  JobSubmission submission_;
  JobCancellation cancellation_;
};
}  // namespace limemast::jobs

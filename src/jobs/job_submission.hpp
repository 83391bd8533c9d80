#pragma once
// Accepts submitted jobs. Submissions are idempotent across all controllers.
#include "jobs/status_reader.hpp"

namespace limemast::jobs {
/// Looks up the job and responds with its status, with `if_not_found` if it was never accepted, or
/// with 503 if its status is unknown.
void respond_with_status(StatusReader& status_reader, const std::string& uid,
                         net::HttpResponse if_not_found, net::Responder respond);

/// Handles the submissions of the user API. Any member accepts any job and becomes its first owner.
/// Not thread-safe; all calls come from the event loop.
class JobSubmission {
 public:
  /// All arguments must outlive this.
  JobSubmission(net::Runtime& runtime, const wire::Settings& settings, store::Client& client,
                cluster::Membership& membership, cluster::JobDirectory& job_directory,
                machines::Registry& registry, JobOwner& job_owner, StatusReader& status_reader);

  /// Responds with 201 once the job's record is written, 200 if the job was accepted before, 400 or
  /// 422 if it cannot be accepted, and 503 if the user should retry.
  void submit(const std::string& body, net::Responder respond);

 private:
  /// True if the job was accepted before and is known here, whether active or ended.
  bool is_known(const std::string& uid) const;
  /// The time until a new write would be sent to the store, if it is too long to accept another
  /// submission; nullopt otherwise.
  std::optional<net::Duration> excessive_write_backlog();
  /// Writes the job's record, in at most `attempts_left` transactions.
  void accept(const wire::JobSpec& spec, unsigned attempts_left, net::Responder respond);
  void on_accept_result(const wire::JobSpec& spec, unsigned attempts_left,
                        const store::TxnResult& result, net::Responder respond);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  store::Client& client_;
  cluster::Membership& membership_;
  cluster::JobDirectory& job_directory_;
  machines::Registry& registry_;
  JobOwner& job_owner_;
  StatusReader& status_reader_;
  bool rejecting_ = false;  ///< the state that was last logged
};
}  // namespace limemast::jobs

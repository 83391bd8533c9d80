#pragma once
// Reads the status of any job for its users, in batches.
#include "jobs/final_status_cache.hpp"
#include "jobs/job_owner.hpp"
#include "messages/jobs.hpp"
#include "store/watch_cache.hpp"

namespace limemast::jobs {
/// What a look-up of a job's status found.
enum class LookupOutcome {
  Found,
  NotFound,   ///< it was never accepted
  Undecided,  ///< it could not be found out in time; the user may ask again
};

/// Finds out what a user may be told of a job, whoever owns it, without a store request for each
/// query: users may query many times as often as usual, and that must not delay submissions.
///
/// Queries are batched: to the job's owner, and where it does not answer, or the job is unknown, by
/// one linearizable refresh of the watch cache for all of them. A query never joins a batch that
/// was sent before it came: its user may have been told something newer meanwhile. Not
/// thread-safe; all calls come from the event loop.
class StatusReader {
 public:
  /// Called exactly once, before `look_up` returns or later. The status is meaningful if the
  /// outcome is `Found`.
  using LookupCallback = std::function<void(LookupOutcome, Status)>;

  /// All arguments must outlive the reader. Subscribes to `StatusQuery` and `StatusReply`.
  StatusReader(net::Runtime& runtime, store::Client& client, store::WatchCache& watch_cache,
               cluster::Membership& membership, cluster::MessageBus& message_bus,
               cluster::JobDirectory& job_directory, machines::Registry& registry,
               JobOwner& job_owner, CompletionBroadcast& completion_broadcast);

  /// The job's final record stands in the store: later look-ups are answered from memory.
  void cache_final_status(const std::string& uid, const Status& status) {
    final_statuses_.put(uid, status);
  }
  void look_up(const std::string& uid, LookupCallback done);
  /// The job's final status is known here.
  bool has_ended(const std::string& uid) const { return final_statuses_.find(uid) != nullptr; }
  /// How the job ended, if that was heard here lately.
  std::optional<Phase> final_phase_of(const std::string& uid) const {
    const auto* status = final_statuses_.find(uid);
    return status ? std::optional(status->phase) : std::nullopt;
  }

 private:
  struct Query {
    std::string uid;
    LookupCallback done;
  };
  using Batch = std::vector<Query>;
  using Callbacks = std::vector<LookupCallback>;

  /// The status by our own job owner, if it may be told.
  std::optional<Status> own_status(const std::string& uid);
  /// The member to ask about the job; nullopt if none can tell.
  std::optional<ControllerId> owner_to_ask(const std::string& uid) const;
  void enqueue_for_owner(const ControllerId& owner, Query query);
  void send_owner_batches();
  void query_owner(const ControllerId& owner, Batch batch);
  void on_status_query(const ControllerId& from, const messages::StatusQuery& query);
  void on_status_reply(const messages::StatusReply& reply);
  /// Answers the query by what its owner said; false if that does not tell.
  bool answer_from_owner(const Query& query,
                         const std::optional<messages::StatusReply::Entry>& entry);

  void enqueue_for_store(Batch batch);
  /// Refreshes the watch cache for all queries that wait, unless a refresh is under way already.
  void refresh_if_needed();
  /// True if the last refresh was too recent; the next one is then scheduled.
  bool refresh_deferred();
  void start_refresh();
  void answer_after_refresh(Query query, bool fresh);
  void read_final_record(const std::string& uid, Callbacks callbacks);
  void on_final_record(const std::string& uid, const store::GetResult& result,
                       const LookupCallback& done);
  Status active_status(const std::string& uid) const;

  net::Runtime& runtime_;
  store::Client& client_;
  store::WatchCache& watch_cache_;
  cluster::Membership& membership_;
  cluster::MessageBus& message_bus_;
  cluster::JobDirectory& job_directory_;
  machines::Registry& registry_;
  JobOwner& job_owner_;
  CompletionBroadcast& completion_broadcast_;
  FinalStatusCache final_statuses_;
  std::size_t unanswered_ = 0;  ///< queries sent to owners or waiting for the store

  std::map<ControllerId, Batch> batches_for_owners_;  ///< not sent yet
  bool owner_batches_scheduled_ = false;
  std::map<std::uint64_t, Batch> awaiting_reply_;  ///< by the id of the message
  std::uint64_t next_query_id_ = 1;
  /// Owners that did not answer, and until when they are not asked.
  std::map<ControllerId, net::Time> unresponsive_until_;

  Batch awaiting_refresh_;
  bool refresh_running_ = false;
  bool refresh_scheduled_ = false;
  net::Time last_refresh_{};
  /// By job that the last refresh showed as not active: its final record is to be read.
  std::map<std::string, Callbacks> final_records_to_read_;
};
}  // namespace limemast::jobs

#pragma once
// Answers users' status queries for any job, whichever controller owns it.
#include "jobs/final_status_cache.hpp"
#include "jobs/job_owner.hpp"
#include "messages/jobs.hpp"
#include "store/watch_cache.hpp"

namespace limemast::jobs {
/// The outcome of a job status look-up.
enum class LookupOutcome {
  Found,
  NotFound,  ///< the job was never accepted
  Unknown,   ///< no authoritative source answered in time; the user may retry
};

/// Looks up the status of any job without a store request for each query, so that a flood of status
/// queries does not delay submissions.
///
/// Queries are batched per job owner. If the owner is unknown or does not answer, one linearizable
/// refresh of the watch cache serves all waiting queries. A query never joins a batch that has
/// already been sent, because the answer could be older than a status the user has already seen.
/// Not thread-safe; all calls come from the event loop.
class StatusReader {
 public:
  /// Called exactly once, possibly before `look_up` returns. The status is valid only if the
  /// outcome is `Found`.
  using LookupCallback = std::function<void(LookupOutcome, Status)>;

  /// All arguments must outlive the reader. Subscribes to `StatusQuery` and `StatusReply`.
  StatusReader(net::Runtime& runtime, store::Client& client, store::WatchCache& watch_cache,
               cluster::Membership& membership, cluster::MessageBus& message_bus,
               cluster::JobDirectory& job_directory, machines::Registry& registry,
               JobOwner& job_owner, CompletionBroadcast& completion_broadcast);

  /// Caches the status of a job whose final record is stored, so that later look-ups are answered
  /// from memory.
  void cache_final_status(const std::string& uid, const Status& status) {
    final_statuses_.put(uid, status);
  }
  void look_up(const std::string& uid, LookupCallback done);
  /// True if the job's final status is cached here.
  bool has_ended(const std::string& uid) const { return final_statuses_.find(uid) != nullptr; }
  /// The job's final phase; nullopt if it is not cached here.
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

  /// The status from this controller's own job owner; nullopt if it does not own the job or the
  /// status may be stale.
  std::optional<Status> own_status(const std::string& uid);
  /// The other member that owns the job; nullopt if no such member is known, if it recently failed
  /// to answer, or if this controller may not act.
  std::optional<ControllerId> owner_to_ask(const std::string& uid) const;
  void enqueue_for_owner(const ControllerId& owner, Query query);
  void send_owner_batches();
  void query_owner(const ControllerId& owner, Batch batch);
  void on_status_query(const ControllerId& from, const messages::StatusQuery& query);
  void on_status_reply(const messages::StatusReply& reply);
  /// Answers the query from the owner's reply; false if the reply does not contain a status.
  bool answer_from_owner(const Query& query,
                         const std::optional<messages::StatusReply::Entry>& entry);

  void enqueue_for_store(Batch batch);
  /// Refreshes the watch cache for all waiting queries, unless a refresh is running or scheduled.
  void refresh_if_needed();
  /// Returns true, and schedules a refresh, if the last one was less than the minimum interval ago.
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
  std::size_t unanswered_ = 0;  ///< queries that wait for an owner or for the store

  std::map<ControllerId, Batch> batches_for_owners_;  ///< not yet sent
  bool owner_batches_scheduled_ = false;
  std::map<std::uint64_t, Batch> awaiting_reply_;  ///< by query id
  std::uint64_t next_query_id_ = 1;
  /// Owners that did not answer in time, and until when no query is sent to them.
  std::map<ControllerId, net::Time> unresponsive_until_;

  Batch awaiting_refresh_;
  bool refresh_running_ = false;
  bool refresh_scheduled_ = false;
  net::Time last_refresh_{};
  /// Jobs that the last refresh showed as not active and whose final records must be read.
  std::map<std::string, Callbacks> final_records_to_read_;
};
}  // namespace limemast::jobs

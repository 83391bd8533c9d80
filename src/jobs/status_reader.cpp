#include "jobs/status_reader.hpp"

#include <utility>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t kMaxFinalStatuses = 20'000;
constexpr std::size_t kMaxUnanswered = 2'000;
/// Queries to one owner are gathered for this long.
constexpr auto kOwnerBatchDelay = 15ms;
constexpr auto kOwnerTimeout = 400ms;
/// An owner that did not answer is not asked again for this long.
constexpr auto kUnresponsiveOwnerPause = 2s;
constexpr auto kMinRefreshInterval = 120ms;
/// Reads that would wait longer than this are not sent: users wait for two seconds.
constexpr auto kMaxReadBacklog = 1s;

bool is_final(Phase phase) { return phase == Phase::Done || phase == Phase::Cancelled; }

/// Number of tasks in a final record; 0 if it does not say.
std::uint32_t task_count(const wire::json& final_record) {
  const auto tasks = final_record.find("tasks");
  const bool present = tasks != final_record.end() && tasks->is_number_unsigned();
  return present ? tasks->get<std::uint32_t>() : 0;
}
}  // namespace

StatusReader::StatusReader(net::Runtime& runtime, store::Client& client,
                           store::WatchCache& watch_cache, cluster::Membership& membership,
                           cluster::MessageBus& message_bus, cluster::JobDirectory& job_directory,
                           machines::Registry& registry, JobOwner& job_owner,
                           CompletionBroadcast& completion_broadcast)
    : runtime_(runtime),
      client_(client),
      watch_cache_(watch_cache),
      membership_(membership),
      message_bus_(message_bus),
      job_directory_(job_directory),
      registry_(registry),
      job_owner_(job_owner),
      completion_broadcast_(completion_broadcast),
      final_statuses_(kMaxFinalStatuses) {
  message_bus_.on<messages::StatusQuery>(
      [this](const ControllerId& from, const auto& message) { on_status_query(from, message); });
  message_bus_.on<messages::StatusReply>(
      [this](const ControllerId&, const auto& message) { on_status_reply(message); });
}

Status StatusReader::active_status(const std::string& uid) const {
  Status status;
  status.running = registry_.running(uid);
  status.phase = status.running > 0 ? Phase::Running : Phase::Pending;
  return status;
}

void StatusReader::look_up(const std::string& uid, LookupCallback done) {
  if (const auto* status = final_statuses_.find(uid)) return done(LookupOutcome::Found, *status);
  if (const auto status = own_status(uid)) return done(LookupOutcome::Found, *status);
  if (unanswered_ >= kMaxUnanswered) return done(LookupOutcome::Undecided, {});
  ++unanswered_;
  Query query{uid, [this, done = std::move(done)](LookupOutcome outcome, Status status) {
                --unanswered_;
                done(outcome, status);
              }};
  if (const auto owner = owner_to_ask(uid)) return enqueue_for_owner(*owner, std::move(query));
  Batch batch;
  batch.push_back(std::move(query));
  enqueue_for_store(std::move(batch));
}

std::optional<Status> StatusReader::own_status(const std::string& uid) {
  const auto status = job_owner_.status(uid);
  // While the end is being written, others may read it and tell it before we hear that it was
  // written: only the store can tell.
  if (!status || status->final_record_pending) return std::nullopt;
  const bool final = is_final(status->phase);
  if (final) remember(uid, *status);
  // Unless the lease is certain somebody else may own the job by now: then only what can never
  // change may be told from memory.
  return final || membership_.lease_certain() ? status : std::nullopt;
}

std::optional<ControllerId> StatusReader::owner_to_ask(const std::string& uid) const {
  const auto* job = job_directory_.find(uid);
  if (!job || job->ended || !membership_.may_act()) return std::nullopt;
  const auto owner = job_directory_.owner_of(uid);
  if (owner == membership_.self() || !membership_.is_member(owner)) return std::nullopt;
  const auto unresponsive = unresponsive_until_.find(owner);
  if (unresponsive != unresponsive_until_.end() && runtime_.now() < unresponsive->second)
    return std::nullopt;
  return owner;
}

void StatusReader::enqueue_for_owner(const ControllerId& owner, Query query) {
  batches_for_owners_[owner].push_back(std::move(query));
  if (std::exchange(owner_batches_scheduled_, true)) return;
  runtime_.after(kOwnerBatchDelay, [this] {
    owner_batches_scheduled_ = false;
    send_owner_batches();
  });
}

void StatusReader::send_owner_batches() {
  for (auto& [owner, batch] : std::exchange(batches_for_owners_, {}))
    query_owner(owner, std::move(batch));
}

void StatusReader::query_owner(const ControllerId& owner, Batch batch) {
  const auto id = next_query_id_++;
  messages::StatusQuery message{id, {}};
  for (const auto& query : batch) message.uids.push_back(query.uid);
  awaiting_reply_.emplace(id, std::move(batch));
  message_bus_.send(owner, message);
  runtime_.after(kOwnerTimeout, [this, id, owner] {
    auto unanswered = awaiting_reply_.extract(id);
    if (unanswered.empty()) return;
    unresponsive_until_[owner] = runtime_.now() + kUnresponsiveOwnerPause;
    enqueue_for_store(std::move(unanswered.mapped()));
  });
}

void StatusReader::on_status_query(const ControllerId& from, const messages::StatusQuery& query) {
  messages::StatusReply reply{query.id, {}};
  for (const auto& uid : query.uids) {
    // The same conditions as in `own_status`.
    if (const auto status = job_owner_.status(uid);
        status && !status->final_record_pending && membership_.lease_certain())
      reply.states.emplace_back(messages::StatusReply::Entry{static_cast<unsigned>(status->phase),
                                                             status->done, status->running});
    else
      reply.states.emplace_back(std::nullopt);
  }
  message_bus_.send(from, reply);
}

void StatusReader::on_status_reply(const messages::StatusReply& reply) {
  auto node = awaiting_reply_.extract(reply.id);
  if (node.empty()) return;  // it came after the timeout: the store is asked by now
  Batch undecided;
  auto& batch = node.mapped();
  for (std::size_t i = 0; i < batch.size(); ++i) {
    const auto entry = i < reply.states.size() ? reply.states[i] : std::nullopt;
    if (!answer_from_owner(batch[i], entry)) undecided.push_back(std::move(batch[i]));
  }
  enqueue_for_store(std::move(undecided));
}

bool StatusReader::answer_from_owner(const Query& query,
                                     const std::optional<messages::StatusReply::Entry>& entry) {
  // The job's end may have become known here while the reply was under way.
  if (const auto* status = final_statuses_.find(query.uid)) {
    query.done(LookupOutcome::Found, *status);
    return true;
  }
  const bool valid = entry && entry->phase <= static_cast<unsigned>(Phase::Cancelled);
  if (!valid || !membership_.may_act()) return false;
  Status status;
  status.phase = static_cast<Phase>(entry->phase);
  status.done = entry->completed_tasks;
  status.running = entry->running_tasks;
  if (is_final(status.phase)) remember(query.uid, status);
  query.done(LookupOutcome::Found, status);
  return true;
}

void StatusReader::enqueue_for_store(Batch batch) {
  for (auto& query : batch) awaiting_refresh_.push_back(std::move(query));
  refresh_if_needed();
}

void StatusReader::refresh_if_needed() {
  if (refresh_running_ || refresh_scheduled_ || awaiting_refresh_.empty()) return;
  if (!refresh_deferred()) start_refresh();
}

bool StatusReader::refresh_deferred() {
  const bool first = last_refresh_ == net::Time{};
  const auto pause = kMinRefreshInterval - (runtime_.now() - last_refresh_);
  if (first || pause <= 0s) return false;
  refresh_scheduled_ = true;
  runtime_.after(pause, [this] {
    refresh_scheduled_ = false;
    refresh_if_needed();
  });
  return true;
}

/// One refresh answers all queries that came before it was sent: the cache then shows every job
/// that was active at that time.
void StatusReader::start_refresh() {
  refresh_running_ = true;
  last_refresh_ = runtime_.now();
  auto batch = std::make_shared<Batch>(std::exchange(awaiting_refresh_, {}));
  watch_cache_.refresh([this, batch](bool fresh) {
    refresh_running_ = false;
    for (auto& query : *batch) answer_after_refresh(std::move(query), fresh);
    for (auto& [uid, callbacks] : std::exchange(final_records_to_read_, {}))
      read_final_record(uid, std::move(callbacks));
    refresh_if_needed();
  });
}

void StatusReader::answer_after_refresh(Query query, bool fresh) {
  if (const auto* status = final_statuses_.find(query.uid))
    return query.done(LookupOutcome::Found, *status);
  if (!fresh) return query.done(LookupOutcome::Undecided, {});
  if (const auto* job = job_directory_.find(query.uid); job && !job->ended)
    return query.done(LookupOutcome::Found, active_status(query.uid));
  final_records_to_read_[query.uid].push_back(std::move(query.done));
}

/// A job moves from its active to its final record in one transaction: what had no active record
/// and has no final one later was never accepted.
void StatusReader::read_final_record(const std::string& uid, Callbacks callbacks) {
  const LookupCallback done = [callbacks = std::move(callbacks)](LookupOutcome outcome,
                                                                 const Status& status) {
    for (const auto& callback : callbacks) callback(outcome, status);
  };
  if (client_.read_backlog() > kMaxReadBacklog) return done(LookupOutcome::Undecided, {});
  client_.get(
      store::Priority::UserRead, cluster::keys::final_job(uid),
      [this, uid, done](const store::GetResult& result) { on_final_record(uid, result, done); });
}

void StatusReader::on_final_record(const std::string& uid, const store::GetResult& result,
                                   const LookupCallback& done) {
  if (!result.answered) return done(LookupOutcome::Undecided, {});
  if (!result.found) return done(LookupOutcome::NotFound, {});
  const auto phase = final_phase(result.value);
  if (!phase) {
    client_.decode_errors().record(cluster::keys::final_job(uid));
    return done(LookupOutcome::Undecided, {});
  }
  Status status;
  status.phase = *phase;
  if (status.phase == Phase::Done) status.done = task_count(result.value);
  // Whoever wrote it may have ended before it could announce it, and the watches of others may be
  // interrupted.
  if (const auto* job = job_directory_.find(uid); job && !job->ended)
    completion_broadcast_.announce(uid, status);
  remember(uid, status);
  done(LookupOutcome::Found, status);
}
}  // namespace limemast::jobs

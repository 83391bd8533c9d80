#include "jobs/job_submission.hpp"

#include <algorithm>
#include <utility>

#include <spdlog/spdlog.h>

#include "jobs/submission_validation.hpp"
#include "jobs/user_protocol.hpp"

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
using wire::json;
constexpr unsigned kAcceptAttempts = 4;
constexpr auto kAcceptRetryDelay = 100ms;
/// Submissions are rejected while writes would wait longer than this for the store.
constexpr auto kMaxWriteBacklog = 2s;
/// The end of rejecting is logged once the backlog is below this, so that a backlog near the
/// maximum does not log a line for each submission.
constexpr auto kWriteBacklogRecovered = kMaxWriteBacklog / 4;
}  // namespace

void respond_with_status(StatusReader& status_reader, const std::string& uid,
                         net::HttpResponse if_not_found, net::Responder respond) {
  status_reader.look_up(uid, [uid, if_not_found = std::move(if_not_found),
                              respond = std::move(respond)](LookupOutcome outcome, Status status) {
    switch (outcome) {
      case LookupOutcome::Found:
        return respond(user_protocol::status_response(uid, status));
      case LookupOutcome::NotFound:
        return respond(if_not_found);
      case LookupOutcome::Unknown:
        return respond(user_protocol::undecided());
    }
  });
}

JobSubmission::JobSubmission(net::Runtime& runtime, const wire::Settings& settings,
                             store::Client& client, cluster::Membership& membership,
                             cluster::JobDirectory& job_directory, machines::Registry& registry,
                             JobOwner& job_owner, StatusReader& status_reader)
    : runtime_(runtime),
      settings_(settings),
      client_(client),
      membership_(membership),
      job_directory_(job_directory),
      registry_(registry),
      job_owner_(job_owner),
      status_reader_(status_reader) {}

void JobSubmission::submit(const std::string& body, net::Responder respond) {
  std::string invalid_field;
  auto spec = wire::parse_submission(json::parse(body, nullptr, false), invalid_field);
  if (!spec) return respond(user_protocol::bad_request(invalid_field));
  if (!membership_.may_act() || registry_.types().empty())
    return respond(user_protocol::not_ready());
  if (is_known(spec->uid))
    return respond_with_status(status_reader_, spec->uid, user_protocol::undecided(),
                               std::move(respond));
  // A job that was accepted before is not rejected when it is submitted again, even if the
  // available machine types have changed or another member receives it.
  if (const auto reason = infeasibility_reason(*spec, settings_, registry_))
    return respond_with_status(status_reader_, spec->uid, user_protocol::unprocessable(*reason),
                               std::move(respond));
  if (const auto backlog = excessive_write_backlog()) return respond(user_protocol::busy(*backlog));
  // Unknown machine types are dropped, because a long list could exceed the store's value size.
  if (spec->types)
    std::erase_if(*spec->types, [&](const auto& type) { return !registry_.type(type); });
  accept(*spec, kAcceptAttempts, std::move(respond));
}

bool JobSubmission::is_known(const std::string& uid) const {
  return job_owner_.status(uid) || status_reader_.has_ended(uid) || job_directory_.find(uid);
}

std::optional<net::Duration> JobSubmission::excessive_write_backlog() {
  const auto backlog = client_.write_backlog();
  const bool excessive = backlog > kMaxWriteBacklog;
  const bool changed = excessive ? !rejecting_ : rejecting_ && backlog < kWriteBacklogRecovered;
  if (changed) {
    rejecting_ = excessive;
    spdlog::info("{} submissions: key-value store write backlog is {:.1f} s, epoch {}",
                 excessive ? "rejecting" : "accepting all", net::to_seconds(backlog).count(),
                 membership_.epoch().number);
  }
  return excessive ? std::optional(backlog) : std::nullopt;
}

void JobSubmission::accept(const wire::JobSpec& spec, unsigned attempts_left,
                           net::Responder respond) {
  if (!membership_.may_act() || attempts_left == 0) return respond(user_protocol::busy());
  const bool is_long = spec.service || spec.gang || spec.estimate > settings_.tuning.long_threshold;
  const auto conditions =
      membership_.ownership_guards({{cluster::keys::active_job(spec.uid), store::kAbsent},
                                    {cluster::keys::final_job(spec.uid), store::kAbsent}});
  const auto record = cluster::JobDirectory::record(
      spec, membership_.self(), membership_.epoch().number, is_long, runtime_.wall());
  client_.txn(store::Priority::UserWrite, conditions,
              {{cluster::keys::active_job(spec.uid), record}},
              [this, spec, attempts_left,
               respond = std::move(respond)](const store::TxnResult& result) mutable {
                on_accept_result(spec, attempts_left, result, std::move(respond));
              });
}

void JobSubmission::on_accept_result(const wire::JobSpec& spec, unsigned attempts_left,
                                     const store::TxnResult& result, net::Responder respond) {
  if (result.status == store::TxnStatus::Ok)
    return respond(
        user_protocol::status_response(spec.uid, {}, user_protocol::http_status::kCreated));
  if (result.status != store::TxnStatus::Conflict)
    return respond(user_protocol::store_unavailable());
  const bool accepted_before =
      std::any_of(result.failed.begin(), result.failed.end(), [&](const std::string& key) {
        return key == cluster::keys::active_job(spec.uid) ||
               key == cluster::keys::final_job(spec.uid);
      });
  if (accepted_before)
    return respond_with_status(status_reader_, spec.uid, user_protocol::undecided(),
                               std::move(respond));
  // Only the membership guards failed, so the write is retried in the new epoch.
  runtime_.after(kAcceptRetryDelay,
                 [this, spec, attempts_left, respond = std::move(respond)]() mutable {
                   accept(spec, attempts_left - 1, std::move(respond));
                 });
}
}  // namespace limemast::jobs

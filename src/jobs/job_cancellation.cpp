#include "jobs/job_cancellation.hpp"

#include "jobs/user_protocol.hpp"

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t kMaxPendingCancellations = 500;
/// How long a reply from another member is awaited.
constexpr auto kOtherOwnerTimeout = 1500ms;
/// How long this controller's own job owner, which has to write the final record, is awaited.
constexpr auto kOwnJobOwnerTimeout = 4s;
}  // namespace

JobCancellation::JobCancellation(net::Runtime& runtime, cluster::Membership& membership,
                                 cluster::MessageBus& message_bus,
                                 cluster::JobDirectory& job_directory, JobOwner& job_owner,
                                 StatusReader& status_reader)
    : runtime_(runtime),
      membership_(membership),
      message_bus_(message_bus),
      job_directory_(job_directory),
      job_owner_(job_owner),
      status_reader_(status_reader) {
  message_bus_.on<messages::CancelJob>(
      [this](const ControllerId& from, const messages::CancelJob& message) {
        on_cancel(from, message);
      });
  message_bus_.on<messages::CancelReply>(
      [this](const ControllerId&, const messages::CancelReply& message) { on_reply(message); });
}

void JobCancellation::on_cancel(const ControllerId& from, const messages::CancelJob& message) {
  job_owner_.cancel(message.uid, [this, from, id = message.id](std::optional<Phase> phase) {
    message_bus_.send(from, messages::CancelReply{id, phase ? name_of(*phase) : ""});
  });
}

void JobCancellation::on_reply(const messages::CancelReply& message) {
  const auto node = pending_.extract(message.id);
  if (node.empty()) return;
  const auto& [respond, uid] = node.mapped();
  const bool decided = !message.phase.empty();
  respond(decided ? user_protocol::final_phase_response(uid, message.phase)
                  : user_protocol::undecided());
}

void JobCancellation::cancel(const std::string& uid, net::Responder respond) {
  if (forward_to_owner(uid, respond)) return;
  status_reader_.look_up(
      uid, [this, respond = std::move(respond), uid](LookupOutcome outcome, Status status) {
        if (outcome == LookupOutcome::NotFound) return respond(user_protocol::not_found());
        const bool found = outcome == LookupOutcome::Found;
        if (found && (status.phase == Phase::Done || status.phase == Phase::Cancelled))
          return respond(user_protocol::final_phase_response(uid, name_of(status.phase)));
        // Another controller accepted the job just now, and the look-up has refreshed the cache.
        if (!found || !forward_to_owner(uid, respond)) respond(user_protocol::undecided());
      });
}

std::optional<ControllerId> JobCancellation::known_owner(const std::string& uid) const {
  if (job_owner_.status(uid)) return membership_.self();
  const auto* job = job_directory_.find(uid);
  if (!job || job->ended) return std::nullopt;
  const auto owner = job_directory_.owner_of(uid);
  // This controller owns the job by the membership epoch but has not taken it up yet.
  if (owner == membership_.self()) return std::nullopt;
  return owner;
}

bool JobCancellation::forward_to_owner(const std::string& uid, const net::Responder& respond) {
  if (pending_.size() >= kMaxPendingCancellations || !membership_.may_act()) return false;
  const auto owner = known_owner(uid);
  if (!owner) return false;
  const auto id = next_id_++;
  pending_[id] = {respond, uid};
  message_bus_.send(*owner, messages::CancelJob{id, uid});
  const bool own = *owner == membership_.self();
  runtime_.after(own ? net::Duration(kOwnJobOwnerTimeout) : net::Duration(kOtherOwnerTimeout),
                 [this, id] {
                   if (const auto node = pending_.extract(id); !node.empty())
                     node.mapped().respond(user_protocol::undecided());
                 });
  return true;
}
}  // namespace limemast::jobs

#include "jobs/completion_broadcast.hpp"

#include <algorithm>

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
/// The maximum number of unacknowledged announcements. Beyond it the oldest are dropped, and their
/// receivers stop the job's tasks when their lease expires.
constexpr std::size_t kMaxAnnouncements = 2'000;
constexpr auto kResendDelay = 1s;
}  // namespace

CompletionBroadcast::CompletionBroadcast(net::Runtime& runtime, const wire::Settings& settings,
                                         const cluster::Membership& membership,
                                         cluster::MessageBus& message_bus,
                                         FinalStatusCallback on_final_status)
    : runtime_(runtime),
      settings_(settings),
      membership_(membership),
      message_bus_(message_bus),
      on_final_status_(std::move(on_final_status)) {
  message_bus_.on<messages::JobEnded>(
      [this](const ControllerId& from, const auto& message) { on_job_ended(from, message); });
  message_bus_.on<messages::JobEndedAck>(
      [this](const ControllerId& from, const auto& message) { on_acknowledged(from, message); });
}

void CompletionBroadcast::on_job_ended(const ControllerId& from,
                                       const messages::JobEnded& message) {
  const auto phase = final_phase(message.phase);
  if (!phase) return;
  Status final_status;
  final_status.phase = *phase;
  if (*phase == Phase::Done) final_status.done = message.completed_tasks;
  message_bus_.send(from, messages::JobEndedAck{message.uid});
  on_final_status_(message.uid, final_status);
}

void CompletionBroadcast::on_acknowledged(const ControllerId& from,
                                          const messages::JobEndedAck& message) {
  const auto it = std::find_if(announcements_.begin(), announcements_.end(),
                               [&](const Announcement& sent) { return sent.uid == message.uid; });
  if (it == announcements_.end()) return;
  it->unacknowledged.erase(from);
  if (it->unacknowledged.empty()) announcements_.erase(it);
}

void CompletionBroadcast::announce(const std::string& uid, const Status& final_status) {
  Announcement announcement{uid, final_status, membership_.epoch().members, runtime_.now()};
  announcement.unacknowledged.erase(membership_.self());
  for (const auto& controller : announcement.unacknowledged) send(controller, announcement);
  if (announcements_.size() >= kMaxAnnouncements) announcements_.pop_front();
  if (!announcement.unacknowledged.empty()) announcements_.push_back(std::move(announcement));
  on_final_status_(uid, final_status);
}

void CompletionBroadcast::tick() {
  const auto now = runtime_.now();
  const auto give_up_after = net::to_duration(settings_.cancel_timeout);
  // After the cancel timeout no receiver has tasks left to stop.
  std::erase_if(announcements_, [&](Announcement& sent) {
    std::erase_if(sent.unacknowledged, [&](const ControllerId& controller) {
      return !membership_.is_member(controller);
    });
    return sent.unacknowledged.empty() || now - sent.first_sent > give_up_after;
  });
  for (const auto& sent : announcements_) {
    if (now - sent.first_sent <= kResendDelay) continue;
    for (const auto& controller : sent.unacknowledged) send(controller, sent);
  }
}

void CompletionBroadcast::send(const ControllerId& to, const Announcement& announcement) {
  const auto& status = announcement.final_status;
  message_bus_.send(to, messages::JobEnded{announcement.uid, name_of(status.phase), status.done});
}
}  // namespace limemast::jobs

#include "machines/command_queue.hpp"

#include <utility>

namespace limemast::machines {
namespace {
/// Attempts; most machines hold fewer at once.
constexpr std::size_t kMaxResponseStarts = 32;
}  // namespace

bool CommandQueue::has_pending_forget_of_direct_start() const {
  return std::any_of(pending_.begin(), pending_.end(), [&](const wire::Command& command) {
    return command.kind == wire::CommandKind::Forget &&
           !is_started_in_response(TaskAttempt::of(command));
  });
}

void CommandQueue::append_once(const wire::Command& command) {
  const auto queued = std::find_if(pending_.begin(), pending_.end(), [&](const auto& other) {
    return other.kind == command.kind && same_attempt(other, command);
  });
  if (queued == pending_.end()) return pending_.push_back(command);
  queued->grace_period = std::min(queued->grace_period, command.grace_period);
}

std::vector<wire::Command> CommandQueue::take_for_response(std::uint64_t incarnation,
                                                           std::uint64_t sequence) {
  auto commands = std::exchange(pending_, {});
  for (auto& start : starts_) {
    if (start.route != DeliveryRoute::Queued || start.incarnation != incarnation) continue;
    start.route = DeliveryRoute::Response;
    start.sequence = sequence;
    commands.push_back(start.command);
    response_starts_.push_back(TaskAttempt::of(start.command));
  }
  if (response_starts_.size() > kMaxResponseStarts)
    response_starts_.erase(response_starts_.begin(), response_starts_.end() - kMaxResponseStarts);
  return commands;
}

std::vector<wire::Command> CommandQueue::take_for_request(std::uint64_t incarnation,
                                                          ids::FencingToken token,
                                                          bool with_starts) {
  auto commands = std::exchange(pending_, {});
  if (!with_starts) return commands;
  for (auto& start : starts_) {
    if (start.route != DeliveryRoute::Queued || start.incarnation != incarnation) continue;
    start.route = DeliveryRoute::Direct;
    start.fencing_token = token;
    start.acknowledged = false;
    commands.push_back(start.command);
  }
  return commands;
}
}  // namespace limemast::machines

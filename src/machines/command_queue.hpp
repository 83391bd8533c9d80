#pragma once
// The commands for one machine: stops and forgets until they are sent, and starts until it is
// proved whether they arrived.
#include <vector>

#include "machines/delivery_resolution.hpp"
#include "machines/task_attempt.hpp"

namespace limemast::machines {
class CommandQueue {
 public:
  /// Queues a stop or forget.
  void append(const wire::Command& command) { pending_.push_back(command); }
  /// Queues a stop or forget unless one for the same attempt is already queued, since successive
  /// heartbeats may each request it. The shorter of the two grace periods applies.
  void append_once(const wire::Command& command);
  /// Number of stops and forgets that were not sent.
  std::size_t pending_count() const { return pending_.size(); }
  /// Whether a forget was not sent.
  bool has_pending_forget() const {
    return std::any_of(pending_.begin(), pending_.end(), [](const wire::Command& command) {
      return command.kind == wire::CommandKind::Forget;
    });
  }
  void clear_pending() { pending_.clear(); }

  /// Queues a start.
  void add_start(InFlightStart start) { starts_.push_back(std::move(start)); }
  /// Unresolved starts in the order in which they were added.
  const std::vector<InFlightStart>& starts() const { return starts_; }
  /// Whether a start of the attempt that `source` names is unresolved.
  template <class Source>
  bool has_start(const Source& source) const {
    return std::any_of(starts_.begin(), starts_.end(),
                       [&](const auto& start) { return same_attempt(start.command, source); });
  }
  /// Removes the starts for which `matches` is true. It is called once for each start, in order.
  template <class Matches>
  void remove_starts_if(Matches matches) {
    std::erase_if(starts_, matches);
  }
  /// Marks the starts for which `matches` is true as executed by the worker.
  template <class Matches>
  void acknowledge_if(Matches matches) {
    for (auto& start : starts_)
      if (matches(start)) start.acknowledged = true;
  }

  /// Takes the commands for the response to the heartbeat `sequence` of this incarnation, in the
  /// order of execution: all stops and forgets, then the unsent starts for this incarnation.
  std::vector<wire::Command> take_for_response(std::uint64_t incarnation, std::uint64_t sequence);
  /// Takes the commands for a direct request with `token`: all stops and forgets, then, if
  /// `with_starts` is set, the unsent starts for this incarnation.
  std::vector<wire::Command> take_for_request(std::uint64_t incarnation, ids::FencingToken token,
                                              bool with_starts);

 private:
  std::vector<wire::Command> pending_;
  std::vector<InFlightStart> starts_;
};
}  // namespace limemast::machines

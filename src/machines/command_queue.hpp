#pragma once
// The commands for one machine: stops and forgets until they are sent, and starts until it is
// proved whether they arrived.
#include <algorithm>
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
  /// Whether there is an unsent forget of an attempt that a direct request may have started. A copy
  /// of that request can arrive after the forget. The response to a heartbeat cannot, because the
  /// worker drops late responses. An attempt that this queue did not start counts as direct.
  bool has_pending_forget_of_direct_start() const;
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
  bool is_started_in_response(const TaskAttempt& attempt) const {
    return std::find(response_starts_.begin(), response_starts_.end(), attempt) !=
           response_starts_.end();
  }

  std::vector<wire::Command> pending_;
  std::vector<InFlightStart> starts_;
  /// The attempts whose start was last taken for a response, the oldest first. A missing entry only
  /// makes a forget raise the token needlessly.
  std::vector<TaskAttempt> response_starts_;
};
}  // namespace limemast::machines

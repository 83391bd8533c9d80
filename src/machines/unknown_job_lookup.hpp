#pragma once
// Looks up jobs that appear in heartbeats but are unknown to this controller.
#include <functional>
#include <map>

#include "machines/gateway_context.hpp"

namespace limemast::machines {
/// A job's record is written before its first task starts. If the job is unknown here, either the
/// watch cache lags, or the job ended before this controller joined. In the second case there may
/// be no controller left that knows the job and stops its tasks.
class UnknownJobLookup {
 public:
  /// Called when the lookup shows that a job has ended.
  using OnEnded = std::function<void(const std::string& uid)>;
  UnknownJobLookup(const GatewayContext& context, OnEnded on_ended);

  /// Reads the job's records from the store, unless they were read shortly before.
  void look_up(const std::string& uid);
  /// Forgets earlier lookups, so that any job may be looked up again at once.
  void reset() { looked_up_.clear(); }

 private:
  void look_up_active(const std::string& uid);
  /// `record`: the job's final record; nullptr if the store has none.
  void mark_ended(const std::string& uid, const wire::json* record);

  GatewayContext context_;
  OnEnded on_ended_;
  std::map<std::string, net::Time> looked_up_;
};
}  // namespace limemast::machines

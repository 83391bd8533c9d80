#include "app/options.hpp"

#include <sstream>

namespace limemast::app {
namespace {
using wire::Seconds;
using S = wire::Settings;
constexpr auto kNumber = Option::Form::Number;
constexpr auto kWhole = Option::Form::Whole;
constexpr auto kFlag = Option::Form::Flag;
template <class T>
void put(T& field, double value) {
  if constexpr (std::is_same_v<T, Seconds>)
    field = Seconds(value);
  else
    field = static_cast<T>(value);
}
template <class T>
double value_of(const T& field) {
  if constexpr (std::is_same_v<T, Seconds>)
    return field.count();
  else
    return static_cast<double>(field);
}
}  // namespace

// Generates getter and setter from one field name, so that both always refer to the same field.
#define FIELD(path) \
  [](const S& s) { return value_of(s.path); }, [](S& s, double v) { put(s.path, v); }

const std::vector<Option>& options() {
  static const std::vector<Option> all = {
      {"scheduling", "short_share", kNumber, 0, 1, "share",
       "share of the machines that take no long tasks", FIELD(tuning.short_share), true},
      {"scheduling", "long_threshold_s", kNumber, 0, 86400, "seconds",
       "a job is long if the average run time of its tasks exceeds this",
       FIELD(tuning.long_threshold), true},
      {"scheduling", "min_probes", kWhole, 1, 1000, "probes",
       "K: the minimum number of probes that a short job sends", FIELD(tuning.min_probes), true},
      {"scheduling", "bypass_cap", kNumber, 0, 1000, "times",
       "a queued probe may be bypassed for up to this many times its own job's estimate",
       FIELD(tuning.bypass_cap), true},
      {"scheduling", "map_interval_s", kNumber, 0.1, 60, "seconds",
       "interval at which the leader sends its map of long tasks", FIELD(tuning.map_interval),
       true},
      {"scheduling", "progress_interval_s", kNumber, 0.5, 60, "seconds",
       "interval at which a controller records the progress of the jobs that it owns",
       FIELD(tuning.progress_interval), true},
      {"scheduling", "idle_return_s", kNumber, 0, 3600, "seconds",
       "a machine that is idle for this long and not needed is returned to the cloud",
       FIELD(tuning.idle_return), true},
      {"scheduling", "overflow", kNumber, 0, 1, "share",
       "share of the capacity that arrays lack to meet their deadlines that is bought as ordinary "
       "machines when no spot machine is available",
       FIELD(tuning.on_demand_fraction), true},
      {"scheduling", "last_resort", kFlag, 0, 1, "",
       "a class that is served less than half, while others are served almost fully, gets the next "
       "free capacity; production jobs and guarantees are exempt",
       FIELD(tuning.prioritize_underserved)},
      {"operator", "enabled", kFlag, 0, 1, "", "serve the operator API under /operator/v1/",
       FIELD(operators.enabled)},
      {"operator", "requests_per_s", kNumber, 0.1, 10000, "requests a second",
       "operator requests that one controller answers; further requests are refused",
       FIELD(operators.max_requests_per_s)},
      {"operator", "page", kWhole, 1, 1000, "entries", "maximum number of entries in one answer",
       FIELD(operators.page_size)},
      {"operator", "patience_s", kNumber, 0.05, 10, "seconds",
       "time to wait for other controllers' parts of an answer", FIELD(operators.peer_timeout)},
      {"operator", "history_every_s", kNumber, 1, 3600, "seconds",
       "interval between two samples of the history", FIELD(operators.history_interval)},
      {"operator", "history_kept", kWhole, 1, 2000, "samples",
       "samples of the history that each controller keeps", FIELD(operators.history_size)},
      {"operator", "rehearse_per_s", kNumber, 0, 1000, "requests a second",
       "operator requests that a controller sends to itself, to measure their cost; 0: never",
       FIELD(operators.self_requests_per_s)},
      {"drains", "patience_s", kNumber, 0, 86400, "seconds",
       "tasks that save no checkpoint may keep running on a drained machine for this long",
       FIELD(drains.no_checkpoint_grace_period)},
      {"drains", "moves", kWhole, 1, 1000, "tasks",
       "maximum number of tasks that drains have stopped and that do not run elsewhere yet",
       FIELD(drains.max_moving_tasks)},
      {"start", "bind_patience_s", kNumber, 0, 3600, "seconds",
       "binding an address that a previous process still holds is retried for this long",
       FIELD(start.bind_timeout)},
      {"start", "ask_unheard", kFlag, 0, 1, "",
       "after all controllers have ended at the same time, ask machines for their state instead of "
       "waiting for their reports",
       FIELD(start.query_machines_after_restart)},
      {"overload", "lag_s", kNumber, 0, 10, "seconds",
       "a controller whose event loop lags by more than this admits fewer submissions, then fewer "
       "queries; 0: admits all",
       FIELD(overload.max_loop_lag)},
      {"overload", "balance", kFlag, 0, 1, "",
       "machines are moved from the controller with the most work to the one with the least",
       FIELD(overload.rebalance_machines)},
      {"log", "json", kFlag, 0, 1, "", "write the log as JSON, one object per line",
       FIELD(json_logs)},
  };
  return all;
}
#undef FIELD

std::string explain(const wire::Settings& settings) {
  std::ostringstream out;
  std::string section;
  for (const auto& o : options()) {
    if (section != o.section)
      out << (section.empty() ? "" : "\n") << '[' << (section = o.section) << "]\n";
    out << "# " << o.description;
    if (o.form != kFlag) out << " (" << o.unit << ", " << o.min << " to " << o.max << ")";
    const auto v = o.get(settings);
    out << '\n' << o.name << " = ";
    if (o.form == kFlag)
      out << (v != 0 ? "true" : "false");
    else
      out << v;
    out << '\n';
  }
  return out.str();
}
}  // namespace limemast::app

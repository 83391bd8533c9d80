#include "app/options.hpp"

#include <sstream>

namespace limemast::app {
namespace {
using wire::Seconds;
using S = wire::Settings;
constexpr auto kNumber = Option::Form::DenseId;
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

// A field is named once: what is shown and what is set cannot come apart.
#define FIELD(path) \
  [](const S& s) { return value_of(s.path); }, [](S& s, double v) { put(s.path, v); }

const std::vector<Option>& options() {
  static const std::vector<Option> all = {
      {"scheduling", "short_share", kNumber, 0, 1, "share", "machines that take no long tasks",
       FIELD(tuning.short_share), true},
      {"scheduling", "long_threshold_s", kNumber, 0, 86400, "seconds",
       "a job whose tasks average more is long", FIELD(tuning.long_threshold), true},
      {"scheduling", "min_probes", kWhole, 1, 1000, "probes",
       "K: the fewest probes that a short job sends", FIELD(tuning.min_probes), true},
      {"scheduling", "bypass_cap", kNumber, 0, 1000, "times",
       "how often its own estimate a probe may be passed by", FIELD(tuning.bypass_cap), true},
      {"scheduling", "map_interval_s", kNumber, 0.1, 60, "seconds",
       "how often the leader sends its map of long tasks", FIELD(tuning.map_interval), true},
      {"scheduling", "progress_interval_s", kNumber, 0.5, 60, "seconds",
       "how often an owner records the progress of its jobs", FIELD(tuning.progress_interval),
       true},
      {"scheduling", "idle_return_s", kNumber, 0, 3600, "seconds",
       "a machine idle for this long is given back if it is not needed", FIELD(tuning.idle_return),
       true},
      {"scheduling", "overflow", kNumber, 0, 1, "share",
       "of what arrays lack to be in time, bought as ordinary machines when no spot machine is to "
       "be had",
       FIELD(tuning.on_demand_fraction), true},
      {"scheduling", "last_resort", kFlag, 0, 1, "",
       "a class under half served, beside others nearly whole, gets the next room; production and "
       "guarantees excepted",
       FIELD(tuning.prioritize_underserved)},
      {"operator", "enabled", kFlag, 0, 1, "", "serve the operators' interface under /operator/v1/",
       FIELD(operators.enabled)},
      {"operator", "requests_per_s", kNumber, 0.1, 10000, "requests a second",
       "answered by one controller; more are turned away", FIELD(operators.max_requests_per_s)},
      {"operator", "page", kWhole, 1, 1000, "entries", "of one answer at the most",
       FIELD(operators.page_size)},
      {"operator", "patience_s", kNumber, 0.05, 10, "seconds",
       "waited for other controllers' parts of an answer", FIELD(operators.peer_timeout)},
      {"operator", "history_every_s", kNumber, 1, 3600, "seconds",
       "between two samples of the history", FIELD(operators.history_interval)},
      {"operator", "history_kept", kWhole, 1, 2000, "samples", "kept by each controller",
       FIELD(operators.history_size)},
      {"operator", "rehearse_per_s", kNumber, 0, 1000, "requests a second",
       "a controller asks itself, to measure what being asked costs; 0: never",
       FIELD(operators.self_requests_per_s)},
      {"drains", "patience_s", kNumber, 0, 86400, "seconds",
       "tasks that save nothing may run on for this long on a drained machine",
       FIELD(drains.no_checkpoint_grace_period)},
      {"drains", "moves", kWhole, 1, 1000, "tasks",
       "stopped for drains and not running elsewhere yet, at the most",
       FIELD(drains.max_moving_tasks)},
      {"start", "bind_patience_s", kNumber, 0, 3600, "seconds",
       "an address that a former process still holds is tried again for this long",
       FIELD(start.bind_timeout)},
      {"start", "ask_unheard", kFlag, 0, 1, "",
       "after all controllers ended at once, ask machines to show themselves instead of waiting "
       "for their reports",
       FIELD(start.query_machines_after_restart)},
      {"overload", "lag_s", kNumber, 0, 10, "seconds",
       "a controller further behind than this takes fewer submissions, then fewer questions; 0: "
       "takes all",
       FIELD(overload.max_loop_lag)},
      {"overload", "balance", kFlag, 0, 1, "",
       "machines move from the controller with the most work to the one with the least",
       FIELD(overload.rebalance_machines)},
      {"log", "json", kFlag, 0, 1, "", "logs as JSON, one object a line", FIELD(json_logs)},
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
    out << "# " << o.meaning;
    if (o.form != kFlag) out << " (" << o.unit << ", " << o.least << " to " << o.most << ")";
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

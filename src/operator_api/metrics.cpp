#include "operator_api/metrics.hpp"

#include <sstream>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace limemast::operator_api {
namespace {
using namespace prometheus;
const Histogram::BucketBoundaries kCallSecondsBuckets{0.002, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                      0.25,  0.5,   1,    2.5,   5};
const Histogram::BucketBoundaries kLoopDelaySecondsBuckets{0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                           0.1,   0.2,   0.5,   1,    5};
const Histogram::BucketBoundaries kDeferralSecondsBuckets{0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
// Labels in the order of the enumerators.
constexpr const char* kCommandLabels[] = {"start", "stop", "forget"};
constexpr const char* kRouteLabels[] = {"queued", "response", "direct"};
constexpr const char* kOutcomeLabels[] = {"executed", "rejected", "unanswered", "unconfirmed"};
constexpr const char* kRaiseLabels[] = {"forget", "unanswered_start", "attached", "adopted"};
constexpr const char* kServiceLabels[] = {"state", "cloud", "worker", "other"};
/// The label of an HTTP status. Statuses are grouped, so that other services cannot create an
/// unlimited number of time series.
const char* status_class(int status) {
  if (status == 0) return "none";
  if (status == 429) return "429";
  return status < 300 ? "2xx" : status < 500 ? "4xx" : "5xx";
}
}  // namespace

struct Metrics::Impl {
  Registry registry;
  Family<Counter>& calls = BuildCounter()
                               .Name("limemast_calls_total")
                               .Help("Calls to other services, by answer")
                               .Register(registry);
  Family<Histogram>& seconds =
      BuildHistogram().Name("limemast_call_seconds").Help("How long calls took").Register(registry);
  Histogram& delay = BuildHistogram()
                         .Name("limemast_loop_delay_seconds")
                         .Help("How late timers fired")
                         .Register(registry)
                         .Add({}, kLoopDelaySecondsBuckets);
  Family<Counter>& requests = BuildCounter()
                                  .Name("limemast_operator_requests_total")
                                  .Help("Requests of operators, by answer")
                                  .Register(registry);
  Counter& lost = BuildCounter()
                      .Name("limemast_grants_lost_total")
                      .Help("Grants that ended")
                      .Register(registry)
                      .Add({});
  Family<Counter>& commands = BuildCounter()
                                  .Name("limemast_commands_total")
                                  .Help("Commands to workers, by kind, route and outcome")
                                  .Register(registry);
  Family<Counter>& raises = BuildCounter()
                                .Name("limemast_fencing_token_raises_total")
                                .Help("Raises of the fencing token of a machine, by reason")
                                .Register(registry);
  Counter& reappeared = BuildCounter()
                            .Name("limemast_attempts_reappeared_total")
                            .Help(
                                "Attempts on a machine that its controller had forgotten or had "
                                "not started there")
                            .Register(registry)
                            .Add({});
  Histogram& deferral = BuildHistogram()
                            .Name("limemast_forget_deferral_seconds")
                            .Help("For how long forgets were deferred")
                            .Register(registry)
                            .Add({}, kDeferralSecondsBuckets);
  Family<Gauge>& node = BuildGauge()
                            .Name("limemast_node")
                            .Help("What this controller is and knows")
                            .Register(registry);
  Family<Gauge>& jobs = BuildGauge()
                            .Name("limemast_waiting_jobs")
                            .Help("Jobs of this controller that wait, by cause")
                            .Register(registry);
  Family<Gauge>& tasks =
      BuildGauge().Name("limemast_waiting_tasks").Help("Their tasks that wait").Register(registry);
  Family<Gauge>& served =
      BuildGauge()
          .Name("limemast_served")
          .Help("What was asked for of a class or team and what came of it, as the leader sees it")
          .Register(registry);
  Family<Gauge>& waited = BuildGauge()
                              .Name("limemast_waited_task_seconds")
                              .Help("Time that tasks have waited, by cause")
                              .Register(registry);
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::call(Service service, int status, net::Duration took) {
  const auto* name = kServiceLabels[static_cast<int>(service)];
  impl_->calls.Add({{"service", name}, {"answer", status_class(status)}}).Increment();
  impl_->seconds.Add({{"service", name}}, kCallSecondsBuckets)
      .Observe(net::to_seconds(took).count());
}
void Metrics::loop_delay(net::Duration late) {
  impl_->delay.Observe(std::max(0.0, net::to_seconds(late).count()));
}
void Metrics::operator_request(int status) {
  impl_->requests.Add({{"answer", status_class(status)}}).Increment();
}
void Metrics::lease_lost() { impl_->lost.Increment(); }

void Metrics::command_sent(wire::CommandKind kind, machines::DeliveryRoute route,
                           machines::CommandOutcome outcome) {
  impl_->commands
      .Add({{"kind", kCommandLabels[static_cast<int>(kind)]},
            {"route", kRouteLabels[static_cast<int>(route)]},
            {"outcome", kOutcomeLabels[static_cast<int>(outcome)]}})
      .Increment();
}
void Metrics::token_raised(machines::TokenRaiseReason reason) {
  impl_->raises.Add({{"reason", kRaiseLabels[static_cast<int>(reason)]}}).Increment();
}
void Metrics::attempt_reappeared() { impl_->reappeared.Increment(); }
void Metrics::deferred_forget_sent(net::Duration delay) {
  impl_->deferral.Observe(net::to_seconds(delay).count());
}

std::string Metrics::text(const Gauges& g) {
  auto set = [&](const char* what, double value) { impl_->node.Add({{"what", what}}).Set(value); };
  set("leads", g.leads);
  set("entitled", g.may_act);
  set("generation", static_cast<double>(g.epoch.value()));
  set("members", static_cast<double>(g.members));
  set("state_age_seconds", g.state_age_s);
  set("machines", static_cast<double>(g.machines));
  set("open_jobs", static_cast<double>(g.open_jobs));
  set("owned_jobs", static_cast<double>(g.owned_jobs));
  set("drains", static_cast<double>(g.drains));
  for (const auto cause : diagnostics::kAllPendingReasons) {
    const auto& sum = g.waits[static_cast<std::size_t>(cause)];
    const Labels labels{{"cause", diagnostics::name_of(cause)}};
    impl_->jobs.Add(labels).Set(static_cast<double>(sum.jobs));
    impl_->tasks.Add(labels).Set(static_cast<double>(sum.tasks));
    impl_->waited.Add(labels).Set(sum.task_seconds);
  }
  set("unreadable", static_cast<double>(g.decode_errors));
  if (g.served) {
    auto set_served = [&](const char* of, const std::string& name, const char* since,
                          const diagnostics::WorkCounts& s) {
      auto set_gauge = [&](const char* what, double value) {
        impl_->served.Add({{"of", of}, {"name", name}, {"since", since}, {"what", what}})
            .Set(value);
      };
      set_gauge("tasks_asked", s.requested), set_gauge("tasks_started", s.started),
          set_gauge("tasks_done", s.done), set_gauge("tasks_in_time", s.done_in_time);
      set_gauge("replica_seconds_asked", s.replica_seconds_requested),
          set_gauge("replica_seconds_up", s.replica_seconds_running);
      set_gauge("share", s.served_fraction().value_or(1));
    };
    for (const auto& [of, all] :
         {std::pair("class", &g.served->classes()), std::pair("team", &g.served->teams())})
      for (const auto& [name, sums] : *all)
        set_served(of, name, "window", sums.window), set_served(of, name, "start", sums.total);
  }
  std::ostringstream out;
  TextSerializer().Serialize(out, impl_->registry.Collect());
  return out.str();
}

void MeasuredRuntime::http(const net::Endpoint& to, net::HttpRequest request, net::Duration timeout,
                           std::function<void(net::HttpResult)> done) {
  using Service = Metrics::Service;
  const auto service = to == state_   ? Service::State
                       : to == cloud_ ? Service::Cloud
                                      : Service::Worker;
  // A watch request is answered only when a key changes, so its duration is not a latency.
  const bool watch = service == Service::State && request.path.starts_with("/changes");
  inner_.http(
      to, std::move(request), timeout,
      [this, service, watch, sent = inner_.now(), done = std::move(done)](net::HttpResult r) {
        if (!watch) metrics_.call(service, r.status, inner_.now() - sent);
        done(std::move(r));
      });
}
}  // namespace limemast::operator_api

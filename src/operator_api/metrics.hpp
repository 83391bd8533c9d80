#pragma once
#include <memory>

#include "diagnostics/pending_reason_table.hpp"
#include "diagnostics/slo_attainment.hpp"
#include "ids/fencing.hpp"
#include "machines/command_metrics.hpp"

namespace limemast::operator_api {
/// Values of the gauges, read when the metrics are requested.
struct Gauges {
  bool leads = false;
  bool may_act = false;
  ids::EpochNumber epoch{};
  std::size_t members = 0;
  double state_age_s = 0;  ///< since the key-value store last renewed this controller's lease
  std::size_t machines = 0;
  std::size_t open_jobs = 0;
  std::size_t owned_jobs = 0;
  std::size_t drains = 0;
  diagnostics::PendingReasonTable::Sums waits{};
  std::uint64_t decode_errors = 0;  ///< records and messages that could not be decoded
  const diagnostics::SloAttainment* served = nullptr;  ///< filled on the leader, empty elsewhere
};

/// Metrics of the process in the Prometheus text format. They outlive controller incarnations, so
/// that counters never decrease.
class Metrics final : public machines::CommandMetrics {
 public:
  Metrics();
  ~Metrics() override;
  enum class Service { State, Cloud, Worker, Other };
  void call(Service service, int status, net::Duration took);
  void loop_delay(net::Duration late);
  void operator_request(int status);
  void lease_lost();
  void command_sent(wire::CommandKind kind, machines::DeliveryRoute route,
                    machines::CommandOutcome outcome) override;
  void token_raised(machines::TokenRaiseReason reason) override;
  void attempt_reappeared() override;
  void deferred_forget_sent(net::Duration delay) override;
  /// Updates the gauges and returns all metrics in the text format.
  std::string text(const Gauges& gauges);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Forwards all calls to another runtime and records the status and duration of HTTP calls.
class MeasuredRuntime final : public net::Runtime {
 public:
  MeasuredRuntime(net::Runtime& inner, Metrics& metrics, net::Endpoint state, net::Endpoint cloud)
      : inner_(inner), metrics_(metrics), state_(std::move(state)), cloud_(std::move(cloud)) {}
  net::Time now() const override { return inner_.now(); }
  net::WallTime wall() const override { return inner_.wall(); }
  std::mt19937_64& random() override { return inner_.random(); }
  TimerId after(net::Duration delay, std::function<void()> fire) override {
    return inner_.after(delay, std::move(fire));
  }
  void cancel(TimerId timer) override { inner_.cancel(timer); }
  void post(std::function<void()> fire) override { inner_.post(std::move(fire)); }
  void http(const net::Endpoint& to, net::HttpRequest request, net::Duration timeout,
            std::function<void(net::HttpResult)> done) override;
  net::Duration busy_time() const override { return inner_.busy_time(); }
  void send_peer(const std::string& label, const wire::json& message) override {
    inner_.send_peer(label, message);
  }

 private:
  net::Runtime& inner_;
  Metrics& metrics_;
  net::Endpoint state_, cloud_;
};
}  // namespace limemast::operator_api

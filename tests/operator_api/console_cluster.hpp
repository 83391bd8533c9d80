#pragma once
#include <cstdlib>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulation/scenarios.hpp"
#include "tools/tables.hpp"

namespace limemast {
using simulation::violations;
/// Client of the operator API of one simulated controller. Each call runs the simulation until the
/// answer arrives or the call times out.
class SimApi final : public tools::Api {
 public:
  SimApi(simulation::SimulatedCluster& cluster, std::size_t node)
      : cluster_(cluster), node_(node) {}
  void call(const std::string& method, const std::string& path, const std::string& body,
            Done done) override {
    // Shared, because an answer may arrive after the call has timed out.
    auto out = std::make_shared<std::optional<net::HttpResponse>>();
    cluster_.ask(node_, {method, "/operator/v1/" + path, body},
                 [out](net::HttpResponse r) { *out = std::move(r); });
    for (int i = 0; i < 500 && !*out; ++i) cluster_.run(std::chrono::milliseconds(10));
    const auto answer = out->value_or(net::HttpResponse{0, {}, 0, {}});
    done({answer.status, answer.body, "node-" + std::to_string(node_)});
  }
  wire::json get(const std::string& path, int status = 200) {
    wire::json out;
    call("GET", path, "", [&](const tools::Answer& a) {
      if (a.status == status) out = wire::json::parse(a.body, nullptr, false);
    });
    return out;
  }
  int send(const std::string& method, const std::string& path, const std::string& body = "") {
    int status = 0;
    call(method, path, body, [&](const tools::Answer& a) { status = a.status; });
    return status;
  }
  std::shared_ptr<tools::Snapshot> read() {
    std::shared_ptr<tools::Snapshot> out;
    tools::fetch(*this, {}, {}, nullptr,
                 [&](std::shared_ptr<tools::Snapshot> s, const std::string& why) {
                   out = std::move(s);
                   error = why;
                 });
    return out;
  }
  std::string error;

 private:
  simulation::SimulatedCluster& cluster_;
  std::size_t node_;
};

inline wire::Settings settings_with_operators() {
  auto s = simulation::settings_for_tests();
  s.operators.enabled = true;
  s.operators.max_requests_per_s = 10'000;
  s.teams = {{"red", {40, 0, 0, 0}}, {"blue", {0, 0, 0, 0}}};
  return s;
}
/// A scripted deployment with the operator API enabled, after its one generated job has finished.
/// At the end no invariant may be violated.
class OperatedCluster : public testing::Test {
 protected:
  explicit OperatedCluster(std::uint64_t seed, wire::Settings settings = settings_with_operators())
      : world_(seed), cluster_(world_, std::move(settings), {.scripted = true}) {
    using namespace std::chrono_literals;
    spdlog::set_level(std::getenv("SIM_LOG") ? spdlog::level::debug : spdlog::level::off);
    cluster_.stop_arrivals();
    cluster_.run(5s);
    for (int i = 0; i < 30 && !cluster_.unfinished().empty(); ++i) cluster_.run(5s);
  }
  wire::JobSpec job(std::uint32_t tasks, double cpus, const std::string& zone = "",
                    double estimate_s = 200) {
    auto s = cluster_.random_job();
    s.team = "red";
    s.service = s.spread = s.one_zone = s.spot = false;
    s.rank = wire::Rank::Standard;
    s.tasks = tasks;
    s.cpus = cpus;
    s.ram_gb = 1;
    s.types.reset();
    if (zone.empty())
      s.zone.reset();
    else
      s.zone = zone;
    s.estimate = wire::Seconds(estimate_s);
    return s;
  }
  wire::JobSpec service(std::uint32_t tasks, double cpus, const std::string& zone = "") {
    auto s = job(tasks, cpus, zone, 0);
    s.service = true;
    s.rank = wire::Rank::Production;
    return s;
  }
  void TearDown() override { EXPECT_EQ(violations(cluster_.invariants()), ""); }

  simulation::SimulatedWorld world_;
  simulation::SimulatedCluster cluster_;
};
}  // namespace limemast

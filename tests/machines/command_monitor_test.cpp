// What operators see of the commands to workers.
#include <sstream>

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include "simulation/scenarios.hpp"

namespace limemast::simulation {
namespace {
constexpr std::uint64_t kSeed = 1;

/// Keeps what is logged at `info` while it exists.
class CapturedLog {
 public:
  CapturedLog() : former_(spdlog::default_logger()) {
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(text_);
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("captured", std::move(sink)));
    spdlog::set_level(spdlog::level::info);
  }
  ~CapturedLog() { spdlog::set_default_logger(former_); }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;
  std::string text() const { return text_.str(); }

 private:
  std::ostringstream text_;
  std::shared_ptr<spdlog::logger> former_;
};

class CommandMonitorTest : public testing::Test {
 protected:
  static wire::Settings settings() {
    auto out = settings_for_tests();
    out.operators.enabled = true;
    out.teams = {{"red", {400, 600, 0, 0}}, {"blue", {}}};
    return out;
  }
  void SetUp() override {
    cluster_.stop_arrivals();
    cluster_.run(10s);
    cluster_.duplicate_requests_late(SimulatedCluster::Side::Workers, 1, 100s);
    for (int i = 0; i < 6; ++i) submit(cluster_, plain(cluster_, false, 4, "red", 5));
  }
  /// The sum of a metric with these labels over all controllers.
  double metric(const std::string& name_and_labels) {
    const auto line_start = "\n" + name_and_labels + " ";
    auto sum = std::make_shared<double>(0);
    for (std::size_t i = 0; i < kControllers; ++i)
      cluster_.ask(i, {"GET", "/operator/v1/metrics", {}},
                   [sum, line_start](const net::HttpResponse& response) {
                     const auto at = response.body.find(line_start);
                     if (at != std::string::npos)
                       *sum += std::stod(response.body.substr(at + line_start.size()));
                   });
    cluster_.run(1s);
    return *sum;
  }

  static constexpr std::size_t kControllers = 3;
  CapturedLog log_;
  SimulatedWorld world_{kSeed};
  SimulatedCluster cluster_{world_, settings(), {.controllers = kControllers, .scripted = true}};
};

TEST_F(CommandMonitorTest, CountsCommandsAndTokenRaises) {
  cluster_.run(60s);
  EXPECT_GT(metric(R"(limemast_commands_total{kind="start",outcome="executed",route="direct"})"),
            0);
  EXPECT_GT(
      metric(R"(limemast_commands_total{kind="forget",outcome="unconfirmed",route="response"})"),
      0);
  EXPECT_GT(metric(R"(limemast_fencing_token_raises_total{reason="forget"})"), 0);
  EXPECT_EQ(metric("limemast_attempts_reappeared_total"), 0);
  EXPECT_NE(log_.text().find("took over as leader"), std::string::npos);
}

TEST_F(CommandMonitorTest, ReportsAttemptThatRunsAgainAfterItWasForgotten) {
  for (int i = 0; i < 60; ++i) {
    submit(cluster_, plain(cluster_, false, 2, "red", 5));
    cluster_.run(1s);
    cluster_.reset_fencing_tokens();
  }
  ASSERT_GT(cluster_.attempts_started_twice(), 0u);
  EXPECT_GT(metric("limemast_attempts_reappeared_total"), 0);
  const auto text = log_.text();
  EXPECT_NE(text.find("which this controller had forgotten or did not start there"),
            std::string::npos);
  EXPECT_NE(text.find("last commands for it: start direct with token"), std::string::npos);
}
}  // namespace
}  // namespace limemast::simulation

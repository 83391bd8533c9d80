#include "app/logs.hpp"

#include <atomic>
#include <cstdlib>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace limemast::app {
namespace {
std::atomic<std::uint64_t> current_epoch{0};

class JsonFormatter final : public spdlog::formatter {
 public:
  explicit JsonFormatter(std::string controller) : controller_(std::move(controller)) {}
  void format(const spdlog::details::log_msg& msg, spdlog::memory_buf_t& out) override {
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(msg.time.time_since_epoch()).count();
    const auto level = spdlog::level::to_string_view(msg.level);
    const auto line =
        json_line(ms, {level.data(), level.size()}, controller_, ids::EpochNumber(current_epoch),
                  {msg.payload.data(), msg.payload.size()});
    out.append(line.data(), line.data() + line.size());
  }
  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<JsonFormatter>(controller_);
  }

 private:
  std::string controller_;
};
}  // namespace

std::string json_line(std::int64_t at_ms, const std::string& level, const std::string& controller,
                      ids::EpochNumber epoch, const std::string& text) {
  const nlohmann::ordered_json line{{"at", at_ms},
                                    {"level", level},
                                    {"controller", controller},
                                    {"epoch", epoch.value()},
                                    {"text", text}};
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
}

void set_log_epoch(ids::EpochNumber epoch) { current_epoch = epoch.value(); }

void set_up_logs(const std::string& controller, bool as_json) {
  auto log = spdlog::stderr_logger_st("limemast");
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level ? level : "error";
  log->set_level(name == "debug"  ? spdlog::level::debug
                 : name == "info" ? spdlog::level::info
                                  : spdlog::level::err);
  if (as_json)
    log->set_formatter(std::make_unique<JsonFormatter>(controller));
  else
    log->set_pattern("%L %v");
  spdlog::set_default_logger(log);
}
}  // namespace limemast::app

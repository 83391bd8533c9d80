// The real process on loopback: listening addresses that are in use or cannot be assigned.
#include <chrono>
#include <csignal>
#include <fstream>
#include <thread>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {
using namespace std::chrono_literals;
using nlohmann::json;

/// A loopback port on which the test listens (`in_use`), or that is unused.
class Port {
 public:
  explicit Port(bool in_use) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&address), size), 0);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    number = ntohs(address.sin_port);
    if (in_use)
      EXPECT_EQ(listen(fd_, 4), 0);
    else
      release();
  }
  ~Port() { release(); }
  void release() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  std::string address(const char* host = "127.0.0.1") const {
    return std::string(host) + ":" + std::to_string(number);
  }
  std::uint16_t number = 0;

 private:
  int fd_;
};

class Process {
 public:
  Process(const std::string& serve_on, const std::string& back, const std::string& tuning = "") {
    json config{{"label", "drover-0"},
                {"domain", "a"},
                {"serve_on", serve_on},
                {"back", back},
                {"others", json::array()},
                {"outside", {{"cloud", "127.0.0.1:1"}, {"state", "127.0.0.1:1"}}}};
    config["settings"] = {
        {"size", 1},
        {"zones", {"a"}},
        {"teams", json::array()},
        {"workers", {{"report_s", 2}, {"lease_s", 12}, {"cancel_s", 37}}},
        {"state", {{"rps", 10}, {"write_rps", 10}, {"value_kb", 8}, {"txn_ops", 12}}},
        {"cloud", {{"rps", 1}, {"list_lag_s", 1}}},
        {"limits", {{"max_connections", 100}}}};
    std::ofstream(path("json")) << config;
    std::ofstream(path("toml")) << tuning;
    const auto config_path = path("json"), tuning_path = path("toml"), log_path = path("log");
    pid_ = fork();
    if (pid_ == 0) {
      if (!freopen(log_path.c_str(), "w", stderr)) _exit(99);
      execl(LIMEMAST_BINARY, LIMEMAST_BINARY, "--config", config_path.c_str(), "--tuning",
            tuning_path.c_str(), nullptr);
      _exit(99);
    }
  }
  ~Process() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    for (const char* extension : {"json", "toml", "log"}) unlink(path(extension).c_str());
  }
  /// The exit code; -1 while the process runs and 128 if a signal ended it.
  int exit_code() {
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    }
    return exit_code_;
  }
  /// Waits for the process to exit, at most 10 s, and returns the exit code.
  int wait_for_exit() {
    for (int i = 0; i < 500 && exit_code() < 0; ++i) std::this_thread::sleep_for(20ms);
    return exit_code_;
  }
  std::string log() const {
    std::ifstream in(path("log"));
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  std::string path(const char* extension) const {
    return "/tmp/limemast-process-" + std::to_string(getpid()) + "." + extension;
  }
  pid_t pid_ = -1;
  int exit_code_ = -1;
};

/// The status line of the response to GET /ready; empty if the port does not accept connections.
std::string ready_status_line(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  std::string response;
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
    const std::string request = "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
    (void)!write(fd, request.data(), request.size());
    char buffer[256];
    for (ssize_t n; (n = read(fd, buffer, sizeof buffer)) > 0;)
      response.append(buffer, static_cast<std::size_t>(n));
  }
  close(fd);
  return response.substr(0, response.find("\r\n"));
}

// Guards against a process that exits with code 1 because its port is still in use when it starts.
TEST(Process, WaitsForAPortThatIsInUse) {
  for (const bool user_port_occupied : {true, false}) {
    Port occupied(true), unused(false);
    Process process(user_port_occupied ? occupied.address() : unused.address(),
                    user_port_occupied ? unused.address() : occupied.address());
    std::this_thread::sleep_for(2s);
    ASSERT_EQ(process.exit_code(), -1) << process.log();
    // A previous process with the same label may still run while the port is in use. The controller
    // must not start yet, because it would end the store lease of that process; the other port
    // therefore accepts no connections either.
    EXPECT_EQ(ready_status_line(unused.number), "");
    occupied.release();
    const auto user_port = user_port_occupied ? occupied.number : unused.number;
    std::string status_line;
    for (int i = 0; i < 500 && status_line.empty(); ++i, std::this_thread::sleep_for(20ms))
      status_line = ready_status_line(user_port);
    // The process listens, but the store is unreachable.
    EXPECT_EQ(status_line, "HTTP/1.1 503 Service Unavailable");
    EXPECT_EQ(process.exit_code(), -1);
  }
}

TEST(Process, AnUnassignableAddressIsABadSetting) {
  const Port user_port(false), peer_port(false);
  Process process("192.0.2.1:" + std::to_string(user_port.number), peer_port.address());
  EXPECT_EQ(process.wait_for_exit(), 2);
  EXPECT_TRUE(process.log().starts_with("serve_on: cannot listen on 192.0.2.1")) << process.log();
}

TEST(Process, BindTimeoutNamesTheField) {
  const Port occupied(true), unused(false);
  Process process(unused.address(), occupied.address(), "[start]\nbind_patience_s = 0.3\n");
  EXPECT_EQ(process.wait_for_exit(), 1);
  EXPECT_NE(process.log().find("back: cannot listen on"), std::string::npos) << process.log();
}
}  // namespace

// Runs the tools as a user does: the limemast binary against a loopback server whose answers, valid
// or invalid, the test defines.
#include <atomic>
#include <csignal>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <pty.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {
using nlohmann::json;

/// Serves one request per connection. `answer` is called with the request line and returns all
/// bytes of the response.
class Server {
 public:
  using Answer = std::function<std::string(const std::string& request)>;
  explicit Server(Answer answer) : answer_(std::move(answer)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&at), size), 0);
    EXPECT_EQ(listen(listener_, 16), 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    thread_ = std::thread([this] { run(); });
  }
  ~Server() {
    stop_ = true;
    thread_.join();
    close(listener_);
  }
  /// Simulates a failed controller: connections are closed without an answer.
  void fail() { failed_ = true; }
  std::string address;

 private:
  void run() {
    while (!stop_) {
      pollfd p{listener_, POLLIN, 0};
      if (poll(&p, 1, 20) <= 0) continue;
      const int c = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (c < 0) continue;
      std::string request;
      char buffer[4096];
      for (ssize_t n; request.find("\r\n\r\n") == std::string::npos &&
                      (n = read(c, buffer, sizeof buffer)) > 0;)
        request.append(buffer, static_cast<std::size_t>(n));
      if (!failed_) {
        const auto out = answer_(request.substr(0, request.find("\r\n")));
        for (std::size_t at = 0; at < out.size();) {
          const auto n = send(c, out.data() + at, out.size() - at, MSG_NOSIGNAL);
          if (n <= 0) break;
          at += static_cast<std::size_t>(n);
        }
      }
      close(c);
    }
  }
  Answer answer_;
  int listener_ = -1;
  std::atomic<bool> stop_{false}, failed_{false};
  std::thread thread_;
};

std::string http_response(const std::string& body, int status = 200) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// The response of a deployment with this many jobs, all of `team`.
std::string deployment(const std::string& request, std::size_t jobs,
                       const std::string& team = "red") {
  const auto at = request.find("/operator/v1/");
  if (at == std::string::npos) return http_response(R"({"error":"unknown path"})", 404);
  auto path = request.substr(at + 13);
  path = path.substr(0, path.find(' '));
  const json parts = json::array({{{"controller", "drover-0"}, {"answered", true}},
                                  {{"controller", "drover-1"},
                                   {"answered", false},
                                   {"why", "did not answer in time"},
                                   {"ageS", 7.0}}});
  json out{{"parts", parts}};
  if (path.starts_with("jobs")) {
    std::size_t from = 0;
    if (const auto is = path.find("from=wk-"); is != std::string::npos)
      from = std::stoul(path.substr(is + 8)) + 1;
    json list = json::array();
    std::size_t i = from;
    for (; i < jobs && list.size() < 200; ++i) {
      char uid[16];
      std::snprintf(uid, sizeof uid, "wk-%06zu", i);
      list.push_back({{"uid", uid},
                      {"class", "gis-sync"},
                      {"team", team},
                      {"rank", "low"},
                      {"shape", "array"},
                      {"tasks", 4},
                      {"ageS", 12.5},
                      {"waiting", 4},
                      {"starting", 0},
                      {"running", 0},
                      {"done", 0},
                      {"cause", "room"},
                      {"causeForS", 3.0},
                      {"place", i + 1},
                      {"of", jobs},
                      {"line", "placement"}});
    }
    out["next"] = i < jobs ? list.back()["uid"] : json();
    out["jobs"] = std::move(list);
  } else if (path.starts_with("machines")) {
    out.update({{"machines", json::array()}, {"coming", json::array()}, {"next", nullptr}});
  } else if (path == "teams") {
    out["teams"] = json::array();
  } else if (path == "controllers") {
    out.update({{"controllers", json::array()}, {"leader", "drover-0"}});
  } else if (path == "drains") {
    out["drains"] = json::array();
  } else if (path == "history") {
    out.update({{"samples", json::array()}, {"columns", {"atMs", "ordinary", "spot", "coming"}}});
  } else {
    return http_response(R"({"error":"unknown path"})", 404);
  }
  return http_response(out.dump());
}

struct CommandResult {
  int code = -1;
  std::string out, error;
};
CommandResult run(const std::string& arguments) {
  char errors[] = "/tmp/limemast-test-XXXXXX";
  close(mkstemp(errors));
  CommandResult r;
  auto* from =
      popen((std::string(LIMEMAST_BINARY) + " " + arguments + " 2>" + errors).c_str(), "r");
  char buffer[4096];
  for (std::size_t n; (n = fread(buffer, 1, sizeof buffer, from)) > 0;) r.out.append(buffer, n);
  const int status = pclose(from);
  r.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  std::ifstream in(errors);
  r.error.assign(std::istreambuf_iterator<char>(in), {});
  unlink(errors);
  return r;
}
bool exists(const std::string& path) {
  struct stat s {};
  return stat(path.c_str(), &s) == 0;
}
std::string read_file(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

class ReportTool : public testing::Test {
 protected:
  ReportTool() {
    char name[] = "/tmp/limemast-test-XXXXXX";
    folder_ = mkdtemp(name);
    file_ = folder_ + "/report.html";
  }
  ~ReportTool() override {
    unlink(file_.c_str());
    unlink((file_ + ".part").c_str());
    rmdir(folder_.c_str());
  }
  CommandResult report(const std::string& to, const std::string& more = "") {
    return run("report --timeout 5 --to " + to + " --out " + file_ + " " + more);
  }
  void expect_failed(const CommandResult& r, const std::string& why) {
    EXPECT_EQ(r.code, 1);
    EXPECT_NE(r.error.find(why), std::string::npos) << r.error;
    EXPECT_EQ(std::count(r.error.begin(), r.error.end(), '\n'), 1) << r.error;
    EXPECT_FALSE(exists(file_));
    EXPECT_FALSE(exists(file_ + ".part"));
  }
  std::string folder_, file_;
};

TEST_F(ReportTool, TenThousandJobsWithMarkupInTheirNames) {
  const std::string team = R"(<script>alert("x")</script>&'{{EVIL}}é)";
  Server server([&](const std::string& r) { return deployment(r, 10'000, team); });
  const auto r = report(server.address);
  EXPECT_EQ(r.code, 0) << r.error;
  const auto page = read_file(file_);
  EXPECT_EQ(page.find("<script>alert"), std::string::npos);
  EXPECT_NE(page.find("&lt;script&gt;alert(&quot;x&quot;)&lt;/script&gt;&amp;&#39;{{EVIL}}é"),
            std::string::npos);
  std::size_t rows = 0;
  for (auto at = page.find("data-name=\"job\""); at != std::string::npos;
       at = page.find("data-name=\"job\"", at + 1))
    ++rows;
  EXPECT_EQ(rows, 10'000u);
  EXPECT_NE(page.find("wk-009999"), std::string::npos);
  EXPECT_NE(page.find("Part missing: drover-1 did not answer in time"), std::string::npos);
  EXPECT_NE(r.error.find("part missing: drover-1"), std::string::npos);
  EXPECT_EQ(page.find("http"), std::string::npos) << "the page loads nothing over the network";
}

TEST_F(ReportTool, JsonForScripts) {
  Server server([](const std::string& r) { return deployment(r, 450); });
  const auto r = run("report --json --to " + server.address);
  EXPECT_EQ(r.code, 0) << r.error;
  const auto body = json::parse(r.out, nullptr, false);
  ASSERT_TRUE(body.is_object());
  EXPECT_EQ(body.at("jobs").size(), 450u);
  EXPECT_EQ(body.at("missing").size(), 1u);
}

TEST_F(ReportTool, TruncatedAnswer) {
  Server server([](const std::string& r) {
    auto whole = deployment(r, 300);
    return r.find("from=") == std::string::npos ? whole : whole.substr(0, whole.size() / 2);
  });
  expect_failed(report(server.address),
                "jobs?limit=200&from=wk-000199: no controller answered, or the answer was cut off");
}

TEST_F(ReportTool, InvalidAnswers) {
  Server not_json([](const std::string&) { return http_response("\xff\xfe nonsense"); });
  expect_failed(report(not_json.address), "sent an answer that is not a JSON object");
  Server other_form([](const std::string&) { return http_response(R"({"jobs":7,"next":[1]})"); });
  expect_failed(report(other_form.address),
                "the answer has a format that this version does not know");
  Server wrong_types([](const std::string& r) {
    if (r.find("/jobs") == std::string::npos) return deployment(r, 0);
    return http_response(R"({"jobs":[{"uid":"wk-000001","waiting":"many"}],"next":null})");
  });
  expect_failed(report(wrong_types.address),
                "the answer has a format that this version does not know");
  Server no_http([](const std::string&) { return std::string("SSH-2.0-x\r\n"); });
  expect_failed(report(no_http.address), "no controller answered");
  Server endless(
      [](const std::string&) { return http_response(R"({"jobs":[],"next":"wk-000001"})"); });
  expect_failed(report(endless.address), "the list of pages does not end");
  Server refuses([](const std::string&) {
    return http_response(R"({"error":"the operators' interface is switched off"})", 404);
  });
  expect_failed(report(refuses.address), "answered 404: the operators' interface is switched off");
}

TEST_F(ReportTool, UnwritableFile) {
  Server server([](const std::string& r) { return deployment(r, 3); });
  const auto r = run("report --to " + server.address + " --out " + folder_ + "/none/report.html");
  EXPECT_EQ(r.code, 1);
  EXPECT_NE(r.error.find("cannot write"), std::string::npos);
}

TEST_F(ReportTool, FailsOverToTheNextController) {
  Server lost([](const std::string&) { return std::string(); });
  Server busy([](const std::string&) { return http_response(R"({"error":"busy"})", 503); });
  Server good([](const std::string& r) { return deployment(r, 3); });
  const auto r = report(lost.address + "," + busy.address + "," + good.address);
  EXPECT_EQ(r.code, 0) << r.error;
  EXPECT_NE(read_file(file_).find("wk-000002"), std::string::npos);
}

TEST(Usage, ErrorIsOneLineThatNamesTheArgument) {
  for (const auto& [arguments, named] :
       std::vector<std::pair<std::string, std::string>>{{"", "--config"},
                                                        {"report --to nowhere", "--to"},
                                                        {"report --to 127.0.0.1:x", "--to"},
                                                        {"drain rack r1", "kind"},
                                                        {"drain zone", "name"},
                                                        {"console --refresh 0", "--refresh"},
                                                        {"report --timeout 0", "--timeout"},
                                                        {"settings --tuning /nowhere", "--tuning"},
                                                        {"--config /nowhere", "--config"}}) {
    const auto r = run(arguments);
    EXPECT_EQ(r.code, 2) << arguments;
    EXPECT_NE(r.error.find(named), std::string::npos) << arguments << ": " << r.error;
    EXPECT_EQ(std::count(r.error.begin(), r.error.end(), '\n'), 1) << arguments << ": " << r.error;
  }
  EXPECT_EQ(run("console --to 127.0.0.1:1 </dev/null").code, 1);
}

/// Runs the console in a pseudo-terminal.
class Console {
 public:
  Console(const std::string& to, const char* terminal, unsigned short rows,
          unsigned short columns) {
    winsize size{rows, columns, 0, 0};
    pid_ = forkpty(&fd_, nullptr, nullptr, &size);
    if (pid_ == 0) {
      setenv("TERM", terminal, 1);
      setenv("LC_ALL", "C.UTF-8", 1);
      execl(LIMEMAST_BINARY, LIMEMAST_BINARY, "console", "--refresh", "0.5", "--timeout", "1",
            "--to", to.c_str(), nullptr);
      _exit(127);
    }
  }
  ~Console() {
    if (code_ < 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    close(fd_);
  }
  void type(const std::string& keys) {
    EXPECT_EQ(write(fd_, keys.data(), keys.size()), static_cast<ssize_t>(keys.size()));
  }
  void resize(unsigned short rows, unsigned short columns) {
    winsize size{rows, columns, 0, 0};
    EXPECT_EQ(ioctl(fd_, TIOCSWINSZ, &size), 0);
  }
  /// Waits until the console has written this text, and discards the output up to it.
  bool waits_for_output(const std::string& text) {
    for (int i = 0; i < 400; ++i) {
      // ncurses writes only changes, so Ctrl-L requests a full redraw from time to time.
      if (i % 10 == 9) type("\x0c");
      if (const auto at = seen_.find(text); at != std::string::npos) {
        seen_.erase(0, at + text.size());
        return true;
      }
      pollfd p{fd_, POLLIN, 0};
      if (poll(&p, 1, 50) <= 0) continue;
      char buffer[8192];
      const auto n = read(fd_, buffer, sizeof buffer);
      if (n <= 0) break;
      seen_.append(buffer, static_cast<std::size_t>(n));
    }
    return false;
  }
  int wait() {
    for (int i = 0; i < 400; ++i) {
      char buffer[8192];
      pollfd p{fd_, POLLIN, 0};
      if (poll(&p, 1, 50) > 0 && read(fd_, buffer, sizeof buffer) < 0) break;
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_)
        return code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 255;
    }
    int status = 0;
    waitpid(pid_, &status, 0);
    return code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 255;
  }

 private:
  int fd_ = -1;
  pid_t pid_ = -1;
  int code_ = -1;
  std::string seen_;
};

TEST(ConsoleTool, HandlesKeysResizeAndFailover) {
  for (const char* terminal : {"xterm-256color", "vt100"}) {
    Server first([](const std::string& r) { return deployment(r, 300); });
    Server second([](const std::string& r) { return deployment(r, 301); });
    Console console(first.address + "," + second.address, terminal, 24, 80);
    EXPECT_TRUE(console.waits_for_output("300 jobs")) << terminal;
    EXPECT_TRUE(console.waits_for_output("Part missing: drover-1"));
    EXPECT_TRUE(console.waits_for_output("wk-000000"));
    console.type("/wk-0002");
    EXPECT_TRUE(console.waits_for_output("wk-000200")) << terminal;
    console.type("\r");
    console.type("\r");
    EXPECT_TRUE(console.waits_for_output("machines it may use are full")) << terminal;
    console.type("\x1b");
    console.resize(40, 150);
    EXPECT_TRUE(console.waits_for_output("wk-000220"))
        << "a taller screen shows more rows, " << terminal;
    first.fail();
    EXPECT_TRUE(console.waits_for_output(second.address.substr(10)))
        << "the console fails over to the other controller, " << terminal;
    second.fail();
    EXPECT_TRUE(console.waits_for_output("Refresh failed")) << terminal;
    console.type("q");
    EXPECT_EQ(console.wait(), 0) << terminal;
  }
}
}  // namespace

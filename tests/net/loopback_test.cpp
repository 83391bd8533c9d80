#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_server.hpp"
#include "net/listener.hpp"
#include "net/uv_runtime.hpp"

namespace limemast::net {
namespace {
using namespace std::chrono_literals;

/// A raw socket on the loopback interface, for input that a conforming client does not send.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() {
    if (fd_ >= 0) ::close(fd_);
  }
  static Socket tcp() { return Socket(::socket(AF_INET, SOCK_STREAM, 0)); }
  static sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }
  static Socket connected(std::uint16_t port) {
    auto socket = tcp();
    const auto address = loopback(port);
    EXPECT_EQ(::connect(socket.fd_, as_sockaddr(address), sizeof address), 0);
    ::fcntl(socket.fd_, F_SETFL, O_NONBLOCK);
    return socket;
  }
  /// Binds to a free port and returns it.
  std::uint16_t bind_free_port() const {
    auto address = loopback(0);
    socklen_t size = sizeof address;
    EXPECT_EQ(::bind(fd_, as_sockaddr(address), size), 0);
    EXPECT_EQ(::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size), 0);
    return ntohs(address.sin_port);
  }
  void listen() const { EXPECT_EQ(::listen(fd_, 8), 0); }
  Socket accept() const { return Socket(::accept(fd_, nullptr, nullptr)); }
  void send(const std::string& text) const {
    (void)::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
  }
  /// Reads the available data. Returns whether the other side has closed the connection.
  bool read_available(std::string& out) const {
    char buffer[4096];
    for (;;) {
      const auto n = ::recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
      if (n > 0)
        out.append(buffer, static_cast<std::size_t>(n));
      else
        return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }
  }

 private:
  int fd_;
};

std::uint16_t free_port() { return Socket::tcp().bind_free_port(); }
std::string loopback_endpoint(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

class Loopback : public testing::Test {
 protected:
  /// Runs the loop until the condition holds or a maximum number of iterations has passed.
  template <class Condition>
  bool run_until(Condition condition) {
    for (int i = 0; i < kMaxIterations && !condition(); ++i) {
      uv_run(runtime_.loop(), UV_RUN_NOWAIT);
      std::this_thread::sleep_for(100us);
    }
    return condition();
  }
  static constexpr int kMaxIterations = 20'000;
  UvRuntime runtime_{16};
};

using HttpClientLoopback = Loopback;
using PeerLinksLoopback = Loopback;

class HttpServerLoopback : public Loopback {
 protected:
  void SetUp() override {
    listener_.bind(0s, runtime_.random(),
                   {nullptr, nullptr, [this](uv_stream_t* s) { server_.accept(s); }});
    listener_.listen();
  }
  /// Sends `text` on a new connection. Returns the status line of the response and whether the
  /// server closed the connection.
  std::pair<std::string, bool> send_raw_request(const std::string& text) {
    const auto client = Socket::connected(port_);
    client.send(text);
    std::string got;
    bool closed = false;
    run_until([&] {
      closed = client.read_available(got) || closed;
      return closed || got.find("\r\n\r\n") != std::string::npos;
    });
    run_until([&] { return closed = client.read_available(got) || closed; });
    return {got.substr(0, got.find("\r\n")), closed};
  }
  static constexpr std::size_t kMaxConnections = 4;
  std::uint16_t port_ = free_port();
  std::size_t handled_ = 0;
  HttpServer server_{runtime_.loop(), kMaxConnections,
                     [this](const HttpRequest&, const Responder& respond, bool) {
                       ++handled_;
                       respond(json_response(200, "{}"));
                     }};
  Listener listener_{runtime_.loop(), loopback_endpoint(port_), 16};
};

TEST_F(HttpServerLoopback, MalformedAndOversizedRequestsAreRefused) {
  EXPECT_EQ(send_raw_request("nonsense\r\n\r\n"),
            std::pair(std::string("HTTP/1.1 400 Bad Request"), true));
  EXPECT_EQ(send_raw_request("POST /hello HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"),
            std::pair(std::string("HTTP/1.1 413 Payload Too Large"), true));
  EXPECT_EQ(send_raw_request("POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" +
                             std::string(70'000, 'x'))
                .first,
            "HTTP/1.1 413 Payload Too Large");
  EXPECT_EQ(send_raw_request("GET /" + std::string(4000, 'a') + " HTTP/1.1\r\n\r\n"),
            std::pair(std::string("HTTP/1.1 400 Bad Request"), true));
  EXPECT_EQ(handled_, 0u);
  EXPECT_EQ(send_raw_request("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"),
            std::pair(std::string("HTTP/1.1 200 OK"), true));
  EXPECT_EQ(handled_, 1u);
}

// Connections on which no request is sent must not keep out later clients.
TEST_F(HttpServerLoopback, IdleConnectionsAreClosedForNewOnes) {
  std::vector<Socket> idle;
  for (std::size_t i = 0; i < 3 * kMaxConnections; ++i) idle.push_back(Socket::connected(port_));
  const auto late = Socket::connected(port_);
  late.send("GET /ready HTTP/1.1\r\n\r\n");
  std::string got;
  EXPECT_TRUE(
      run_until([&] { return late.read_available(got), got.rfind("HTTP/1.1 200", 0) == 0; }));
  std::size_t closed = 0;
  EXPECT_TRUE(run_until([&] {
    closed = 0;
    for (const auto& s : idle) {
      std::string nothing;
      closed += s.read_available(nothing);
    }
    return closed >= idle.size() + 1 - kMaxConnections;
  }));
}

// A response arrives while the process is suspended, and the time-out has expired when it resumes.
// The response must be read first; otherwise a lease that was renewed in time would be lost.
TEST_F(HttpClientLoopback, ResponseReceivedInTimeIsReadBeforeTimeout) {
  const auto listener = Socket::tcp();
  const auto port = listener.bind_free_port();
  listener.listen();
  std::optional<HttpResult> result;
  runtime_.http(loopback_endpoint(port), {"GET", "/x", {}}, 300ms,
                [&](HttpResult r) { result = std::move(r); });
  const auto peer = listener.accept();
  std::string request;
  EXPECT_TRUE(run_until(
      [&] { return peer.read_available(request), request.find("\r\n\r\n") != std::string::npos; }));
  peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  std::this_thread::sleep_for(1s);  // simulates a suspended process
  EXPECT_TRUE(run_until([&] { return result.has_value(); }));
  EXPECT_EQ(result->status, 200);
  // Without a response, the request still ends with the time-out.
  result.reset();
  runtime_.http(loopback_endpoint(port), {"GET", "/x", {}}, 50ms,
                [&](HttpResult r) { result = std::move(r); });
  EXPECT_TRUE(run_until([&] { return result.has_value(); }));
  EXPECT_EQ(result->status, 0);
}

TEST_F(PeerLinksLoopback, MalformedFrameClosesOnlyItsLink) {
  const auto port = free_port();
  std::size_t received = 0;
  PeerLinks links(runtime_.loop(), {{"self", loopback_endpoint(port)}},
                  [&](const wire::json&) { ++received; });
  Listener listener(runtime_.loop(), loopback_endpoint(port), 8);
  listener.bind(0s, runtime_.random(),
                {nullptr, nullptr, [&](uv_stream_t* s) { links.accept(s); }});
  listener.listen();
  for (const auto& frame : {std::string("\xff\xff\xff\xff"), std::string("\0\0\0\3abc", 7)}) {
    const auto s = Socket::connected(port);
    s.send(frame);
    std::string nothing;
    EXPECT_TRUE(run_until([&] { return s.read_available(nothing); }));
  }
  links.send("self", {{"t", "x"}});
  EXPECT_TRUE(run_until([&] { return received == 1; }));
}
}  // namespace
}  // namespace limemast::net

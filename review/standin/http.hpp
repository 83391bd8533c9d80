#pragma once
// A small blocking HTTP/1.1 server and client for the stand-ins: one thread per connection.
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <functional>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standin {
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

inline double seconds_between(Time from, Time to) {
  return std::chrono::duration<double>(to - from).count();
}
inline std::chrono::nanoseconds span(double seconds) {
  return std::chrono::nanoseconds(static_cast<long long>(seconds * 1e9));
}
inline void pause(double seconds) { std::this_thread::sleep_for(span(seconds)); }

struct Request {
  std::string method;
  std::string path;
  std::string body;
};

/// `status` 0 in a server's reply: no reply, the connection is closed. In a client's result: none
/// came.
struct Reply {
  int status = 200;
  std::string body;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

/// Listens on a free loopback port and sets `port`. The port is below those that the system gives
/// to outgoing connections, so that it stays free when it is closed and bound again.
inline int listen_on(int& port) {
  static std::atomic<unsigned> next{static_cast<unsigned>(getpid()) * 7919U +
                                    static_cast<unsigned>(std::time(nullptr)) * 104729U};
  for (int attempt = 0; attempt < 1000; ++attempt) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    port = static_cast<int>(10000 + (next += 13) % 20000);
    const auto address = loopback(port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        listen(fd, 256) == 0)
      return fd;
    close(fd);
  }
  std::perror("listen");
  std::exit(2);
}

inline bool wait_for(int fd, short events, Time deadline) {
  for (;;) {
    const auto left = seconds_between(Clock::now(), deadline);
    if (left <= 0) return false;
    pollfd p{fd, events, 0};
    const int n = poll(&p, 1, static_cast<int>(left * 1000) + 1);
    if (n > 0) return true;
    if (n < 0 && errno != EINTR) return false;
  }
}

inline bool send_all(int fd, const std::string& data, Time deadline) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    if (!wait_for(fd, POLLOUT, deadline)) return false;
    const auto n = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno != EAGAIN) return false;
    if (n > 0) sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads one message: the head up to the empty line, and as much body as its Content-Length says.
/// `rest` holds bytes that were read beyond it.
inline bool read_message(int fd, std::string& rest, std::string& head, std::string& body,
                         Time deadline) {
  const auto fill = [&] {
    if (!wait_for(fd, POLLIN, deadline)) return false;
    char buffer[65536];
    const auto n = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (n < 0 && errno == EAGAIN) return true;
    if (n <= 0) return false;
    rest.append(buffer, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = 0;
  while ((end = rest.find("\r\n\r\n")) == std::string::npos)
    if (!fill()) return false;
  head = rest.substr(0, end + 2);
  rest.erase(0, end + 4);
  std::size_t length = 0;
  std::string lower = head;
  for (auto& c : lower) c = static_cast<char>(std::tolower(c));
  if (const auto at = lower.find("content-length:"); at != std::string::npos)
    length = std::strtoul(lower.c_str() + at + 15, nullptr, 10);
  while (rest.size() < length)
    if (!fill()) return false;
  body = rest.substr(0, length);
  rest.erase(0, length);
  return true;
}

/// A server on a port of its own. It runs until the process ends, or until stop().
class Server {
 public:
  using Handler = std::function<Reply(const Request&)>;

  Server(int port, Handler handler) : handler_(std::move(handler)), port_(port) {
    fd_ = listen_on(port_);
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_; }
  /// New connections are closed at once, and open ones after their next request.
  void stop() { stopped_ = true; }

 private:
  void accept_all() {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      if (stopped_) {
        close(fd);
        continue;
      }
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    std::string rest;
    std::string head;
    Request request;
    while (!stopped_ && read_message(fd, rest, head, request.body, Clock::now() + span(600))) {
      const auto first = head.find(' ');
      const auto second = head.find(' ', first + 1);
      request.method = head.substr(0, first);
      request.path = head.substr(first + 1, second - first - 1);
      const auto reply = handler_(request);
      if (reply.status == 0 || stopped_) break;
      const auto text = "HTTP/1.1 " + std::to_string(reply.status) +
                        " x\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
      if (!send_all(fd, text, Clock::now() + span(60))) break;
    }
    close(fd);
  }
  Handler handler_;
  int port_;
  int fd_ = -1;
  std::atomic<bool> stopped_{false};
};

/// A client of one server that keeps its connection open.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { disconnect(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  Reply call(const std::string& method, const std::string& path, const std::string& body,
             double timeout_s) {
    const auto deadline = Clock::now() + span(timeout_s);
    if (fd_ < 0 && !connect_until(deadline)) return {0, {}};
    const auto text = method + " " + path +
                      " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string head;
    Reply reply;
    const bool sent = send_all(fd_, text, deadline);
    // A server may refuse a request before it has read all of it.
    if ((!sent && errno != EPIPE && errno != ECONNRESET) ||
        !read_message(fd_, rest_, head, reply.body, deadline) || head.size() < 12) {
      disconnect();
      return {0, {}};
    }
    reply.status = std::atoi(head.c_str() + 9);
    if (head.find("Connection: close") != std::string::npos) disconnect();
    return reply;
  }
  void disconnect() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    rest_.clear();
  }

 private:
  bool connect_until(Time deadline) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const auto address = loopback(port_);
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      int error = 0;
      socklen_t size = sizeof error;
      if (errno != EINPROGRESS || !wait_for(fd_, POLLOUT, deadline) ||
          getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        disconnect();
        return false;
      }
    }
    return true;
  }
  int port_;
  int fd_ = -1;
  std::string rest_;
};
}  // namespace standin

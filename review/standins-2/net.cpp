#include "net.hpp"

#include <chrono>
#include <cstdio>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standins {
namespace {
using Clock = std::chrono::steady_clock;
const Clock::time_point kBegin = Clock::now();
constexpr double kPollStep = 0.05;

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

int listen_anywhere(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = loopback(0);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

/// Waits until `fd` is ready or the time is over.
bool wait_for(int fd, short events, double until) {
  for (;;) {
    const double left = until - now();
    pollfd p{fd, events, 0};
    const int rc = poll(&p, 1, left <= 0 ? 0 : static_cast<int>(left * 1000) + 1);
    if (rc > 0) return true;
    if (left <= 0) return false;
  }
}

int connect_to(int port, double until) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto address = loopback(port);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || !wait_for(fd, POLLOUT, until) ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(fd);
      return -1;
    }
  }
  return fd;
}

bool send_all(int fd, const std::string& data, double until) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    if (!wait_for(fd, POLLOUT, until)) return false;
    const auto n = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n <= 0 && errno != EAGAIN) return false;
    if (n > 0) sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads one HTTP message; `head` receives its first line. Returns false if the connection ended.
bool read_message(int fd, std::string& buffer, std::string& head, std::string& body, double until) {
  std::size_t end = 0;
  std::size_t length = 0;
  for (;;) {
    if (end == 0 && (end = buffer.find("\r\n\r\n")) != std::string::npos) {
      head = buffer.substr(0, buffer.find("\r\n"));
      const auto at = buffer.find("Content-Length: ");
      if (at < end) length = std::stoul(buffer.substr(at + 16));
      end += 4;
    } else if (end == std::string::npos) {
      end = 0;
    }
    if (end > 0 && buffer.size() >= end + length) {
      body = buffer.substr(end, length);
      buffer.erase(0, end + length);
      return true;
    }
    if (!wait_for(fd, POLLIN, until)) return false;
    char data[16384];
    const auto n = recv(fd, data, sizeof data, MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN)) return false;
    if (n > 0) buffer.append(data, static_cast<std::size_t>(n));
  }
}

void close_with_reset(int fd) {
  const linger now_and_hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now_and_hard, sizeof now_and_hard);
  close(fd);
}
}  // namespace

double now() { return std::chrono::duration<double>(Clock::now() - kBegin).count(); }
void sleep_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

Record& Record::get() {
  static Record instance;
  return instance;
}
void Record::open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
void Record::line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  if (!file_) return;
  std::fprintf(file_, "%8.3f %s\n", now(), text.c_str());
  std::fflush(file_);
}
void Record::broken(const std::string& rule, const std::string& text) {
  line("RULE BROKEN " + rule + ": " + text);
  const std::lock_guard lock(mutex_);
  ++broken_;
}
void Record::cannot_run(const std::string& text) {
  line("CANNOT RUN: " + text);
  const std::lock_guard lock(mutex_);
  cannot_run_ = true;
}
bool Record::any_broken() {
  const std::lock_guard lock(mutex_);
  return broken_ > 0;
}
int Record::exit_code() {
  const std::lock_guard lock(mutex_);
  return broken_ > 0 ? 1 : cannot_run_ ? 2 : 0;
}
void record(const std::string& text) { Record::get().line(text); }

int free_port() {
  int port = 0;
  const int fd = listen_anywhere(port);
  if (fd >= 0) close(fd);
  return port;
}

Response call(int port, const Request& request, double timeout) {
  const double until = now() + timeout;
  const int fd = connect_to(port, until);
  if (fd < 0) return {};
  Response response;
  std::string buffer;
  std::string head;
  const std::string text =
      request.method + " " + request.path + " HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(port) +
      "\r\nConnection: close\r\nContent-Length: " + std::to_string(request.body.size()) +
      "\r\n\r\n" + request.body;
  if (send_all(fd, text, until) && read_message(fd, buffer, head, response.body, until) &&
      head.size() > 12)
    response.status = std::stoi(head.substr(9, 3));
  close(fd);
  return response;
}

HttpServer::HttpServer(Handler handler) : handler_(std::move(handler)) {
  listener_ = listen_anywhere(port_);
  std::thread([this] { accept_loop(); }).detach();
}

void HttpServer::stop() {
  *stopped_ = true;
  shutdown(listener_, SHUT_RDWR);
}

void HttpServer::accept_loop() {
  while (!*stopped_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0 && errno != EINTR && errno != ECONNABORTED) return;
    if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
  }
}

void HttpServer::serve(int fd) {
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  std::string buffer;
  std::string head;
  Request request;
  while (!*stopped_ && read_message(fd, buffer, head, request.body, now() + 130)) {
    const auto first = head.find(' ');
    const auto second = head.find(' ', first + 1);
    request.method = head.substr(0, first);
    request.path = head.substr(first + 1, second - first - 1);
    const auto response = handler_(request);
    if (response.status == 0 || *stopped_) break;
    const std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                             " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    if (!send_all(fd, text, now() + 10)) break;
  }
  close(fd);
}

Proxy::Proxy(int target) : target_(target) {
  listener_ = listen_anywhere(port_);
  std::thread([this] { accept_loop(); }).detach();
}

namespace {
struct Link {
  int from = -1;
  int to = -1;
  std::atomic<unsigned> open{2};
};

/// Forwards one direction until the connection ends or is reset.
void forward(int from, int to, const std::shared_ptr<Link>& link,
             const std::shared_ptr<std::atomic<Proxy::Mode>>& mode,
             const std::shared_ptr<std::atomic<double>>& delay) {
  for (;;) {
    if (*mode == Proxy::Mode::Reset) break;
    if (*mode == Proxy::Mode::Hold || !wait_for(from, POLLIN, now() + kPollStep)) {
      if (*mode == Proxy::Mode::Hold) sleep_for(kPollStep);
      continue;
    }
    char data[65536];
    const auto n = recv(from, data, sizeof data, MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN)) break;
    if (n < 0) continue;
    sleep_for(*delay);
    while (*mode == Proxy::Mode::Hold) sleep_for(kPollStep);
    if (!send_all(to, std::string(data, static_cast<std::size_t>(n)), now() + 60)) break;
  }
  if (*mode == Proxy::Mode::Reset) {
    const linger now_and_hard{1, 0};
    setsockopt(link->from, SOL_SOCKET, SO_LINGER, &now_and_hard, sizeof now_and_hard);
    setsockopt(link->to, SOL_SOCKET, SO_LINGER, &now_and_hard, sizeof now_and_hard);
  } else {
    shutdown(link->from, SHUT_RDWR);
    shutdown(link->to, SHUT_RDWR);
  }
  if (--link->open > 0) return;
  close(link->from);
  close(link->to);
}
}  // namespace

void Proxy::accept_loop() const {
  for (;;) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    std::thread([fd, target = target_, mode = mode_, delay = delay_] {
      while (*mode == Mode::Hold) sleep_for(kPollStep);
      const int to = *mode == Mode::Pass ? connect_to(target, now() + 5) : -1;
      if (to < 0) return close_with_reset(fd);
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      auto link = std::make_shared<Link>();
      link->from = fd;
      link->to = to;
      std::thread([=] { forward(to, fd, link, mode, delay); }).detach();
      forward(fd, to, link, mode, delay);
    }).detach();
  }
}
}  // namespace standins

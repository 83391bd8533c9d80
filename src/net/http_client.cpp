#include "net/http_client.hpp"

#include <algorithm>

#include <http_parser.h>

#include "net/address.hpp"
#include "net/handles.hpp"

namespace limemast::net {
namespace {
constexpr std::size_t kMaxIdlePerEndpoint = 4;
constexpr std::size_t kMaxResponseBytes = 16UL * 1024 * 1024;
constexpr unsigned kReadBufferBytes = 16 * 1024;
/// A timer that fires this late shows that the process did not run in the meantime.
constexpr std::uint64_t kStallThresholdMs = 500;
/// Time that a request then gets to read its response from the socket.
constexpr std::uint64_t kReadGraceMs = 20;

std::string to_text(const HttpRequest& request, const Endpoint& to) {
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + to + "\r\n";
  if (!request.body.empty()) text += "Content-Type: application/json\r\n";
  text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
  return text;
}
}  // namespace

/// A connection, which serves one request at a time. It owns itself until libuv has closed both of
/// its handles.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpClient& client, Endpoint to) : client_(&client), to_(std::move(to)) {}

  bool open() {
    sockaddr_in address{};
    if (!parse_address(to_, address)) return false;
    uv_tcp_init(client_->loop_, &socket_);
    uv_timer_init(client_->loop_, &timer_);
    socket_.data = timer_.data = connect_.data = this;
    self_until_closed_ = shared_from_this();
    open_handles_ = 2;
    uv_tcp_nodelay(&socket_, 1);
    const int rc = uv_tcp_connect(
        &connect_, &socket_, as_sockaddr(address),
        [](uv_connect_t* r, int status) { static_cast<Connection*>(r->data)->on_connect(status); });
    if (rc != 0) {
      close();
      return false;
    }
    return true;
  }

  void start(const HttpRequest& request, Duration timeout, std::function<void(HttpResult)> done) {
    done_ = std::move(done);
    request_text_ = to_text(request, to_);
    result_ = {};
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    const auto wait = to_uv_milliseconds(timeout);
    deadline_ = uv_now(client_->loop_) + wait;
    uv_timer_start(
        &timer_, [](uv_timer_t* t) { static_cast<Connection*>(t->data)->on_timeout(); }, wait, 0);
    if (connected_) write();
  }

  void close() {
    if (closing_) return;
    closing_ = true;
    if (client_) client_->remove(this);
    auto closed = [](uv_handle_t* handle) {
      auto* self = static_cast<Connection*>(handle->data);
      if (--self->open_handles_ == 0) self->self_until_closed_.reset();
    };
    uv_close(as_handle(&socket_), closed);
    uv_close(as_handle(&timer_), closed);
  }
  /// Closes the connection without calling `done_`, when the client is being destroyed.
  void abandon() {
    client_ = nullptr;
    done_ = nullptr;
    close();
  }
  const Endpoint& to() const { return to_; }
  /// Position in the client's `idle_by_age_` while the connection is idle.
  std::list<Connection*>::iterator idle_at;

 private:
  void on_connect(int status) {
    if (closing_) return;
    if (status != 0) return fail();
    connected_ = true;
    uv_read_start(
        as_stream(&socket_),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
          auto* self = static_cast<Connection*>(handle->data);
          if (!self->buffer_) self->buffer_ = std::make_unique<char[]>(kReadBufferBytes);
          *buffer = uv_buf_init(self->buffer_.get(), kReadBufferBytes);
        },
        [](uv_stream_t* stream, ssize_t n, const uv_buf_t* buffer) {
          static_cast<Connection*>(stream->data)->on_read(n, buffer->base);
        });
    if (done_) write();
  }

  void write() {
    result_.maybe_sent = true;
    uv_buf_t buffer =
        uv_buf_init(request_text_.data(), static_cast<unsigned>(request_text_.size()));
    // Most requests fit into the socket's send buffer and need no asynchronous write.
    const int rc = uv_try_write(as_stream(&socket_), &buffer, 1);
    const std::size_t sent = rc > 0 ? static_cast<std::size_t>(rc) : 0;
    if (sent == request_text_.size()) return;
    buffer = uv_buf_init(request_text_.data() + sent,
                         static_cast<unsigned>(request_text_.size() - sent));
    write_.data = this;
    uv_write(&write_, as_stream(&socket_), &buffer, 1, [](uv_write_t* request, int status) {
      if (status != 0) static_cast<Connection*>(request->data)->fail();
    });
  }

  void on_read(ssize_t n, const char* data) {
    if (closing_ || n == 0) return;
    const auto self = shared_from_this();
    if (n < 0) {
      // Without a Content-Length, the end of the stream ends the response.
      if (done_ && n == UV_EOF) http_parser_execute(&parser_, &parser_callbacks(), data, 0);
      return fail();
    }
    if (!done_) return close();  // data without a pending request
    http_parser_execute(&parser_, &parser_callbacks(), data, static_cast<std::size_t>(n));
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (!closing_ && error != HPE_OK && error != HPE_PAUSED) fail();
  }

  static const http_parser_settings& parser_callbacks() {
    static const http_parser_settings kCallbacks = [] {
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_body = [](http_parser* parser, const char* at, std::size_t n) {
        auto* self = static_cast<Connection*>(parser->data);
        if (self->result_.body.size() + n > kMaxResponseBytes) return 1;
        self->result_.body.append(at, n);
        return 0;
      };
      callbacks.on_message_complete = [](http_parser* parser) {
        static_cast<Connection*>(parser->data)->on_complete();
        return 0;
      };
      return callbacks;
    }();
    return kCallbacks;
  }

  void on_complete() {
    if (!done_) return;
    uv_timer_stop(&timer_);
    result_.status = parser_.status_code;
    // `done` may start the next request on this connection, so its state is reset first.
    const auto done = std::exchange(done_, nullptr);
    auto result = std::exchange(result_, {});
    if (http_should_keep_alive(&parser_))
      client_->recycle(shared_from_this());
    else
      close();
    done(std::move(result));
  }

  /// If the process did not run for a while, a response may have arrived in time and still be
  /// unread. The request then gets a short extension, in which the loop reads the socket. Otherwise
  /// a lease that was renewed in time would count as not renewed. Covered by the test
  /// HttpClientLoopback.ResponseReceivedInTimeIsReadBeforeTimeout.
  void on_timeout() {
    const auto late = uv_now(socket_.loop) - deadline_;
    if (late <= kStallThresholdMs) return fail();
    deadline_ += late + kReadGraceMs;
    uv_timer_start(&timer_, timer_.timer_cb, kReadGraceMs, 0);
  }

  void fail() {
    if (closing_) return;
    const auto self = shared_from_this();
    const auto done = std::exchange(done_, nullptr);
    HttpResult result;
    result.maybe_sent = result_.maybe_sent;
    close();
    if (done) done(std::move(result));
  }

  HttpClient* client_;  ///< nullptr after its destruction has begun
  Endpoint to_;
  uv_tcp_t socket_{};
  uv_timer_t timer_{};  ///< time-out of the pending request
  uv_connect_t connect_{};
  uv_write_t write_{};
  http_parser parser_{};
  std::unique_ptr<char[]> buffer_;
  std::string request_text_;
  HttpResult result_;                     ///< of the pending request, as far as received
  std::function<void(HttpResult)> done_;  ///< empty: no request is pending
  std::shared_ptr<Connection> self_until_closed_;
  int open_handles_ = 0;
  std::uint64_t deadline_ = 0;  ///< milliseconds on the loop's clock
  bool connected_ = false;
  bool closing_ = false;
};

HttpClient::HttpClient(uv_loop_t* loop, std::size_t max_connections)
    : loop_(loop), max_connections_(max_connections) {}

HttpClient::~HttpClient() {
  for (auto& connection : open_) connection->abandon();
}

void HttpClient::request(const Endpoint& to, const HttpRequest& request, Duration timeout,
                         std::function<void(HttpResult)> done) {
  std::shared_ptr<Connection> connection;
  if (auto idle = idle_.find(to); idle != idle_.end()) {
    connection = idle->second.back();
    remove_idle(connection.get());
  } else {
    if (open_.size() >= max_connections_ && !idle_by_age_.empty()) idle_by_age_.front()->close();
    if (open_.size() >= max_connections_) return done({});
    connection = std::make_shared<Connection>(*this, to);
    open_.push_back(connection);
    if (!connection->open()) {
      remove(connection.get());
      return done({});
    }
  }
  connection->start(request, timeout, std::move(done));
}

void HttpClient::recycle(const std::shared_ptr<Connection>& connection) {
  if (auto it = idle_.find(connection->to());
      it != idle_.end() && it->second.size() >= kMaxIdlePerEndpoint)
    return connection->close();
  idle_[connection->to()].push_back(connection);
  connection->idle_at = idle_by_age_.insert(idle_by_age_.end(), connection.get());
}

void HttpClient::remove_idle(Connection* connection) {
  const auto it = idle_.find(connection->to());
  if (it == idle_.end() ||
      std::erase_if(it->second, [&](const auto& c) { return c.get() == connection; }) == 0)
    return;
  if (it->second.empty()) idle_.erase(it);
  idle_by_age_.erase(connection->idle_at);
}

void HttpClient::remove(Connection* connection) {
  remove_idle(connection);
  open_.remove_if([&](const auto& c) { return c.get() == connection; });
}
}  // namespace limemast::net

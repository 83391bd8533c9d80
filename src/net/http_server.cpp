#include "net/http_server.hpp"

#include <climits>
#include <utility>

#include <http_parser.h>

namespace limemast::net {
namespace {
constexpr std::size_t kMaxBodyBytes = 64UL * 1024;
constexpr std::size_t kMaxPathBytes = 2048;
/// A connection with more unsent bytes than this is closed.
constexpr std::size_t kMaxUnsentBytes = 256UL * 1024;
constexpr std::size_t kReadBufferBytes = 64UL * 1024;
/// Time-out for receiving a complete request, so that slow clients do not occupy sockets.
constexpr Duration kRequestTimeout = 10s;
constexpr Duration kIdleTimeout = 120s;
constexpr Duration kSweepInterval = 2s;
constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

std::string status_line(int status) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n";
}

std::string to_text(const HttpResponse& response, bool keep_alive) {
  std::string text = status_line(response.status);
  if (!response.body.empty()) text += "Content-Type: " + response.type + "\r\n";
  if (response.retry_after_s > 0)
    text += "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
  if (!response.allow.empty()) text += "Allow: " + response.allow + "\r\n";
  if (!keep_alive) text += "Connection: close\r\n";
  text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
  return text;
}
}  // namespace

/// A connection of a client. It owns itself until libuv has closed its socket.
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(HttpServer& server) : server_(&server) {}

  bool accept(uv_stream_t* listener) {
    uv_tcp_init(server_->loop_, &socket_);
    socket_.data = this;
    self_until_closed_ = shared_from_this();
    ++server_->live_connections_;
    if (uv_accept(listener, stream()) != 0) return false;
    uv_tcp_nodelay(&socket_, 1);
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    record_activity();
    uv_read_start(
        stream(),
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
          // All connections share the buffer: there is one thread, and on_read() consumes the data
          // at once.
          static char shared[kReadBufferBytes];
          *buffer = uv_buf_init(shared, sizeof shared);
        },
        [](uv_stream_t* stream, ssize_t n, const uv_buf_t* buffer) {
          static_cast<Connection*>(stream->data)->on_read(n, buffer->base);
        });
    return true;
  }

  void close() {
    if (closing_) return;
    closing_ = true;
    if (server_) --server_->live_connections_;
    uv_close(as_handle(&socket_), [](uv_handle_t* handle) {
      auto* self = static_cast<Connection*>(handle->data);
      if (self->server_) self->server_->open_.erase(self->open_at);
      self->self_until_closed_.reset();
    });
  }
  /// Closes the connection when the server is being destroyed.
  void abandon() {
    server_ = nullptr;
    close();
  }
  /// Whether no request is being received or processed.
  bool idle() const { return !responding_ && !receiving_; }
  ConnectionClass connection_class() const { return connection_class_; }
  bool closing() const { return closing_; }
  /// Last time that a request began, was complete or was answered: milliseconds on the loop's
  /// clock.
  std::uint64_t last_activity() const { return last_activity_; }
  /// Whether the time-out for the client's next request, or for the rest of it, has expired.
  bool stale(std::uint64_t now) const {
    const auto limit = to_uv_milliseconds(receiving_ ? kRequestTimeout : kIdleTimeout);
    return !responding_ && now - last_activity_ > limit;
  }
  /// Position in the server's `open_`.
  std::list<std::shared_ptr<Connection>>::iterator open_at;

 private:
  uv_stream_t* stream() { return as_stream(&socket_); }
  void record_activity() { last_activity_ = uv_now(server_->loop_); }

  void on_read(ssize_t n, const char* data) {
    if (closing_ || n == 0) return;
    if (n < 0) return close();
    if (responding_) return close();  // pipelining is not supported
    const auto self = shared_from_this();
    http_parser_execute(&parser_, &parser_callbacks(), data, static_cast<std::size_t>(n));
    if (closing_) return;
    if (too_large_) return refuse_and_close(kPayloadTooLarge);
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) return refuse_and_close(kBadRequest);
  }

  static Connection& connection(http_parser* parser) {
    return *static_cast<Connection*>(parser->data);
  }
  static const http_parser_settings& parser_callbacks() {
    static const http_parser_settings kCallbacks = [] {
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_message_begin = [](http_parser* parser) {
        return connection(parser).on_begin();
      };
      callbacks.on_url = [](http_parser* parser, const char* at, std::size_t n) {
        return connection(parser).on_url(at, n);
      };
      callbacks.on_headers_complete = [](http_parser* parser) {
        return connection(parser).on_headers();
      };
      callbacks.on_body = [](http_parser* parser, const char* at, std::size_t n) {
        return connection(parser).on_body(at, n);
      };
      callbacks.on_message_complete = [](http_parser* parser) {
        connection(parser).on_request();
        return kContinue;
      };
      return callbacks;
    }();
    return kCallbacks;
  }

  // Return values of the parser's callbacks.
  static constexpr int kContinue = 0;
  static constexpr int kAbort = 1;
  /// For on_headers(), where 1 would mean that the request has no body.
  static constexpr int kAbortHeaders = -1;

  int on_begin() {
    if (responding_) return kAbort;
    request_ = {};
    receiving_ = true;
    record_activity();
    return kContinue;
  }
  int on_url(const char* at, std::size_t n) {
    if (request_.path.size() + n > kMaxPathBytes) return kAbort;
    request_.path.append(at, n);
    return kContinue;
  }
  int on_headers() {
    constexpr auto kNoContentLength = ULLONG_MAX;
    too_large_ =
        parser_.content_length != kNoContentLength && parser_.content_length > kMaxBodyBytes;
    return too_large_ ? kAbortHeaders : kContinue;
  }
  int on_body(const char* at, std::size_t n) {
    too_large_ = request_.body.size() + n > kMaxBodyBytes;
    if (too_large_) return kAbort;
    request_.body.append(at, n);
    return kContinue;
  }

  void on_request() {
    receiving_ = false;
    responding_ = true;
    record_activity();
    keep_alive_ = http_should_keep_alive(&parser_);
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    server_->handler_(
        request_,
        [weak = weak_from_this(), number = ++request_number_](const HttpResponse& response) {
          const auto self = weak.lock();
          if (self && self->responding_ && self->request_number_ == number) self->reply(response);
        },
        server_->limits_.should_refuse_users(server_->live_connections_));
  }

  void reply(const HttpResponse& response) {
    if (closing_) return;
    responding_ = false;
    record_activity();
    connection_class_ = response.connection_class;
    if (server_->limits_.should_close_after(connection_class_, server_->live_connections_))
      keep_alive_ = false;
    send(to_text(response, keep_alive_), !keep_alive_);
  }

  void refuse_and_close(int status) {
    send(status_line(status) + "Connection: close\r\nContent-Length: 0\r\n\r\n", true);
  }

  void send(std::string data, bool then_close) {
    uv_buf_t buffer = uv_buf_init(data.data(), static_cast<unsigned>(data.size()));
    const int rc =
        uv_stream_get_write_queue_size(stream()) == 0 ? uv_try_write(stream(), &buffer, 1) : 0;
    const std::size_t sent = rc > 0 ? static_cast<std::size_t>(rc) : 0;
    if (sent == data.size()) {
      if (then_close) close();
      return;
    }
    if (uv_stream_get_write_queue_size(stream()) > kMaxUnsentBytes) return close();
    send_later(data.substr(sent), then_close);
  }

  /// An asynchronous write. It owns its data and keeps the connection alive until it completes.
  struct Write {
    uv_write_t request{};
    std::string data;
    std::shared_ptr<Connection> connection;
    bool then_close = false;
  };

  void send_later(std::string data, bool then_close) {
    auto write = std::make_unique<Write>();
    write->data = std::move(data);
    write->connection = shared_from_this();
    write->then_close = then_close;
    write->request.data = write.get();
    const uv_buf_t buffer =
        uv_buf_init(write->data.data(), static_cast<unsigned>(write->data.size()));
    const int rc =
        uv_write(&write->request, stream(), &buffer, 1, [](uv_write_t* request, int status) {
          const std::unique_ptr<Write> done(static_cast<Write*>(request->data));
          if (status != 0 || done->then_close) done->connection->close();
        });
    if (rc != 0) return close();
    (void)write.release();  // the callback takes ownership
  }

  HttpServer* server_;  ///< nullptr after its destruction has begun
  uv_tcp_t socket_{};
  http_parser parser_{};
  HttpRequest request_;
  std::shared_ptr<Connection> self_until_closed_;
  std::uint64_t last_activity_ = 0;
  std::uint64_t request_number_ = 0;  ///< for responders of earlier requests, which are ignored
  bool receiving_ = false;            ///< a request has begun and is incomplete
  bool responding_ = false;           ///< a request is being processed
  bool keep_alive_ = true;
  bool too_large_ = false;
  ConnectionClass connection_class_ = ConnectionClass::Unknown;
  bool closing_ = false;
};

HttpServer::HttpServer(uv_loop_t* loop, std::size_t max_connections, Handler handler)
    : loop_(loop),
      limits_(max_connections),
      handler_(std::move(handler)),
      sweep_timer_(make_handle<uv_timer_t>(loop, uv_timer_init)) {
  sweep_timer_->data = this;
  const auto interval = to_uv_milliseconds(kSweepInterval);
  uv_timer_start(
      sweep_timer_.get(), [](uv_timer_t* t) { static_cast<HttpServer*>(t->data)->close_stale(); },
      interval, interval);
}

HttpServer::~HttpServer() {
  for (auto& connection : open_) connection->abandon();
}

void HttpServer::accept(uv_stream_t* listener) {
  auto connection = std::make_shared<Connection>(*this);
  connection->open_at = open_.insert(open_.end(), connection);
  if (!connection->accept(listener)) return connection->close();
  if (!limits_.over_limit(live_connections_)) return;
  const auto to_close = find_connection_to_close(connection);
  (to_close ? to_close : connection)->close();
}

// Of the connections in the lowest closing order, chooses the one that has been idle for longest.
// Connections accepted in the same iteration of the loop are candidates too; otherwise a burst of
// connections without requests would keep out all later ones. Covered by
// HttpServerLoopback.IdleConnectionsAreClosedForNewOnes.
std::shared_ptr<HttpServer::Connection> HttpServer::find_connection_to_close(
    const std::shared_ptr<Connection>& newest) const {
  const auto order = [](const Connection& connection) {
    return std::pair(ConnectionLimits::closing_order(connection.connection_class()),
                     connection.last_activity());
  };
  std::shared_ptr<Connection> chosen;
  for (const auto& candidate : open_) {
    if (candidate->closing() || candidate == newest || !candidate->idle() ||
        ConnectionLimits::is_never_closed_when_idle(candidate->connection_class()))
      continue;
    if (!chosen || order(*candidate) < order(*chosen)) chosen = candidate;
  }
  return chosen;
}

void HttpServer::close_stale() {
  const auto now = uv_now(loop_);
  for (auto& connection : open_)
    if (connection->stale(now)) connection->close();
}
}  // namespace limemast::net

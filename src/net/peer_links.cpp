#include "net/peer_links.hpp"

#include "net/address.hpp"
#include "wire/cbor.hpp"

namespace limemast::net {
namespace {
constexpr std::size_t kMaxFrameBytes = 1024UL * 1024;
/// Limit of the queue of one link; messages beyond it are dropped.
constexpr std::size_t kMaxUnsentBytes = 512UL * 1024;
constexpr std::size_t kReadBufferBytes = 64UL * 1024;
/// Read buffer of a link on which no data is expected.
constexpr std::size_t kIgnoredBytes = 256;
/// A frame begins with its size as a big-endian integer.
constexpr std::size_t kHeaderBytes = 4;
constexpr unsigned kBitsPerByte = 8;
/// Above this number, the oldest incoming link is closed when a new one is accepted.
constexpr std::size_t kMaxIncoming = 16;
/// A link on which no byte could be sent for this long is closed, so that outdated messages are not
/// delivered later.
constexpr Duration kStallTimeout = 4s;
/// Minimum time between two attempts to open a link.
constexpr Duration kMinReopenInterval = 300ms;

void append_size(std::string& out, std::uint32_t size) {
  for (auto i = kHeaderBytes; i > 0; --i)
    out.push_back(static_cast<char>(size >> (i - 1) * kBitsPerByte));
}
/// Reads the size from the header at `offset`, which must be complete.
std::uint32_t read_size(const std::string& in, std::size_t offset) {
  std::uint32_t size = 0;
  for (std::size_t i = 0; i < kHeaderBytes; ++i)
    size = size << kBitsPerByte | static_cast<std::uint8_t>(in[offset + i]);
  return size;
}
}  // namespace

/// A link that this controller has opened. It owns itself until libuv has closed its socket.
class PeerLinks::Outgoing : public std::enable_shared_from_this<Outgoing> {
 public:
  Outgoing(uv_loop_t* loop, Endpoint to)
      : loop_(loop), to_(std::move(to)), opened_at_(uv_now(loop)) {}

  bool open() {
    sockaddr_in address{};
    if (!parse_address(to_, address)) return false;
    uv_tcp_init(loop_, &socket_);
    socket_.data = connect_.data = this;
    self_until_closed_ = shared_from_this();
    uv_tcp_nodelay(&socket_, 1);
    const int rc = uv_tcp_connect(
        &connect_, &socket_, as_sockaddr(address),
        [](uv_connect_t* r, int status) { static_cast<Outgoing*>(r->data)->on_connect(status); });
    if (rc != 0) close();
    return !closing_;
  }
  void close() {
    if (closing_) return;
    closing_ = true;
    uv_close(as_handle(&socket_), [](uv_handle_t* handle) {
      static_cast<Outgoing*>(handle->data)->self_until_closed_.reset();
    });
  }
  /// Closes the link if it makes no progress. Returns whether it is still open.
  bool usable() {
    if (!closing_ && unsent() && uv_now(loop_) - last_progress_ > to_uv_milliseconds(kStallTimeout))
      close();
    return !closing_;
  }
  bool old_enough_to_reopen() const {
    return uv_now(loop_) - opened_at_ > to_uv_milliseconds(kMinReopenInterval);
  }

  /// Queues the frame for the next flush().
  void send(const std::vector<std::uint8_t>& frame) {
    if (pending_.size() + frame.size() > kMaxUnsentBytes) return;
    if (!unsent()) last_progress_ = uv_now(loop_);
    append_size(pending_, static_cast<std::uint32_t>(frame.size()));
    pending_.append(reinterpret_cast<const char*>(frame.data()), frame.size());
  }
  /// Called once per iteration of the loop, so that one system call sends all messages of the
  /// iteration.
  void flush() {
    if (!connected_ || closing_ || writing_ || pending_.empty()) return;
    uv_buf_t buffer = uv_buf_init(pending_.data(), static_cast<unsigned>(pending_.size()));
    const int sent = uv_try_write(as_stream(&socket_), &buffer, 1);
    if (sent > 0) {
      pending_.erase(0, static_cast<std::size_t>(sent));
      last_progress_ = uv_now(loop_);
    }
    if (pending_.empty()) return;
    sending_.swap(pending_);
    pending_.clear();
    writing_ = true;
    write_.data = this;
    buffer = uv_buf_init(sending_.data(), static_cast<unsigned>(sending_.size()));
    const int rc = uv_write(
        &write_, as_stream(&socket_), &buffer, 1,
        [](uv_write_t* w, int status) { static_cast<Outgoing*>(w->data)->on_written(status); });
    if (rc != 0) close();
  }

 private:
  void on_connect(int status) {
    if (status != 0) return close();
    connected_ = true;
    // The other side sends no data on this link; reading only detects that it was closed.
    uv_read_start(
        as_stream(&socket_),
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
          static char ignored[kIgnoredBytes];
          *buffer = uv_buf_init(ignored, sizeof ignored);
        },
        [](uv_stream_t* stream, ssize_t n, const uv_buf_t*) {
          if (n < 0) static_cast<Outgoing*>(stream->data)->close();
        });
    flush();
  }
  void on_written(int status) {
    writing_ = false;
    last_progress_ = uv_now(loop_);
    if (status != 0) return close();
    flush();
  }
  bool unsent() const { return !pending_.empty() || writing_; }

  uv_loop_t* loop_;
  Endpoint to_;
  std::uint64_t opened_at_;  ///< milliseconds on the loop's clock
  /// Likewise; last time that bytes were sent, or queued while the queue was empty.
  std::uint64_t last_progress_ = 0;
  uv_tcp_t socket_{};
  uv_connect_t connect_{};
  uv_write_t write_{};
  std::string pending_;  ///< queued for the next flush()
  std::string sending_;  ///< buffer of the write in progress, while `writing_`
  std::shared_ptr<Outgoing> self_until_closed_;
  bool connected_ = false;
  bool writing_ = false;
  bool closing_ = false;
};

/// A link that another controller has opened to this one. It owns itself until libuv has closed its
/// socket.
class PeerLinks::Incoming : public std::enable_shared_from_this<Incoming> {
 public:
  explicit Incoming(PeerLinks& links) : links_(&links) {}
  bool accept(uv_stream_t* listener) {
    uv_tcp_init(links_->loop_, &socket_);
    socket_.data = this;
    self_until_closed_ = shared_from_this();
    if (uv_accept(listener, as_stream(&socket_)) != 0) return false;
    uv_read_start(
        as_stream(&socket_),
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
          // All links share the buffer: there is one thread, and on_read() consumes the data at
          // once.
          static char shared[kReadBufferBytes];
          *buffer = uv_buf_init(shared, sizeof shared);
        },
        [](uv_stream_t* stream, ssize_t n, const uv_buf_t* buffer) {
          static_cast<Incoming*>(stream->data)->on_read(n, buffer->base);
        });
    return true;
  }
  void close() {
    if (closing_) return;
    closing_ = true;
    uv_close(as_handle(&socket_), [](uv_handle_t* handle) {
      auto* self = static_cast<Incoming*>(handle->data);
      if (self->links_)
        self->links_->incoming_.remove_if([&](const auto& link) { return link.get() == self; });
      self->self_until_closed_.reset();
    });
  }
  /// Closes the link when `links_` is being destroyed.
  void abandon() {
    links_ = nullptr;
    close();
  }

 private:
  void on_read(ssize_t n, const char* data) {
    if (closing_ || n == 0) return;
    if (n < 0) return close();
    const auto self = shared_from_this();
    received_.append(data, static_cast<std::size_t>(n));
    std::size_t offset = 0;
    while (!closing_ && links_ && received_.size() - offset >= kHeaderBytes) {
      const std::size_t size = read_size(received_, offset);
      if (size > kMaxFrameBytes) return close();
      if (received_.size() - offset - kHeaderBytes < size) break;
      if (!handle_frame(offset + kHeaderBytes, size)) return close();
      offset += kHeaderBytes + size;
    }
    received_.erase(0, offset);
  }
  /// Returns false if the frame is malformed; the rest of the stream is then not usable.
  bool handle_frame(std::size_t offset, std::size_t size) {
    auto message =
        wire::from_cbor(reinterpret_cast<const std::uint8_t*>(received_.data()) + offset, size);
    if (!message || !message->is_object()) return false;
    try {
      links_->on_message_(std::move(*message));
    } catch (const wire::json::exception&) {
      return false;
    }
    return true;
  }
  PeerLinks* links_;  ///< nullptr after its destruction has begun
  uv_tcp_t socket_{};
  std::string received_;  ///< unprocessed bytes; starts at the beginning of a frame
  std::shared_ptr<Incoming> self_until_closed_;
  bool closing_ = false;
};

PeerLinks::PeerLinks(uv_loop_t* loop, std::map<std::string, Endpoint> endpoints,
                     MessageHandler on_message)
    : loop_(loop),
      on_message_(std::move(on_message)),
      flusher_(make_handle<uv_prepare_t>(loop, uv_prepare_init)),
      endpoints_(std::move(endpoints)) {
  flusher_->data = this;
  uv_prepare_start(flusher_.get(), [](uv_prepare_t* prepare) {
    for (auto& [label, link] : static_cast<PeerLinks*>(prepare->data)->outgoing_) link->flush();
  });
}

PeerLinks::~PeerLinks() {
  for (auto& link : incoming_) link->abandon();
  for (auto& [label, link] : outgoing_) link->close();
}

void PeerLinks::accept(uv_stream_t* listener) {
  auto link = std::make_shared<Incoming>(*this);
  incoming_.push_back(link);
  if (!link->accept(listener)) return link->close();
  if (incoming_.size() > kMaxIncoming) incoming_.front()->close();
}

void PeerLinks::send(const std::string& label, const wire::json& message) {
  const auto other = endpoints_.find(label);
  if (other == endpoints_.end()) return;
  auto& link = outgoing_[label];
  if (!link || !link->usable()) {
    if (link && !link->old_enough_to_reopen()) return;
    link = std::make_shared<Outgoing>(loop_, other->second);
    if (!link->open()) return;
  }
  link->send(wire::to_cbor(message));
}
}  // namespace limemast::net

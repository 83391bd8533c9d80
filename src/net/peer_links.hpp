#pragma once
// TCP connections between controllers.
#include <list>
#include <map>
#include <memory>

#include <uv.h>

#include "net/handles.hpp"
#include "net/runtime.hpp"

namespace limemast::net {
/// Connections between controllers, which carry length-prefixed CBOR frames over TCP. Each side
/// sends only on the link that it has opened. A malformed frame closes its link. Messages are not
/// retransmitted: those that are queued on a link when it closes are lost.
class PeerLinks {
 public:
  /// Handles a message, which is a JSON object. If it throws wire::json::exception, the link is
  /// closed.
  using MessageHandler = std::function<void(wire::json)>;
  /// `endpoints`: addresses of the other controllers, by label.
  PeerLinks(uv_loop_t* loop, std::map<std::string, Endpoint> endpoints, MessageHandler on_message);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// Accepts the pending connection of `listener`.
  void accept(uv_stream_t* listener);
  /// Queues the message; it is sent before the loop polls next. Opens a link if there is none.
  /// Drops the message if the label is unknown, the queue is full, or the link cannot be opened or
  /// makes no progress.
  void send(const std::string& label, const wire::json& message);

  class Outgoing;
  class Incoming;

 private:
  friend class Incoming;
  uv_loop_t* loop_;
  MessageHandler on_message_;
  UniqueHandle<uv_prepare_t> flusher_;
  std::map<std::string, std::shared_ptr<Outgoing>> outgoing_;
  std::map<std::string, Endpoint> endpoints_;
  std::list<std::shared_ptr<Incoming>> incoming_;
};
}  // namespace limemast::net

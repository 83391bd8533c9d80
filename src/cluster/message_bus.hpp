#pragma once
// Messaging between the actors of all controllers.
#include <functional>
#include <map>
#include <string>

#include "cluster/membership.hpp"

namespace limemast::cluster {
/// Delivers messages between the actors of all controllers, including this one, on a best-effort
/// basis. A message names the incarnations of its sender and receiver. It is dropped if the sender
/// is not a member or if it is addressed to another incarnation of this controller.
///
/// A message type has a `kKind`, to_json and from_json (src/messages/). A message that cannot be
/// decoded is dropped and counted as a decode error.
class MessageBus {
 public:
  MessageBus(net::Runtime& runtime, const Membership& membership,
             store::DecodeErrors& decode_errors);

  /// Registers the only handler for this message type. It receives the sender and the message.
  template <class Message, class Handler>
  void on(Handler handler) {
    handlers_[Message::kKind] = [handler = std::move(handler)](const ControllerId& from,
                                                               const wire::json& json) {
      handler(from, json.get<Message>());
    };
  }
  /// Sends to one member. A message to this controller itself is delivered in a later event loop
  /// iteration.
  template <class Message>
  void send(const ControllerId& to, const Message& message) {
    send_json(to, Message::kKind, wire::json(message));
  }
  /// Sends to all other members.
  template <class Message>
  void broadcast(const Message& message) {
    broadcast_json(Message::kKind, wire::json(message));
  }
  /// Delivers a message received from another controller.
  void receive(const wire::json& message);

 private:
  using JsonHandler = std::function<void(const ControllerId& from, const wire::json& message)>;
  void send_json(const ControllerId& to, const char* kind, wire::json message);
  void broadcast_json(const char* kind, wire::json message);

  net::Runtime& runtime_;
  const Membership& membership_;
  store::DecodeErrors& decode_errors_;
  std::map<std::string, JsonHandler> handlers_;  ///< by kind
};
}  // namespace limemast::cluster

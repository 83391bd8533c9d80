#include "cluster/message_bus.hpp"

namespace limemast::cluster {
namespace {
constexpr const char* kKindField = "t";
constexpr const char* kToField = "to";
constexpr const char* kFromField = "from";
}  // namespace

MessageBus::MessageBus(net::Runtime& runtime, const Membership& membership,
                       store::DecodeErrors& decode_errors)
    : runtime_(runtime), membership_(membership), decode_errors_(decode_errors) {}

void MessageBus::send_json(const ControllerId& to, const char* kind, wire::json message) {
  message[kKindField] = kind;
  message[kToField] = to;
  message[kFromField] = membership_.self();
  if (to == membership_.self()) {
    runtime_.post([this, message = std::move(message)] { receive(message); });
  } else if (membership_.is_member(to)) {
    runtime_.send_peer(to.label(), message);
  }
}

void MessageBus::broadcast_json(const char* kind, wire::json message) {
  message[kKindField] = kind;
  message[kFromField] = membership_.self();
  for (const auto& member : membership_.epoch().members) {
    if (member == membership_.self()) continue;
    message[kToField] = member;
    runtime_.send_peer(member.label(), message);
  }
}

void MessageBus::receive(const wire::json& message) {
  const auto& self = membership_.self();
  if (self.empty() || string_field(message, kToField) != self.text()) return;
  const auto from = ControllerId::from_text(string_field(message, kFromField));
  if (!membership_.is_member(from)) return;
  const auto handler = handlers_.find(string_field(message, kKindField));
  if (handler == handlers_.end()) return;
  try {
    handler->second(from, message);
  } catch (const wire::json::exception&) {
    // The message counts as lost, which every actor tolerates.
    decode_errors_.record("message " + handler->first);
  }
}
}  // namespace limemast::cluster

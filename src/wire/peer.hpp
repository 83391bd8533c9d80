#pragma once
// Encoding of workers' heartbeats that controllers forward to each other.
#include <optional>

#include "wire/worker.hpp"

namespace limemast::wire {
/// Encodes a heartbeat as a flat array in which each field has a fixed position. With a thousand
/// machines, field names would take longer to parse than the values. The order and the number of
/// the fields are part of the protocol between controllers.
json to_peer_json(const Heartbeat& heartbeat);
/// Accepts any JSON value. Returns nullopt if the message is not an array of this layout.
std::optional<Heartbeat> parse_peer_heartbeat(const json& message);
}  // namespace limemast::wire

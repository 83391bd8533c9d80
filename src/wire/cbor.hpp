#pragma once
// CBOR encoding of the messages between controllers.
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/job.hpp"

namespace limemast::wire {
/// Encodes the message as one CBOR item.
std::vector<std::uint8_t> to_cbor(const json& message);
/// Returns nullopt if the bytes are not exactly one item, or contain a byte string, a tag, an item
/// of indefinite length or more than 16 levels of nesting.
std::optional<json> from_cbor(const std::uint8_t* data, std::size_t size);
}  // namespace limemast::wire

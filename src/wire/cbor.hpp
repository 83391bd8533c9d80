#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/job.hpp"

namespace limemast::wire {
/// What controllers say to each other, as one CBOR item (libcbor does the encoding).
std::vector<std::uint8_t> to_cbor(const json& message);
/// nullopt if the bytes are not exactly one item of the kinds we use.
std::optional<json> from_cbor(const std::uint8_t* data, std::size_t size);
}  // namespace limemast::wire

#pragma once
// Encodes requests to workers and decodes their responses.
#include <optional>
#include <vector>

#include "net/runtime.hpp"
#include "wire/worker.hpp"

namespace limemast::machines {
/// How long a worker may take to answer a request.
inline constexpr auto kWorkerRequestTimeout = std::chrono::seconds(2);

/// A request to the worker of this incarnation to execute the commands at once, in order. With
/// empty `commands` it only shows the worker the fencing token.
net::HttpRequest command_request(std::uint64_t incarnation, ids::FencingToken token,
                                 const std::vector<wire::Command>& commands);

/// The heartbeat in the body of a worker's response; nullopt if the body contains no valid
/// heartbeat.
std::optional<wire::Heartbeat> heartbeat_from_response(const net::HttpResult& result);
}  // namespace limemast::machines

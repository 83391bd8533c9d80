#include "machines/worker_requests.hpp"

namespace limemast::machines {
namespace {
constexpr auto kCommandPath = "/orders";
constexpr auto kIncarnationField = "tenure";
}  // namespace

net::HttpRequest command_request(std::uint64_t incarnation, ids::FencingToken token,
                                 const std::vector<wire::Command>& commands) {
  auto body = wire::commands_body(token, commands);
  body[kIncarnationField] = incarnation;
  return {"POST", kCommandPath, body.dump()};
}

std::optional<wire::Heartbeat> heartbeat_from_response(const net::HttpResult& result) {
  const auto body = wire::json::parse(result.body, nullptr, false);
  return body.is_object() ? wire::parse_heartbeat(body) : std::nullopt;
}
}  // namespace limemast::machines

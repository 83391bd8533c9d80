#include "tools/api.hpp"

#include <algorithm>
#include <sstream>

#include "net/address.hpp"

namespace limemast::tools {
namespace {
const std::string kPrefix = "/operator/v1/";
constexpr std::size_t kMaxReasonBytes = 160;
}  // namespace

HttpApi::HttpApi(net::Runtime& runtime, std::vector<net::Endpoint> controllers,
                 net::Duration timeout)
    : runtime_(runtime), controllers_(std::move(controllers)), timeout_(timeout) {}

void HttpApi::call(const std::string& method, const std::string& path, const std::string& body,
                   Done done) {
  attempt({method, kPrefix + path, body}, 0, {}, std::move(done));
}

void HttpApi::attempt(net::HttpRequest request, std::size_t attempts, Answer last_refusal,
                      Done done) {
  if (attempts == controllers_.size()) return done(std::move(last_refusal));
  const auto& to = controllers_[current_];
  runtime_.http(to, request, timeout_,
                [this, request, attempts, last_refusal = std::move(last_refusal),
                 done = std::move(done), to](net::HttpResult r) mutable {
                  // After a 503 or without an answer the next controller is tried. A request whose
                  // answer was lost is sent again: starting or ending a drain twice has no further
                  // effect.
                  if (r.status != 0 && r.status != 503)
                    return done({r.status, std::move(r.body), to});
                  if (r.status != 0) last_refusal = {r.status, std::move(r.body), to};
                  current_ = (current_ + 1) % controllers_.size();
                  attempt(std::move(request), attempts + 1, std::move(last_refusal),
                          std::move(done));
                });
}

std::vector<net::Endpoint> parse_controllers(const std::string& list) {
  std::vector<net::Endpoint> out;
  std::istringstream in(list);
  for (std::string one; std::getline(in, one, ',');) {
    sockaddr_in address{};
    if (!net::parse_address(one, address)) throw ApiError("--to: must be HOST:PORT: " + one);
    out.push_back(one);
  }
  if (out.empty()) throw ApiError("--to: names no controller");
  return out;
}

wire::json body_of(const Answer& answer, const std::string& path,
                   std::initializer_list<int> accepted_statuses) {
  if (answer.status == 0)
    throw ApiError(path + ": no controller answered, or the answer was cut off");
  auto body = wire::json::parse(answer.body, nullptr, false);
  if (std::find(accepted_statuses.begin(), accepted_statuses.end(), answer.status) ==
      accepted_statuses.end()) {
    std::string why = body.is_object() && body.contains("error") && body["error"].is_string()
                          ? body["error"].get<std::string>()
                          : "no reason given";
    throw ApiError(path + ": " + answer.from + " answered " + std::to_string(answer.status) + ": " +
                   why.substr(0, kMaxReasonBytes));
  }
  if (!body.is_object())
    throw ApiError(path + ": " + answer.from + " sent an answer that is not a JSON object");
  return body;
}
}  // namespace limemast::tools

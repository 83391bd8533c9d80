#include "jobs/user_protocol.hpp"

#include <algorithm>

namespace limemast::jobs::user_protocol {
namespace {
using wire::json;
constexpr int kMinRetryAfterSeconds = 1;
constexpr int kMaxRetryAfterSeconds = 30;  ///< users retry after this time at the latest

net::HttpResponse json_response(int status, const json& body, int retry_after_s = 0) {
  net::HttpResponse out;
  out.status = status;
  out.body = body.dump();
  out.retry_after_s = retry_after_s;
  return out;
}

net::HttpResponse error(int status, const std::string& what) {
  return json_response(status, json{{"error", what}});
}

net::HttpResponse unavailable(const std::string& what, int retry_after_s = kMinRetryAfterSeconds) {
  return json_response(http_status::kServiceUnavailable, json{{"error", what}}, retry_after_s);
}
}  // namespace

net::HttpResponse status_response(const std::string& uid, const Status& status, int http_status) {
  return json_response(http_status, json{{"uid", uid},
                                         {"phase", name_of(status.phase)},
                                         {"done", status.done},
                                         {"running", status.running}});
}

net::HttpResponse final_phase_response(const std::string& uid, const std::string& phase) {
  return json_response(http_status::kOk, json{{"uid", uid}, {"phase", phase}});
}

net::HttpResponse not_found() { return error(http_status::kNotFound, "no such job"); }

net::HttpResponse undecided() { return unavailable("undecided"); }

net::HttpResponse not_ready() { return unavailable("not ready"); }

net::HttpResponse store_unavailable() { return unavailable("state service"); }

net::HttpResponse bad_request(const std::string& field) {
  return error(http_status::kBadRequest, field);
}

net::HttpResponse unprocessable(const std::string& reason) {
  return error(http_status::kUnprocessable, reason);
}

net::HttpResponse busy(net::Duration wait) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
  return unavailable(
      "busy", std::clamp(static_cast<int>(seconds), kMinRetryAfterSeconds, kMaxRetryAfterSeconds));
}
}  // namespace limemast::jobs::user_protocol

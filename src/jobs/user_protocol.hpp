#pragma once
// The responses of the user API. This is the only place that defines their field names and texts.
#include <string>

#include "jobs/job.hpp"
#include "net/runtime.hpp"

namespace limemast::jobs::user_protocol {
namespace http_status {
constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnprocessable = 422;
constexpr int kServiceUnavailable = 503;
}  // namespace http_status

/// The job's status.
net::HttpResponse status_response(const std::string& uid, const Status& status,
                                  int http_status = http_status::kOk);
/// The response to a cancellation: the job's final phase. `phase` is its name on the wire.
net::HttpResponse final_phase_response(const std::string& uid, const std::string& phase);
/// 404: no job with this uid was ever accepted.
net::HttpResponse not_found();
/// 503: whether the job exists, or how it ended, is not known in time.
net::HttpResponse undecided();
/// 503: this controller cannot accept jobs now.
net::HttpResponse not_ready();
/// 503: the job could not be written to the key-value store.
net::HttpResponse store_unavailable();
/// 400: the submission cannot be parsed. `field` is the first invalid field.
net::HttpResponse bad_request(const std::string& field);
/// 422: the submission is well-formed, but the job can never run. `reason` begins with the field.
net::HttpResponse unprocessable(const std::string& reason);
/// 503: the request is rejected under load. `wait` is the time until the requests ahead of it are
/// served. The Retry-After header gives it in whole seconds, clamped to fixed limits.
net::HttpResponse busy(net::Duration wait = {});

/// The reasons for a 422 response.
namespace unprocessable_reason {
constexpr auto kUnknownTeam = "owner: unknown team";
constexpr auto kFitsNoType = "flavors: a task fits no allowed machine type";
constexpr auto kNotInZone = "district: no allowed machine type that a task fits is offered there";
constexpr auto kExceedsLimit = "owner: more than the team's limit";
}  // namespace unprocessable_reason
}  // namespace limemast::jobs::user_protocol

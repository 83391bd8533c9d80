#pragma once
#include <stdexcept>
#include <vector>

#include "net/runtime.hpp"

namespace limemast::tools {
/// An error whose message is one line for the user.
struct ApiError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Answer {
  int status = 0;  ///< 0: no controller answered
  std::string body;
  std::string from;  ///< the controller that answered
};

/// Client of a deployment's operator API, which any of its controllers may serve.
class Api {
 public:
  using Done = std::function<void(Answer)>;
  virtual ~Api() = default;
  /// `path` is relative to the prefix of the API: "jobs?limit=10".
  virtual void call(const std::string& method, const std::string& path, const std::string& body,
                    Done done) = 0;
};

/// Sends requests to one controller, and fails over to the next one if it does not answer or
/// answers 503. Later requests go to the controller that answered last.
class HttpApi final : public Api {
 public:
  HttpApi(net::Runtime& runtime, std::vector<net::Endpoint> controllers, net::Duration timeout);
  void call(const std::string& method, const std::string& path, const std::string& body,
            Done done) override;

 private:
  void attempt(net::HttpRequest request, std::size_t attempts, Answer last_refusal, Done done);
  net::Runtime& runtime_;
  std::vector<net::Endpoint> controllers_;
  net::Duration timeout_;
  std::size_t current_ = 0;
};

/// Parses a list such as "10.0.0.1:8080,10.0.0.2:8080". Throws ApiError that names the first
/// invalid address.
std::vector<net::Endpoint> parse_controllers(const std::string& list);
/// Parses the body as a JSON object. Throws ApiError if it is none, or with the controller's reason
/// if the status is not among `accepted_statuses`.
wire::json body_of(const Answer& answer, const std::string& path,
                   std::initializer_list<int> accepted_statuses = {200});
}  // namespace limemast::tools

#pragma once
// Encodes requests to the cloud's machine API and parses its responses. No other file of this
// module depends on the field names of that API.
#include <optional>
#include <string>
#include <vector>

#include "net/runtime.hpp"
#include "wire/cloud.hpp"

namespace limemast::cloud {
/// A request to launch machines of one type in one zone.
struct LaunchRequest {
  std::string name;  ///< idempotency key: the cloud launches nothing twice under one name
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint32_t count = 0;
};

/// The cloud's response to a launch request.
struct LaunchResponse {
  enum class Outcome {
    Launched,    ///< `machines` were launched; they may be fewer than requested
    NoCapacity,  ///< the cloud has no machines of this type in this zone at present
    Unanswered   ///< timeout, outage or rate limit: the caller retries under the same name
  };
  Outcome outcome = Outcome::Unanswered;
  std::vector<std::string> machines;
};

/// One page of the list of machines.
struct MachinePage {
  std::vector<wire::ListedMachine> machines;
  bool more = false;  ///< more pages follow
};

net::HttpRequest catalog_request();
/// Requests the page of the machine list that follows machine `after`; the first page if empty.
net::HttpRequest list_request(const std::string& after);
net::HttpRequest launch_request(const LaunchRequest& launch);
net::HttpRequest terminate_request(const std::vector<std::string>& machines);

/// Returns the catalog as the cloud sent it; empty on failure or if the catalog has no types.
std::optional<wire::json> parse_catalog_response(const net::HttpResult& response);
std::optional<MachinePage> parse_list_response(const net::HttpResult& response);
LaunchResponse parse_launch_response(const net::HttpResult& response);
/// Whether two catalogs are equal when prices are ignored.
bool equal_except_prices(const wire::json& a, const wire::json& b);
}  // namespace limemast::cloud

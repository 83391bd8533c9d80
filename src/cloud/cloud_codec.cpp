#include "cloud/cloud_codec.hpp"

#include <utility>

#include "cluster/records.hpp"

namespace limemast::cloud {
namespace {
using wire::json;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr auto* kNoCapacity = "no capacity";
constexpr auto* kPageSize = "500";

/// Returns null for an unsuccessful response, and a discarded value for a body that is not JSON.
json body_of(const net::HttpResult& response) {
  return response.status == kOk ? json::parse(response.body, nullptr, false) : json();
}

json without_prices(json catalog) {
  for (auto& type : catalog["flavors"]) {
    type.erase("hourly");
    type.erase("lowPrice");
  }
  return catalog;
}
}  // namespace

net::HttpRequest catalog_request() { return {"GET", "/catalog", {}}; }

net::HttpRequest list_request(const std::string& after) {
  const auto from = after.empty() ? std::string() : "from=" + after + "&";
  return {"GET", "/machines?" + from + "limit=" + kPageSize, {}};
}

net::HttpRequest launch_request(const LaunchRequest& launch) {
  const json body{{"hire", launch.name},
                  {"flavor", launch.type},
                  {"district", launch.zone},
                  {"reclaimable", launch.spot},
                  {"howMany", launch.count}};
  return {"POST", "/machines", body.dump()};
}

net::HttpRequest terminate_request(const std::vector<std::string>& machines) {
  return {"POST", "/machines/release", json{{"hosts", machines}}.dump()};
}

std::optional<json> parse_catalog_response(const net::HttpResult& response) {
  auto body = body_of(response);
  if (!body.is_object()) return std::nullopt;
  const auto types = wire::parse_catalog(body);
  if (!types || types->empty()) return std::nullopt;
  return body;
}

std::optional<MachinePage> parse_list_response(const net::HttpResult& response) {
  const auto body = body_of(response);
  if (!body.is_object()) return std::nullopt;
  MachinePage page;
  auto machines = wire::parse_machines(body, page.more);
  if (!machines) return std::nullopt;
  page.machines = std::move(*machines);
  return page;
}

LaunchResponse parse_launch_response(const net::HttpResult& response) {
  LaunchResponse out;
  const auto body = json::parse(response.body, nullptr, false);
  if (response.status == kOk && body.is_object() && body.contains("hosts")) {
    out.outcome = LaunchResponse::Outcome::Launched;
    for (const auto& machine : body["hosts"])
      if (machine.is_string()) out.machines.push_back(machine.get<std::string>());
  } else if (response.status == kBadRequest ||
             (response.status == kUnavailable &&
              cluster::string_field(body, "error") == kNoCapacity)) {
    out.outcome = LaunchResponse::Outcome::NoCapacity;
  }
  return out;
}

bool equal_except_prices(const json& a, const json& b) {
  return without_prices(a) == without_prices(b);
}
}  // namespace limemast::cloud

#include "cloud/cloud_codec.hpp"

#include <gtest/gtest.h>

namespace limemast::cloud {
namespace {
using wire::json;
using Outcome = LaunchResponse::Outcome;

net::HttpResult response(int status, const std::string& body) { return {status, false, body}; }

json catalog(double price) {
  return {{"flavors",
           {{{"name", "fir"},
             {"cpus", 8},
             {"ramGb", 32},
             {"hourly", price},
             {"lowPrice", price / 4},
             {"districts", {"burrard"}}}}}};
}

TEST(CloudCodec, RequestsMatchTheCloudApi) {
  EXPECT_EQ(list_request("").path, "/machines?limit=500");
  EXPECT_EQ(list_request("n-7").path, "/machines?from=n-7&limit=500");
  const auto launch = launch_request({"r-1", "fir", "burrard", true, 4});
  EXPECT_EQ(launch.method + " " + launch.path, "POST /machines");
  EXPECT_EQ(launch.body,
            R"({"district":"burrard","flavor":"fir","hire":"r-1","howMany":4,"reclaimable":true})");
  const auto terminate = terminate_request({"n-1", "n-2"});
  EXPECT_EQ(terminate.method + " " + terminate.path, "POST /machines/release");
  EXPECT_EQ(terminate.body, R"({"hosts":["n-1","n-2"]})");
}

TEST(CloudCodec, OnlyUnansweredLaunchesAreRetried) {
  const auto launched = parse_launch_response(response(200, R"({"hosts":["n-1",7,"n-2"]})"));
  EXPECT_EQ(launched.outcome, Outcome::Launched);
  EXPECT_EQ(launched.machines, (std::vector<std::string>{"n-1", "n-2"}));
  EXPECT_EQ(parse_launch_response(response(400, "")).outcome, Outcome::NoCapacity);
  EXPECT_EQ(parse_launch_response(response(503, R"({"error":"no capacity"})")).outcome,
            Outcome::NoCapacity);
  EXPECT_EQ(parse_launch_response(response(503, R"({"error":"outage"})")).outcome,
            Outcome::Unanswered);
  for (const int status : {0, 200, 429, 500})
    EXPECT_EQ(parse_launch_response(response(status, "{}")).outcome, Outcome::Unanswered) << status;
}

TEST(CloudCodec, UnparsableCatalogsAndPagesAreRejected) {
  EXPECT_TRUE(parse_catalog_response(response(200, catalog(1).dump())));
  EXPECT_FALSE(parse_catalog_response(response(503, catalog(1).dump())));
  EXPECT_FALSE(parse_catalog_response(response(200, "[]")));
  EXPECT_FALSE(parse_catalog_response(response(200, R"({"flavors":[]})")));
  const auto page = parse_list_response(response(200, R"({"hosts":[],"truncated":true})"));
  ASSERT_TRUE(page);
  EXPECT_TRUE(page->more);
  EXPECT_FALSE(parse_list_response(response(200, "{}")));
  EXPECT_FALSE(parse_list_response(response(0, "")));
}

TEST(CloudCodec, CatalogsThatDifferOnlyInPricesAreEqual) {
  EXPECT_TRUE(equal_except_prices(catalog(1), catalog(2)));
  auto larger = catalog(1);
  larger["flavors"][0]["cpus"] = 16;
  EXPECT_FALSE(equal_except_prices(catalog(1), larger));
}
}  // namespace
}  // namespace limemast::cloud

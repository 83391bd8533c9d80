#include "cloud/cloud_client.hpp"

#include <utility>

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
constexpr auto kRequestTimeout = 4s;
constexpr double kRateLimitFraction = 0.8;  ///< of the cloud's limit that is used
}  // namespace

CloudClient::CloudClient(net::Runtime& runtime, const wire::Settings& settings)
    : runtime_(runtime),
      settings_(settings),
      rate_limiter_(settings.cloud_requests_per_s * kRateLimitFraction,
                    settings.cloud_requests_per_s) {}

bool CloudClient::try_acquire_call() { return rate_limiter_.take(runtime_.now(), 1); }

void CloudClient::send(net::HttpRequest request, std::function<void(const net::HttpResult&)> done) {
  runtime_.http(settings_.cloud_endpoint, std::move(request), kRequestTimeout, std::move(done));
}
}  // namespace limemast::cloud

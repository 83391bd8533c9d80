#include "cloud/machine_listing.hpp"

#include <utility>

#include "cloud/cloud_codec.hpp"

namespace limemast::cloud {
namespace {
using namespace std::chrono_literals;
constexpr auto kListInterval = 2s;
}  // namespace

MachineListing::MachineListing(net::Runtime& runtime, CloudClient& cloud, Callbacks callbacks)
    : runtime_(runtime), cloud_(cloud), callbacks_(std::move(callbacks)) {}

void MachineListing::poll() {
  if (!in_flight_ && runtime_.now() - last_request_ > kListInterval && cloud_.try_acquire_call())
    read_page("", std::make_shared<Machines>());
}

void MachineListing::read_page(const std::string& after, const std::shared_ptr<Machines>& so_far) {
  in_flight_ = true;
  last_request_ = runtime_.now();
  cloud_.send(list_request(after), [this, so_far](const net::HttpResult& response) {
    in_flight_ = false;
    on_response(response, so_far);
  });
}

void MachineListing::on_response(const net::HttpResult& response,
                                 const std::shared_ptr<Machines>& so_far) {
  const auto page = parse_list_response(response);
  if (!page) return;  // an incomplete listing must not be taken for the loss of machines
  callbacks_.on_page(page->machines);
  so_far->insert(so_far->end(), page->machines.begin(), page->machines.end());
  if (page->more && !page->machines.empty())
    read_page(so_far->back().name, so_far);
  else
    callbacks_.on_complete(*so_far);
}
}  // namespace limemast::cloud

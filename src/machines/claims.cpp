// Machines of a controller that was lost. Most come to another one by themselves within a report's interval; those of a
// controller that stands still wait for its answer first, and those of one that the state service alone refuses go on
// reporting to it until its grant has ended by its own count. Each is asked, by the member that its name falls to, to show
// the new mandate: its answer tells what it holds, voids all that the lost controller still orders, and makes the next
// report that goes there be refused.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "machines/host.hpp"

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;
using wire::json;
constexpr auto kClaimTimeout = 2s;
/// Half of a lost fleet may be behind a cut: orders to machines that answer must not wait for those that do not.
constexpr std::size_t kMostClaims = 48;
}  // namespace

void Host::claim_orphans() {
  claims_.clear();
  const auto& members = membership_.generation().members;
  if (!membership_.member(membership_.self())) return;
  const auto us = static_cast<std::size_t>(std::distance(members.begin(), members.find(membership_.self())));
  for (const auto& [name, view] : registry_.views())
    if (!membership_.member(view.host) && registry_.registered(name) && std::hash<std::string>()(name) % members.size() == us)
      claims_.push_back(name);
  pump_claims();
}

void Host::pump_claims() {
  while (!claims_.empty() && claims_under_way_ < kMostClaims) {
    const auto machine = claims_.front();
    claims_.pop_front();
    const auto* view = registry_.find(machine);
    // Heard by a member meanwhile, or given back.
    if (!view || membership_.member(view->host) || !membership_.entitled()) continue;
    auto& h = hosted(machine);
    h.clean_from = std::max({h.clean_from, view->report.mandate + 1, cluster::mandate_base(membership_.generation().number)});
    h.fence = std::max(h.fence, h.clean_from);
    ++claims_under_way_;
    auto body = wire::orders_body(mandate_for(h, *view), {});
    body["tenure"] = view->report.tenure;
    runtime_.http(view->report.address, {"POST", "/orders", body.dump()}, kClaimTimeout, [this, machine](net::HttpResult r) {
      --claims_under_way_;
      const auto answer = json::parse(r.body, nullptr, false);
      const auto report = answer.is_object() ? wire::parse_report(answer) : std::nullopt;
      const auto* view = registry_.find(machine);
      if (r.status == 200 && report && report->machine == machine && view && !membership_.member(view->host)) {
        tell_others(*report, false);
        take_report(*report, membership_.self(), false);
        spdlog::debug("machine {} claimed, generation {}", machine, membership_.generation().number);
      }
      pump_claims();
    });
  }
}
}  // namespace limemast::machines

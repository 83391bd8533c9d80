#include "machines/peer_loads.hpp"

#include <algorithm>
#include <utility>

#include <spdlog/spdlog.h>

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;
/// Members report once a second. Three missed reports in a row are a gap.
constexpr auto kMaxReportGap = 3500ms;
}  // namespace

void PeerLoads::record(const cluster::ControllerId& from,
                       const messages::HeartbeatDigest& message) {
  reports_[from] = {context_.runtime.now(), message.store_available, message.load};
}

double PeerLoads::measure_own_load() {
  const auto now = context_.runtime.now();
  const auto busy = context_.runtime.busy_time();
  const auto passed = now - std::exchange(last_measured_at_, now);
  const auto worked = busy - std::exchange(last_busy_, busy);
  if (passed <= net::Duration::zero()) return 0;
  return std::clamp(net::to_seconds(worked) / net::to_seconds(passed), 0.0, 1.0);
}

void PeerLoads::detect_silent_members() {
  const auto now = context_.runtime.now();
  const auto& membership = context_.membership;
  std::erase_if(reports_, [&](const auto& report) { return !membership.is_member(report.first); });
  for (const auto& controller : membership.epoch().members) {
    if (controller == membership.self()) continue;
    // A member without a report has just joined, so there is no earlier report to miss.
    const auto& newest = reports_.try_emplace(controller, Report{now, false, 0}).first->second;
    const bool missing = now - newest.received_at > kMaxReportGap;
    if (missing) context_.registry.set_peers_connected_since(now);
    log_gap(controller, missing);
  }
  std::erase_if(missing_,
                [&](const auto& controller) { return !membership.is_member(controller); });
}

void PeerLoads::log_gap(const cluster::ControllerId& controller, bool missing) {
  const auto epoch = context_.membership.epoch().number;
  if (missing && missing_.insert(controller).second)
    spdlog::info("no messages from {}: the silence of machines is not judged, epoch {}", controller,
                 epoch);
  else if (!missing && missing_.erase(controller) > 0)
    spdlog::info("messages from {} arrive again, epoch {}", controller, epoch);
}

void PeerLoads::plan_redirects(std::size_t attached_machines, double own_load) {
  if (!context_.settings.overload.rebalance_machines) return;
  const auto& self = context_.membership.self();
  std::map<cluster::ControllerId, double> loads{{self, own_load}};
  for (const auto& [controller, report] : reports_)
    if (is_recent(report) && report.store_available && !context_.registry.suspected(controller))
      loads[controller] = report.load;
  load_rebalancer_.update(self, loads, attached_machines);
}

std::optional<cluster::ControllerId> PeerLoads::take_redirect() {
  const auto target = load_rebalancer_.next_target();
  if (!context_.membership.is_member(target)) return std::nullopt;
  ++redirected_;
  return target;
}

bool PeerLoads::any_peer_reaches_store() const {
  return std::any_of(reports_.begin(), reports_.end(), [&](const auto& report) {
    return report.second.store_available && is_recent(report.second);
  });
}

bool PeerLoads::is_recent(const Report& report) const {
  return context_.runtime.now() - report.received_at < kMaxReportGap;
}
}  // namespace limemast::machines

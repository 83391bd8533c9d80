#include "cluster/rejoin_backoff.hpp"

#include <algorithm>

namespace limemast::cluster {
namespace {
using namespace std::chrono_literals;
constexpr auto kFirstBackoff = 1s;
constexpr auto kMaxBackoff = 30s;
constexpr unsigned kMaxDoublings = 5;
constexpr unsigned kLossesWithoutBackoff = 1;
constexpr auto kLossHistoryDuration = 60s;  ///< since the last loss
/// Time allowed between the end of one incarnation's lease and the registration of the next, which
/// takes two requests to the store.
constexpr auto kRegistrationGracePeriod = 200ms;

void keep_earliest(std::optional<net::Time>& earliest, net::Time at) {
  if (!earliest || at < *earliest) earliest = at;
}
}  // namespace

void RejoinBackoff::observe(const std::set<ControllerId>& registered, net::Time now) {
  std::map<std::string, ControllerId> by_label;
  for (const auto& controller : registered) by_label[controller.label()] = controller;
  record_losses(by_label, now);
  for (const auto& [label, controller] : by_label) {
    auto& history = histories_[label];
    if (history.registered) continue;
    history.incarnation = controller;
    history.registered = true;
    history.changed_at = now;
  }
}

void RejoinBackoff::record_losses(const std::map<std::string, ControllerId>& registered,
                                  net::Time now) {
  for (auto& [label, history] : histories_) {
    const auto it = registered.find(label);
    const bool unchanged = it != registered.end() && it->second == history.incarnation;
    if (!history.registered || unchanged) continue;
    if (now - history.last_loss > kLossHistoryDuration) history.losses = 0;
    ++history.losses;
    history.last_loss = history.changed_at = now;
    history.registered = false;
  }
}

net::Duration RejoinBackoff::backoff(const std::string& label, net::Time now) const {
  const auto it = histories_.find(label);
  if (it == histories_.end() || it->second.losses <= kLossesWithoutBackoff ||
      now - it->second.last_loss > kLossHistoryDuration)
    return net::Duration::zero();
  const auto doublings = std::min(it->second.losses - kLossesWithoutBackoff - 1, kMaxDoublings);
  return std::min<net::Duration>(kFirstBackoff * (1U << doublings), kMaxBackoff);
}

RejoinBackoff::Decision RejoinBackoff::decide(const std::set<ControllerId>& members,
                                              const ControllerId& leader, net::Time elected_at,
                                              std::size_t size, net::Time now) const {
  Decision decision;
  const auto wait_until = [&](net::Time at) {
    keep_earliest(decision.reconsider_at, at);
    decision.wait = true;
  };
  std::size_t registered = 0;
  for (const auto& [label, history] : histories_) {
    if (!history.registered) {
      if (members.contains(history.incarnation) &&
          now - history.changed_at < kRegistrationGracePeriod)
        wait_until(history.changed_at + kRegistrationGracePeriod);
      continue;
    }
    ++registered;
    const auto admitted_at = history.changed_at + backoff(label, now);
    if (history.incarnation == leader || members.contains(history.incarnation) ||
        now >= admitted_at)
      decision.members.insert(history.incarnation);
    else
      keep_earliest(decision.reconsider_at, admitted_at);
  }
  if (registered < size && now - elected_at < kRegistrationGracePeriod)
    wait_until(elected_at + kRegistrationGracePeriod);
  return decision;
}
}  // namespace limemast::cluster

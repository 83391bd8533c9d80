#pragma once
// The dependencies that all parts of the worker gateway share.
#include "cluster/job_directory.hpp"
#include "cluster/membership.hpp"
#include "cluster/message_bus.hpp"
#include "machines/registry.hpp"
#include "net/runtime.hpp"
#include "store/client.hpp"
#include "store/watch_cache.hpp"

namespace limemast::machines {
/// References to objects of the controller instance, which outlive the gateway.
struct GatewayContext {
  net::Runtime& runtime;
  const wire::Settings& settings;
  store::Client& client;
  const store::WatchCache& watch_cache;
  cluster::Membership& membership;
  cluster::MessageBus& message_bus;
  cluster::JobDirectory& jobs;
  Registry& registry;

  /// Whether this controller may start tasks on the machine now.
  bool may_start_on(const MachineStatus& status) const {
    return membership.may_act() && status.accepts_tasks();
  }
};
}  // namespace limemast::machines

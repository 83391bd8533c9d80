#include "machines/machine_registration.hpp"

#include <utility>

namespace limemast::machines {
namespace {
using namespace std::chrono_literals;
/// Lets one record hold machines that were launched together and come up at about the same time.
constexpr auto kWriteDelay = 100ms;
/// Minimum time between two records of this controller.
constexpr auto kPauseBetweenRecords = 1s;
/// A record that the watch cache does not show after this time was not written. Exceeds the timeout
/// of a transaction.
constexpr auto kWriteTimeout = 4s;
constexpr std::size_t kMaxMachinesPerRecord = 64;
}  // namespace

void MachineRegistration::register_soon(const std::string& machine) {
  requested_.insert(machine);
  if (std::exchange(write_scheduled_, true)) return;
  context_.runtime.after(kWriteDelay, [this] {
    write_scheduled_ = false;
    write_record();
  });
}

wire::json MachineRegistration::take_requested_machines(net::Time now) {
  const auto& registry = context_.registry;
  std::erase_if(pending_writes_, [&](const auto& entry) {
    return entry.second <= now || registry.registered(entry.first);
  });
  auto machines = wire::json::object();
  while (!requested_.empty() && machines.size() < kMaxMachinesPerRecord) {
    auto machine = requested_.extract(requested_.begin()).value();
    if (registry.registered(machine) || !attached_.is_attached(machine) ||
        registry.removed(machine) || pending_writes_.contains(machine))
      continue;
    machines[machine] = registry.find(machine)->heartbeat.spot;
    pending_writes_.emplace(std::move(machine), now + kWriteTimeout);
  }
  return machines;
}

void MachineRegistration::write_record() {
  if (paused_ || !context_.membership.may_act()) return;
  const auto machines = take_requested_machines(context_.runtime.now());
  if (machines.empty()) return;
  paused_ = true;
  const auto key = cluster::keys::machines(context_.membership.self().text() + "-" +
                                           std::to_string(next_record_++));
  // The watch cache shows whether the write succeeded, even if the answer is lost. Other machines
  // do not wait for it.
  context_.client.txn(store::Priority::UserWrite,
                      context_.membership.ownership_guards({{key, store::kAbsent}}),
                      {{key, machines}}, [this, machines](const store::TxnResult& result) {
                        if (result.status == store::TxnStatus::Refused ||
                            result.status == store::TxnStatus::Conflict)
                          for (const auto& [machine, spot] : machines.items())
                            pending_writes_.erase(machine);
                      });
  context_.runtime.after(kPauseBetweenRecords, [this] { paused_ = false; });
}
}  // namespace limemast::machines

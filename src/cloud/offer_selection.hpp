#pragma once
// Selects the type and the zone of the machines to launch. Does no I/O.
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wire/cloud.hpp"

namespace limemast::cloud {
/// A type and zone in which machines can be launched.
struct Offer {
  const wire::MachineType* type = nullptr;
  std::string zone;
  double price_per_usable_cpu = 0;  ///< per hour and CPU that the tasks can use
  bool overdue = false;  ///< several machines of this type and zone failed to boot in time
};

/// The machines to launch and the offers to choose from.
struct OfferQuery {
  /// The jobs for which machines are launched.
  const std::vector<const wire::JobSpec*>& jobs;
  bool spot = false;
  const std::set<std::string>* zones = nullptr;  ///< allowed zones; nullptr: any
  /// The types with current prices, in the cloud's order.
  const std::vector<wire::MachineType>& types;
  /// Existing capacity in this market.
  std::map<std::string, double> cpus_by_zone;
  /// Number of machines that exceeded their expected boot time, by type and zone.
  std::map<std::pair<std::string, std::string>, std::size_t> overdue;
  /// Whether the zone is not drained and the cloud has not recently lacked this type there.
  std::function<bool(const wire::MachineType& type, const std::string& zone)> is_available;
};

/// How many such tasks fit on a machine of the type, limited by its scarcest resource.
double tasks_per_machine(const wire::MachineType& type, const wire::JobSpec& task);
/// Returns the best offer for the job that requests the most CPUs among those that can use an
/// available offer. A job that can use none must not prevent the launch of machines for the others.
/// Empty if no job can use an available offer.
std::optional<Offer> select_offer(OfferQuery query);
}  // namespace limemast::cloud

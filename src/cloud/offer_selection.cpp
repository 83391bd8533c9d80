#include "cloud/offer_selection.hpp"

#include <algorithm>
#include <cmath>

namespace limemast::cloud {
namespace {
constexpr double kRoundingTolerance = 1e-6;  ///< for floating-point sums of fractional CPUs
constexpr double kMinTaskCpus = 0.01;
constexpr std::size_t kMinOverdueMachines = 2;

bool allows_zone(const OfferQuery& query, const std::string& zone) {
  return (!query.task.zone || *query.task.zone == zone) &&
         (!query.zones || query.zones->contains(zone));
}

std::vector<Offer> find_offers(OfferQuery& query) {
  std::vector<Offer> out;
  for (const auto& type : query.types) {
    if (!query.task.allows_type(type.name)) continue;
    const double used_cpus = tasks_per_machine(type, query.task) * query.task.cpus;
    if (used_cpus <= 0) continue;
    const double price = query.spot ? type.spot_price : type.price;
    for (const auto& zone : type.zones)
      if (query.is_available(type, zone) && allows_zone(query, zone))
        out.push_back({&type, zone, price / used_cpus,
                       query.overdue[{type.name, zone}] >= kMinOverdueMachines});
  }
  return out;
}
}  // namespace

double tasks_per_machine(const wire::MachineType& type, const wire::JobSpec& task) {
  double count = std::floor(type.cpus / std::max(task.cpus, kMinTaskCpus) + kRoundingTolerance);
  if (task.ram_gb > 0)
    count = std::min(count, std::floor(type.ram_gb / task.ram_gb + kRoundingTolerance));
  if (task.accelerators > 0)
    count = std::min(count, std::floor(type.accelerators / task.accelerators + kRoundingTolerance));
  return count;
}

const wire::JobSpec* typical_task(const std::vector<const wire::JobSpec*>& waiting) {
  return *std::max_element(waiting.begin(), waiting.end(), [](const auto* a, const auto* b) {
    return a->cpus * a->tasks < b->cpus * b->tasks;
  });
}

std::optional<Offer> select_offer(OfferQuery query) {
  auto offers = find_offers(query);
  if (offers.empty()) return std::nullopt;
  auto& cpus = query.cpus_by_zone;
  // On-demand machines run services, so balancing the zones takes precedence over the price.
  std::sort(offers.begin(), offers.end(), [&](const Offer& a, const Offer& b) {
    if (a.overdue != b.overdue) return b.overdue;
    if (!query.spot && a.zone != b.zone &&
        std::abs(cpus[a.zone] - cpus[b.zone]) > kRoundingTolerance)
      return cpus[a.zone] < cpus[b.zone];
    if (a.price_per_usable_cpu != b.price_per_usable_cpu)
      return a.price_per_usable_cpu < b.price_per_usable_cpu;
    return cpus[a.zone] < cpus[b.zone];
  });
  return offers.front();
}
}  // namespace limemast::cloud

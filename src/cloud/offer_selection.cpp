#include "cloud/offer_selection.hpp"

#include <algorithm>
#include <cmath>

namespace limemast::cloud {
namespace {
constexpr double kRoundingTolerance = 1e-6;  ///< for floating-point sums of fractional CPUs
constexpr double kMinTaskCpus = 0.01;
constexpr std::size_t kMinOverdueMachines = 2;

/// A type that can be launched in a zone now.
struct AvailableKind {
  const wire::MachineType* type = nullptr;
  const std::string* zone = nullptr;
};

std::vector<AvailableKind> available_kinds(const OfferQuery& query) {
  std::vector<AvailableKind> out;
  for (const auto& type : query.types)
    for (const auto& zone : type.zones)
      if ((!query.zones || query.zones->contains(zone)) && query.is_available(type, zone))
        out.push_back({&type, &zone});
  return out;
}

bool can_use(const wire::JobSpec& job, const AvailableKind& kind) {
  return (!job.zone || *job.zone == *kind.zone) && job.allows_type(kind.type->name) &&
         tasks_per_machine(*kind.type, job) >= 1;
}

double requested_cpus(const wire::JobSpec& job) { return job.cpus * job.tasks; }

/// The job that requests the most CPUs among those that can use one of these kinds; nullptr if none
/// can.
const wire::JobSpec* largest_job(const std::vector<const wire::JobSpec*>& jobs,
                                 const std::vector<AvailableKind>& kinds) {
  const wire::JobSpec* largest = nullptr;
  for (const auto* job : jobs) {
    if (largest && requested_cpus(*job) <= requested_cpus(*largest)) continue;
    if (std::any_of(kinds.begin(), kinds.end(),
                    [&](const auto& kind) { return can_use(*job, kind); }))
      largest = job;
  }
  return largest;
}

std::vector<Offer> find_offers(OfferQuery& query) {
  std::vector<Offer> out;
  const auto kinds = available_kinds(query);
  const auto* job = largest_job(query.jobs, kinds);
  if (!job) return out;
  for (const auto& kind : kinds) {
    if (!can_use(*job, kind)) continue;
    const auto& type = *kind.type;
    const double price = query.spot ? type.spot_price : type.price;
    out.push_back({&type, *kind.zone,
                   price / (tasks_per_machine(type, *job) * std::max(job->cpus, kMinTaskCpus)),
                   query.overdue[{type.name, *kind.zone}] >= kMinOverdueMachines});
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

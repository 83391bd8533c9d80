#pragma once
// Finds the machines at which a job may place probes.
#include <map>

#include "machines/registry.hpp"

namespace limemast::machines {
/// Caches the eligible machines for each set of job constraints. Jobs of a class share their
/// constraints, so one search over thousands of machines serves all of them.
class Candidates {
 public:
  explicit Candidates(const Registry& registry) : registry_(registry) {}

  struct List {
    std::vector<ids::DenseId> machines;  ///< check `accepts_tasks`: some may no longer accept tasks
    std::uint64_t version = 0;           ///< grows with each search
  };
  /// The eligible machines that accepted tasks at the last search. The search is repeated when the
  /// list is older than `kMaxListAge` and the registry's capacity version has changed.
  const List& matching(const wire::JobSpec& spec, net::Time now);
  /// Those of the `matching` machines that had room for one task at the last search, at most
  /// `kMaxCapacityAge` ago.
  const std::vector<ids::DenseId>& with_free_capacity(const wire::JobSpec& spec, net::Time now);
  /// Whether the machine accepts tasks now, as far as this controller knows.
  bool accepts_tasks(ids::DenseId machine) const {
    const auto* machine_status = registry_.at(machine);
    return machine_status && machine_status->accepts_tasks() &&
           !registry_.suspected(machine_status->attached_controller);
  }

 private:
  /// The constraints of a job on its machines.
  struct Constraints {
    bool spot;
    double cpus, ram_gb, accelerators;
    std::optional<std::string> zone;
    std::optional<std::vector<std::string>> types;
    auto operator<=>(const Constraints&) const = default;
  };
  struct CacheEntry {
    List list;
    std::uint64_t capacity_version = 0;
    net::Time searched_at{};
    std::vector<ids::DenseId> with_free_capacity;
    net::Time capacity_searched_at{};
  };
  static constexpr std::size_t kMaxEntries = 256;  ///< the cache is cleared when it is full
  static constexpr auto kMaxListAge = std::chrono::milliseconds(250);
  static constexpr auto kMaxCapacityAge = std::chrono::seconds(1);
  CacheEntry& cached(const wire::JobSpec& spec, net::Time now);
  const Registry& registry_;
  std::map<Constraints, CacheEntry> cache_;
};
}  // namespace limemast::machines

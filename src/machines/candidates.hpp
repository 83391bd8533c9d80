#pragma once
// Which machines a job may be probed at.
#include <map>

#include "machines/registry.hpp"

namespace limemast::machines {
/// Caches the machines that suit the jobs of one kind: jobs of a class have the same constraints,
/// and thousands of machines are searched once for all of them instead of for each job and second.
class Candidates {
 public:
  explicit Candidates(const Registry& registry) : registry_(registry) {}

  struct List {
    std::vector<ids::DenseId> machines;  ///< some may take no tasks any more: `open` tells
    std::uint64_t version = 0;           ///< grows with each search
  };
  /// The machines that accepted tasks at the last search, at most `kKept` ago.
  const List& matching(const wire::JobSpec& spec, net::Time now);
  /// Of those, the ones that had room for a task at the last search, at most `kRoomKept` ago.
  const std::vector<ids::DenseId>& with_free_capacity(const wire::JobSpec& spec, net::Time now);
  /// The machine accepts tasks now, as far as is known here.
  bool accepts_tasks(ids::DenseId machine) const {
    const auto* machine_status = registry_.at(machine);
    return machine_status && machine_status->accepts_tasks() &&
           !registry_.suspected(machine_status->attached_controller);
  }

 private:
  /// The constraints of a job on its machines.
  struct Kind {
    bool spot;
    double cpus, ram_gb, accelerators;
    std::optional<std::string> zone;
    std::optional<std::vector<std::string>> types;
    auto operator<=>(const Kind&) const = default;
  };
  struct Kept {
    List list;
    std::uint64_t capacity_version = 0;
    net::Time at{};
    std::vector<ids::DenseId> with_free_capacity;
    net::Time room_at{};
  };
  static constexpr std::size_t kMaxKinds = 256;  ///< with more the cache starts anew
  static constexpr auto kKept = std::chrono::milliseconds(250);
  static constexpr auto kRoomKept = std::chrono::seconds(1);
  Kept& kept(const wire::JobSpec& spec, net::Time now);
  const Registry& registry_;
  std::map<Kind, Kept> kinds_;
};
}  // namespace limemast::machines

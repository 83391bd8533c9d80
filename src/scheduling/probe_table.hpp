#pragma once
// The jobs that have probes at machines of one controller, with the data that their probes share.
#include <array>
#include <set>
#include <string>
#include <vector>

#include "ids/controller_id.hpp"
#include "ids/dense_id_set.hpp"
#include "net/runtime.hpp"
#include "wire/resources.hpp"

namespace limemast::scheduling {
using ids::DenseId;
using wire::Resources;

/// A job with probes at machines that are attached to this controller. All its probes share one
/// record, so a change of the job (remaining work, owner, deferral) is a single update.
struct ProbedJob {
  std::string uid;
  ids::ControllerId owner;
  wire::Seconds estimate{0};    ///< estimated run time of one task
  std::uint32_t remaining = 0;  ///< unassigned tasks as last reported by the owner, minus those
                                ///< that were pulled from here since
  Resources need;               ///< resources of one task
  net::Time not_before{};       ///< no machine pulls a task of the job earlier
  /// Remaining work in seconds of run time, by which queues are ordered (Eagle section 4.3).
  double remaining_work() const { return remaining * estimate.count(); }
};

/// The probed jobs of one controller by id, and their order by remaining work, which all queues
/// share. A job stays in the table as long as some machine has a probe of it.
class ProbeTable {
 public:
  /// Adds the job, or updates the owner and remaining tasks of a known one and ends its deferral.
  /// The caller must then add a probe or call `erase_if_unprobed`.
  DenseId upsert(const ProbedJob& job);
  std::optional<DenseId> find(const std::string& uid) const { return ids_.find(uid); }
  const ProbedJob& at(DenseId job) const { return records_[job].job; }
  void set_remaining(DenseId job, std::uint32_t remaining);
  /// Defers the job: no machine pulls a task of it before `until`.
  void defer(DenseId job, net::Time until) { records_[job].job.not_before = until; }
  /// Whether the machine has a probe of the job. The queues keep this up to date.
  bool has_probe(DenseId job, DenseId machine) const {
    return records_[job].machines.contains(machine);
  }
  const ids::DenseIdSet& machines_of(DenseId job) const { return records_[job].machines; }
  void add_machine(DenseId job, DenseId machine) { records_[job].machines.insert(machine); }
  /// Removes the machine from the job. The job is erased with its last machine, and its id may be
  /// reused.
  void remove_machine(DenseId job, DenseId machine);
  /// Erases the job if no machine has a probe of it.
  void erase_if_unprobed(DenseId job);
  /// Key of the order by remaining work, in ascending order.
  struct RemainingWorkKey {
    double work;
    DenseId job;
    auto operator<=>(const RemainingWorkKey&) const = default;
  };
  /// All jobs in order of remaining work; the order of jobs with equal work is arbitrary.
  const std::set<RemainingWorkKey>& by_remaining_work() const { return by_remaining_work_; }
  /// Number of jobs with probes.
  std::size_t size() const { return ids_.size(); }

 private:
  struct Record {
    ProbedJob job;
    ids::DenseIdSet machines;
  };
  ids::IdInterner ids_;
  std::vector<Record> records_;
  std::set<RemainingWorkKey> by_remaining_work_;
};
}  // namespace limemast::scheduling

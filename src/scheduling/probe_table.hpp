#pragma once
// The jobs that have probes at machines of one controller, with all that their probes share.
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

/// A job with probes at machines that are attached to this controller. There is one record however
/// many machines hold a probe of it, so that a change of the job (remaining work, owner, no task to
/// assign now) is one update.
struct ProbedJob {
  std::string uid;
  ids::ControllerId owner;
  wire::Seconds estimate{0};    ///< estimated run time of one task
  std::uint32_t remaining = 0;  ///< unassigned tasks as the owner last told, less those that were
                                ///< pulled from here since
  Resources need;               ///< what one task takes
  net::Time not_before{};       ///< no machine pulls a task of it earlier
  /// Remaining work in seconds of run time: the order of the queues (Eagle section 4.3).
  double work() const { return remaining * estimate.count(); }
};

/// The probed jobs of one controller by id, and their order by remaining work, which all queues
/// share. A job is kept as long as some machine holds a probe of it.
class ProbeTable {
 public:
  /// Adds the job, or takes over what has changed of it (owner, remaining tasks); its probes are no
  /// longer deferred. The caller adds a probe next, or calls `erase_if_unprobed`.
  DenseId upsert(const ProbedJob& job);
  std::optional<DenseId> find(const std::string& uid) const { return ids_.find(uid); }
  const ProbedJob& at(DenseId job) const { return records_[job].job; }
  void set_remaining(DenseId job, std::uint32_t remaining);
  /// No machine pulls a task of the job before `until`.
  void defer(DenseId job, net::Time until) { records_[job].job.not_before = until; }
  /// Whether this machine holds a probe of the job; the queues keep this up to date.
  bool holds(DenseId job, DenseId machine) const {
    return records_[job].machines.contains(machine);
  }
  const ids::DenseIdSet& machines_of(DenseId job) const { return records_[job].machines; }
  void add_machine(DenseId job, DenseId machine) { records_[job].machines.insert(machine); }
  /// With its last probe the job is forgotten, and its id may be given to another.
  void remove_machine(DenseId job, DenseId machine);
  /// Forgets the job if no machine holds a probe of it.
  void erase_if_unprobed(DenseId job);
  /// Key of the order by remaining work, least first.
  struct ByWork {
    double work;
    DenseId job;
    auto operator<=>(const ByWork&) const = default;
  };
  /// All jobs by remaining work; the order among equals means nothing.
  const std::set<ByWork>& by_work() const { return by_work_; }
  /// How many jobs have probes.
  std::size_t size() const { return ids_.size(); }

 private:
  struct Record {
    ProbedJob job;
    ids::DenseIdSet machines;
  };
  ids::IdInterner ids_;
  std::vector<Record> records_;
  std::set<ByWork> by_work_;
};
}  // namespace limemast::scheduling

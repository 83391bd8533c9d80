#pragma once
// Decides which unresponsive machines to terminate after a failover.
#include <map>
#include <string>
#include <vector>

#include "ids/fencing.hpp"
#include "net/runtime.hpp"

namespace limemast::failover {
/// A machine that has not confirmed the new epoch's fencing token, so that its running tasks are
/// unknown.
struct UnconfirmedMachine {
  std::string machine;
  std::string zone;     ///< empty if unknown
  bool silent = false;  ///< no member received its heartbeats for longer than the machine needs to
                        ///< switch to another controller
};

/// Decides which unresponsive machines to terminate after a failover. Tasks of jobs that were taken
/// over are assigned only after every machine has confirmed the new epoch, which reveals its
/// running tasks, or is certain to be gone. A machine that failed together with its controller
/// never confirms, and its silence is conclusive only after its worker lease has expired.
/// Terminating it in the cloud resolves its state without waiting for the lease.
///
/// This may terminate a machine that is only temporarily unresponsive, so it is limited to few
/// machines: if most machines of a zone are silent, the zone or its controller is considered
/// partitioned, and they are waited for. A machine whose heartbeats arrive but that does not
/// confirm within its lease duration receives no messages (one-way partition). The tasks that it
/// ran at the start of the epoch have ended with its lease, so it counts as silent. Performs no
/// I/O; the caller terminates the machines.
class FailoverBarrier {
 public:
  /// `heartbeat_interval` and `worker_lease` are those of the workers.
  FailoverBarrier(net::Duration heartbeat_interval, net::Duration worker_lease)
      : heartbeat_interval_(heartbeat_interval), worker_lease_(worker_lease) {}

  /// Returns the machines to terminate now. Must be called at short intervals while jobs wait for
  /// machines to confirm this epoch. `registered` is the number of machines by zone.
  std::vector<std::string> machines_to_terminate(
      ids::EpochNumber epoch, const std::vector<UnconfirmedMachine>& unconfirmed,
      const std::map<std::string, std::size_t>& registered, net::Time now);
  /// Clears the state when no job waits for confirmations.
  void reset() { epoch_ = {}; }

 private:
  void record_progress(ids::EpochNumber epoch, std::size_t unconfirmed, net::Time now);
  bool waiting_for_confirmations(net::Time now) const;

  net::Duration heartbeat_interval_;
  net::Duration worker_lease_;
  ids::EpochNumber epoch_{};
  net::Time started_at_{};     ///< first call for this epoch
  net::Time last_progress_{};  ///< last confirmation by a machine
  std::size_t unconfirmed_ = 0;
};
}  // namespace limemast::failover

#pragma once
// State of one suspicion as observed by a controller.
#include "cluster/records.hpp"
#include "net/runtime.hpp"

namespace limemast::cluster {
/// Phase of a suspicion according to its record in the store.
enum class SuspicionPhase {
  Suspected,  ///< the suspect can refute it and the author can withdraw it
  Evicted     ///< confirmed; the suspect's lease must be revoked
};

/// Type of a request that this controller sent about a suspicion.
enum class SuspicionRequest {
  None,
  Refute,       ///< deletes a suspicion record about this controller
  Withdraw,     ///< deletes an obsolete or withdrawn suspicion record
  Evict,        ///< changes the suspicion into an eviction
  RevokeLease,  ///< revokes the evicted controller's lease
};

/// One suspicion: its record and the request in flight about it, of which there is at most one.
/// When the record changes, a new state without a request in flight replaces this one, because the
/// answer to the older request no longer matters.
class SuspicionState {
 public:
  SuspicionState(Suspicion record, store::Revision mod_revision, net::Time seen_at)
      : record_(std::move(record)), mod_revision_(mod_revision), seen_at_(seen_at) {}

  const ControllerId& suspect() const { return record_.suspect; }
  SuspicionPhase phase() const {
    return record_.evicted ? SuspicionPhase::Evicted : SuspicionPhase::Suspected;
  }
  /// True if the suspicion is not evicted, was raised by `controller` and was not withdrawn.
  bool raised_by(const ControllerId& controller) const {
    return phase() == SuspicionPhase::Suspected && record_.suspected_by == controller;
  }
  const Suspicion& record() const { return record_; }
  /// Revision of the record, for transaction conditions.
  store::Revision mod_revision() const { return mod_revision_; }
  /// When this controller first saw the record.
  net::Time seen_at() const { return seen_at_; }

  bool request_in_flight() const { return request_ != SuspicionRequest::None; }
  void request_sent(SuspicionRequest request) { request_ = request; }
  void request_answered() { request_ = SuspicionRequest::None; }
  /// Marks the suspicion as withdrawn by its author, so that the deletion of the record does not
  /// count as a refutation.
  void mark_withdrawn() { record_.suspected_by = {}; }

 private:
  Suspicion record_;
  store::Revision mod_revision_;
  net::Time seen_at_;
  SuspicionRequest request_ = SuspicionRequest::None;
};
}  // namespace limemast::cluster

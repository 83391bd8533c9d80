#pragma once
// Codec of the records about controllers and machines in the key-value store. Job records:
// job_record.hpp.
//
// A record may have been written by another build or by hand. Decoders never throw; they return
// nullopt for a record that cannot be decoded, and the caller chooses the safe behaviour.
#include <map>
#include <optional>
#include <set>
#include <string>

#include "ids/controller_id.hpp"
#include "ids/fencing.hpp"
#include "store/requests.hpp"

namespace limemast::cluster {
using ids::ControllerId;

/// A membership epoch: which controllers may act and which one leads. The leader writes each epoch,
/// which replaces the previous one.
struct MembershipEpoch {
  ids::EpochNumber number{};  ///< revision of the record, so it only increases
  ControllerId leader;
  std::set<ControllerId> members;

  /// Revision of the record, for transaction conditions.
  store::Revision mod_revision() const { return store::Revision(number.value()); }
};

/// A suspicion record (MemberEviction).
struct Suspicion {
  ControllerId suspect;
  ControllerId suspected_by;
  bool evicted = false;  ///< confirmed; the suspect can no longer refute it
};

std::optional<MembershipEpoch> read_epoch(const store::Entry& entry);
store::json epoch_record(const ControllerId& leader, const std::set<ControllerId>& members);

std::optional<ControllerId> read_leader(const store::json& record);
store::json leader_record(const ControllerId& leader);

/// Returns the random text by which a controller recognizes a member key that it wrote.
std::optional<std::string> read_incarnation(const store::json& record);
/// `serves` is the address at which users reach the controller.
store::json member_record(const std::string& incarnation, const std::string& serves);

std::optional<Suspicion> read_suspicion(const store::json& record);
store::json suspicion_record(const Suspicion& suspicion);

/// Maps each machine name to whether it is a spot machine. A machine whose value cannot be decoded
/// counts as on-demand, which is the more restrictive assumption.
std::optional<std::map<std::string, bool>> read_machines(const store::json& record);

/// Returns a string field of an object, or "" if there is none.
std::string string_field(const store::json& record, const char* field);
}  // namespace limemast::cluster

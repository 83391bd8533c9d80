#pragma once
// Codec of the records that the controllers keep in the key-value store about themselves and their
// machines. Records of jobs: job_record.hpp.
//
// What is read may have been written by another build, or by hand. No decoder throws; what cannot
// be read is nullopt, and the caller takes the safe side.
#include <map>
#include <optional>
#include <set>
#include <string>

#include "ids/controller_id.hpp"
#include "ids/fencing.hpp"
#include "store/requests.hpp"

namespace limemast::cluster {
using ids::ControllerId;

/// A configuration of the cluster: who may act, and who leads. Each is written by its leader and
/// replaces the one before.
struct MembershipEpoch {
  ids::EpochNumber number{};  ///< the revision of the record: it only grows
  ControllerId leader;
  std::set<ControllerId> members;

  /// The record's revision, for conditions on it.
  store::Revision mod_revision() const { return store::Revision(number.value()); }
};

/// The record of a suspicion (MemberEviction).
struct Suspicion {
  ControllerId suspect;
  ControllerId suspected_by;
  bool evicted = false;  ///< confirmed: the suspect can no longer refute it
};

std::optional<MembershipEpoch> read_epoch(const store::Entry& entry);
store::json epoch_record(const ControllerId& leader, const std::set<ControllerId>& members);

std::optional<ControllerId> read_leader(const store::json& record);
store::json leader_record(const ControllerId& leader);

/// The random text by which a controller recognizes the member key that it wrote itself.
std::optional<std::string> read_incarnation(const store::json& record);
/// `serves`: the address at which users reach the controller.
store::json member_record(const std::string& incarnation, const std::string& serves);

std::optional<Suspicion> read_suspicion(const store::json& record);
store::json suspicion_record(const Suspicion& suspicion);

/// Machine -> whether it is a spot machine. A name whose value cannot be read counts as an
/// on-demand machine, which holds up more.
std::optional<std::map<std::string, bool>> read_machines(const store::json& record);

/// A text field of an object; "" if there is none.
std::string string_field(const store::json& record, const char* field);
}  // namespace limemast::cluster

#pragma once
// Revision and lease numbers of the key-value store.
#include "ids/strong_number.hpp"

namespace limemast::store {
/// Store revision, which increases with every executed transaction. The revision of a key is that
/// of the transaction that last wrote it, or 0 if the key does not exist.
using Revision = ids::StrongNumber<struct RevisionKind>;
/// Condition value for a key that does not exist.
inline constexpr Revision kAbsent{};
/// Id of a store lease. Keys attached to a lease are deleted when it expires. 0: no lease.
using LeaseId = ids::StrongNumber<struct LeaseIdKind>;
}  // namespace limemast::store

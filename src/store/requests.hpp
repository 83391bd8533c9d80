#pragma once
// Requests to and results from the key-value store, independent of the wire format. protocol.hpp
// converts them to and from the wire format.
#include <optional>
#include <string>
#include <vector>

#include "store/revision.hpp"
#include "wire/job.hpp"

namespace limemast::store {
using wire::json;

/// Order in which queued requests are sent, most important first. Critical requests (leases,
/// elections, watches) are not rate limited.
enum class Priority { Critical, UserWrite, Background, UserRead };
inline constexpr std::size_t kPriorities = static_cast<std::size_t>(Priority::UserRead) + 1;

/// Transaction condition: the key was last written at this revision (kAbsent: the key does not
/// exist).
struct Compare {
  std::string key;
  Revision mod_revision{};
};
/// A put or delete in a transaction.
struct Operation {
  std::string key;
  std::optional<json> value;  ///< nullopt: delete the key
  LeaseId lease{};            ///< deletes the key when it ends; 0: no lease
};

enum class TxnStatus {
  Ok,
  Conflict,  ///< a condition did not hold; nothing was written
  Refused,   ///< not executed because of an outage, a rate limit or a missing lease
  Unknown    ///< no response; the transaction may have been or may still be executed
};
struct TxnResult {
  TxnStatus status = TxnStatus::Unknown;
  Revision revision{};              ///< revision at which the transaction was executed
  std::vector<std::string> failed;  ///< for Conflict: keys whose conditions did not hold
  int http_status = 0;              ///< 0 without a response
};

struct GetResult {
  bool answered = false;  ///< the store answered, so `found` is reliable
  bool found = false;
  json value;
  Revision mod_revision{};
  LeaseId lease{};  ///< lease that the key is attached to; 0: none
};

/// Result of a lease renewal.
enum class KeepAliveStatus {
  Renewed,
  Expired,     ///< the lease no longer exists
  Unavailable  ///< no response or an error; the lease may or may not have been renewed
};

/// A key's value and the revision that wrote it.
struct Entry {
  json value;
  Revision mod_revision{};
};

/// One page of a listing, in key order.
struct ListPage {
  struct Item {
    std::string key;
    Entry entry;
  };
  std::vector<Item> items;
  Revision revision{};     ///< store revision at which the page was read
  bool truncated = false;  ///< more keys follow the last item
};

/// A write to a watched key.
struct KeyChange {
  std::string key;
  Revision mod_revision{};
  std::optional<json> value;  ///< nullopt: the key was deleted
};
enum class ChangesStatus {
  Ok,
  Compacted,   ///< the store has discarded the requested history; the keys must be listed again
  Unavailable  ///< no response, or one that cannot be decoded
};
/// The writes under a prefix after some revision.
struct ChangesResult {
  ChangesStatus status = ChangesStatus::Unavailable;
  Revision revision{};  ///< `changes` is complete up to this revision
  std::vector<KeyChange> changes;
};
}  // namespace limemast::store

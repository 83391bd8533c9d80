#pragma once
// Maps names to dense integer ids for tables with frequent lookups.
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tsl/robin_map.h>

namespace limemast::ids {
/// Integer id of a name. Ids are dense, so that tables indexed by id can be vectors. An id is valid
/// within one process only, is never sent, and is reused for another name after its release.
using DenseId = std::uint32_t;

/// Assigns dense ids to the names of jobs or machines.
///
/// Invariant: `names_[id]` is the name of every assigned id, and `free_` holds all other ids below
/// `names_.size()`.
class IdInterner {
 public:
  /// Returns the id of this name, and assigns one if it has none.
  DenseId assign(const std::string& name);
  /// Returns nullopt if the name has no id.
  std::optional<DenseId> find(const std::string& name) const;
  /// `id` must be assigned.
  const std::string& name_of(DenseId id) const { return names_[id]; }
  /// Releases the id of this name, if it has one. The caller must already have removed its entries
  /// from all tables indexed by id, because the next new name reuses the id.
  void release(const std::string& name);
  /// Number of names that have an id.
  std::size_t size() const { return ids_.size(); }
  /// All ids ever assigned are below this value.
  std::size_t id_limit() const { return names_.size(); }

 private:
  tsl::robin_map<std::string, DenseId> ids_;
  std::vector<std::string> names_;
  std::vector<DenseId> free_;
};
}  // namespace limemast::ids

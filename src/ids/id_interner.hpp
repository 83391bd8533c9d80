#pragma once
// Dense numbers in place of names, for tables that are looked up often.
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tsl/robin_map.h>

namespace limemast::ids {
/// Stands for a name. Dense, so that tables by id are vectors. It is valid within one process only,
/// never sent, and given to another name once its own is released.
using DenseId = std::uint32_t;

/// Assigns dense ids to names (of jobs, machines).
/// Invariant: `names_[id]` is the name of every id that is taken, and `free_` holds all other ids
/// below `names_.size()`.
class IdInterner {
 public:
  /// The id of this name, a new one if it has none.
  DenseId assign(const std::string& name);
  /// nullopt if the name has none.
  std::optional<DenseId> find(const std::string& name) const;
  /// `id` must be taken.
  const std::string& name_of(DenseId id) const { return names_[id]; }
  /// Frees the id of this name, if it has one. Whoever keeps tables by id must have removed its
  /// entry, for the next new name gets the id.
  void release(const std::string& name);
  /// Number of names that have an id.
  std::size_t size() const { return ids_.size(); }
  /// All ids that were ever assigned are below this.
  std::size_t id_limit() const { return names_.size(); }

 private:
  tsl::robin_map<std::string, DenseId> ids_;
  std::vector<std::string> names_;
  std::vector<DenseId> free_;
};
}  // namespace limemast::ids

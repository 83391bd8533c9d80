#pragma once
// Drains: operators' requests to empty machines, as they are recorded in the store.
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "net/runtime.hpp"

namespace limemast::drains {
enum class Kind { Machine, Zone };

/// A request that a machine, or each machine of a zone, takes nothing new and is emptied.
struct Drain {
  Kind kind = Kind::Machine;
  std::string name;                   ///< of the machine or the zone
  net::WallTime requested_at{};       ///< when it was first requested
  std::string note;                   ///< by whoever requested it; at most kMaxNote bytes
  bool terminate_when_empty = false;  ///< its machines are terminated once they are empty
  bool covers(const std::string& machine, const std::string& zone) const {
    return name == (kind == Kind::Machine ? machine : zone);
  }
  bool operator==(const Drain&) const = default;
};
constexpr std::size_t kMaxNote = 200;    ///< bytes
constexpr std::size_t kMaxDrains = 200;  ///< at once: each is a key that every controller caches

/// "machine/n-000231": the id of a drain in the store and in the operators' interface.
std::string id_of(const Drain& drain);
/// The kind and name that the id gives; empty if it is not valid. Names are those of machines and
/// zones, of letters, digits, '.', '-' and '_'.
std::optional<Drain> parse_id(const std::string& id);
/// The drain's record; its id is the key.
wire::json to_json(const Drain& drain);
/// Empty if the id or the record is not valid.
std::optional<Drain> parse(const std::string& id, const wire::json& record);

/// All drains in force, as the watch cache shows them.
class Drains {
 public:
  /// Adds or replaces a drain. False if the record is not valid; it is then ignored.
  bool put(const std::string& id, const wire::json& record);
  void remove(const std::string& id) { all_.erase(id); }
  const std::map<std::string, Drain>& all() const { return all_; }  ///< by id
  std::set<std::string> machines() const { return names(Kind::Machine); }
  std::set<std::string> zones() const { return names(Kind::Zone); }
  /// Whether the machine, if it is drained, is to be terminated once it is empty.
  bool terminates_when_empty(const std::string& machine, const std::string& zone) const;

 private:
  std::set<std::string> names(Kind kind) const;
  std::map<std::string, Drain> all_;
};
}  // namespace limemast::drains

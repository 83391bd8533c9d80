#pragma once
// Drains: operators' requests to evict all tasks from machines, and their records in the store.
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "net/runtime.hpp"

namespace limemast::drains {
enum class Kind { Machine, Zone };

/// A request to drain one machine or all machines of a zone: they accept no new tasks, and their
/// tasks are evicted.
struct Drain {
  Kind kind = Kind::Machine;
  std::string name;                   ///< name of the machine or the zone
  net::WallTime requested_at{};       ///< time of the first request
  std::string note;                   ///< text from the requester; at most kMaxNoteBytes
  bool terminate_when_empty = false;  ///< whether machines are terminated once they are empty
  bool covers(const std::string& machine, const std::string& zone) const {
    return name == (kind == Kind::Machine ? machine : zone);
  }
  bool operator==(const Drain&) const = default;
};
constexpr std::size_t kMaxNoteBytes = 200;
constexpr std::size_t kMaxDrains = 200;  ///< each drain is a key that every controller caches

/// The id of a drain in the store and in the operator API, for example "machine/n-000231".
std::string id_of(const Drain& drain);
/// Returns a drain with the kind and name of the id; empty if the id is not valid. Names consist of
/// letters, digits, '.', '-' and '_'.
std::optional<Drain> parse_id(const std::string& id);
/// Encodes the drain's record. The id is not part of it; it is the record's key.
wire::json to_json(const Drain& drain);
/// Parses a record; returns empty if the id or the record is not valid.
std::optional<Drain> parse(const std::string& id, const wire::json& record);

/// All active drains, as of the watch cache.
class Drains {
 public:
  /// Adds or replaces a drain. Ignores an invalid record and returns false.
  bool put(const std::string& id, const wire::json& record);
  void remove(const std::string& id) { all_.erase(id); }
  const std::map<std::string, Drain>& all() const { return all_; }  ///< by id
  std::set<std::string> machines() const { return names(Kind::Machine); }
  std::set<std::string> zones() const { return names(Kind::Zone); }
  /// Whether an active drain asks for the machine's termination once it is empty.
  bool terminates_when_empty(const std::string& machine, const std::string& zone) const;

 private:
  std::set<std::string> names(Kind kind) const;
  std::map<std::string, Drain> all_;
};
}  // namespace limemast::drains

#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace limemast::compat {
using nlohmann::json;
using nlohmann::ordered_json;

/// Replaces an identifier by its kind: "wk-000012" becomes "<job>". Other texts are returned
/// unchanged.
std::string placeholder_for(const std::string& text);

/// A schema inferred from JSON values of one kind: types, names and order of fields, which fields
/// are optional, the layout of positional arrays, and the values of texts that take only a few.
class Schema {
 public:
  void add(const ordered_json& value);
  json to_json() const;
  static Schema from_json(const json& saved);
  /// Describes each difference of `current` from this schema; empty if there is none. An
  /// enumerated text that only `current` has is a difference, one that it lacks is not.
  std::vector<std::string> differences(const Schema& current, const std::string& path) const;

 private:
  struct Field;
  void add_object(const ordered_json& object);
  void add_array(const ordered_json& array);
  void add_text(const std::string& text);
  void add_enum_value(const std::string& text);
  void compare_fields(const Schema& current, const std::string& path,
                      std::vector<std::string>& out) const;
  std::set<std::string> types_;
  std::set<std::string> enum_values_;
  bool free_text_ = false;         ///< texts take too many values to be enumerated
  std::set<std::string> layouts_;  ///< layouts of positional arrays
  std::uint64_t object_count_ = 0;
  std::map<std::string, Field> fields_;
  bool sorted_ = true;  ///< the fields of each object are sorted by name
  /// The pairs of neighboring fields; saved only if the fields are not sorted.
  std::set<std::pair<std::string, std::string>> adjacent_fields_;
  std::shared_ptr<Schema> element_schema_;
};

struct Schema::Field {
  std::uint64_t seen = 0;
  bool optional = false;
  std::shared_ptr<Schema> schema = std::make_shared<Schema>();
};
}  // namespace limemast::compat

#include "compat/schema.hpp"

#include <algorithm>

namespace limemast::compat {
namespace {
constexpr std::size_t kMaxEnumValues = 24;
constexpr std::size_t kMinHexDigits = 16;
constexpr std::size_t kMaxEnumValueBytes = 120;
/// Most elements in a group that repeats within a positional array.
constexpr std::size_t kMaxGroupSize = 6;

std::string type_of(const ordered_json& value) {
  switch (value.type()) {
    case ordered_json::value_t::null:
      return "null";
    case ordered_json::value_t::boolean:
      return "boolean";
    case ordered_json::value_t::number_float:
      return "number";
    case ordered_json::value_t::number_integer:
    case ordered_json::value_t::number_unsigned:
      return "integer";
    case ordered_json::value_t::string:
      return "string";
    case ordered_json::value_t::array:
      return "array";
    default:
      return "object";
  }
}

/// Lists the element types in order and a repeated group once: "string integer (integer null)+".
std::string layout_of(const ordered_json& array) {
  std::vector<std::string> types;
  for (const auto& e : array) types.push_back(type_of(e));
  std::string out;
  const auto repeats_at = [&](std::size_t at, std::size_t size) {
    std::size_t repeats = 1;
    while (at + (repeats + 1) * size <= types.size() &&
           std::equal(types.begin() + static_cast<std::ptrdiff_t>(at),
                      types.begin() + static_cast<std::ptrdiff_t>(at + size),
                      types.begin() + static_cast<std::ptrdiff_t>(at + repeats * size)))
      ++repeats;
    return repeats;
  };
  for (std::size_t at = 0; at < types.size();) {
    std::size_t size = 1, times = 1;
    for (std::size_t candidate = kMaxGroupSize; candidate > 1; --candidate)
      if (const auto repeats = repeats_at(at, candidate); repeats > 1)
        size = candidate, times = repeats;
    out += out.empty() ? "" : " ";
    if (times > 1) out += '(';
    for (std::size_t i = 0; i < size; ++i) out += (i ? " " : "") + types[at + i];
    if (times > 1) out += ")+";
    at += size * times;
  }
  return out;
}

bool all_digits(const std::string& text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
}
bool is_id(const std::string& text, const std::string& prefix) {
  return text.starts_with(prefix) && all_digits(text.substr(prefix.size()));
}

std::set<std::string> texts(const json& list) { return list.get<std::set<std::string>>(); }
std::string joined(const std::set<std::string>& all) {
  std::string out;
  for (const auto& s : all) out += (out.empty() ? "" : ", ") + s;
  return out;
}
}  // namespace

std::string placeholder_for(const std::string& text) {
  if (const auto slash = text.find('/'); slash != std::string::npos) {
    const auto head = text.substr(0, slash), rest = text.substr(slash + 1);
    if ((head == "machine" || head == "zone") && rest.find('/') == std::string::npos)
      return "<drain>";
    return is_id(head, "wk-") && all_digits(rest) ? "<task>" : text;
  }
  if (is_id(text, "wk-")) return "<job>";
  if (is_id(text, "n-")) return "<machine>";
  if (is_id(text, "node-")) return "<controller>";
  if (const auto at = text.find('@'); at != std::string::npos)
    return is_id(text.substr(0, at), "node-") && all_digits(text.substr(at + 1)) ? "<instance>"
                                                                                 : text;
  if (const auto at = text.find(':'); at != std::string::npos)
    return is_id(text.substr(0, at), "n-") && all_digits(text.substr(at + 1)) ? "<address>" : text;
  if (text == "red" || text == "blue" || text == "green") return "<team>";
  if (text == "a" || text == "b" || text == "c") return "<zone>";
  if (all_digits(text)) return "<number>";
  if (text.size() >= kMinHexDigits &&
      text.find_first_not_of("0123456789abcdef") == std::string::npos)
    return "<hex>";
  return text;
}

void Schema::add_enum_value(const std::string& text) {
  if (free_text_) return;
  enum_values_.insert(text);
  if (enum_values_.size() <= kMaxEnumValues && text.size() <= kMaxEnumValueBytes) return;
  free_text_ = true;
  enum_values_.clear();
}

void Schema::add_text(const std::string& text) { add_enum_value(placeholder_for(text)); }

void Schema::add_object(const ordered_json& object) {
  ++object_count_;
  std::string last;
  for (const auto& [raw, value] : object.items()) {
    const auto name = placeholder_for(raw);
    auto& field = fields_[name];
    if (name == raw) {
      ++field.seen;
      if (!last.empty()) {
        sorted_ = sorted_ && last < name;
        adjacent_fields_.emplace(last, name);
      }
      last = name;
    }
    field.schema->add(value);
  }
}

void Schema::add_array(const ordered_json& array) {
  if (array.empty()) return;
  if (!element_schema_) element_schema_ = std::make_shared<Schema>();
  const auto first = type_of(array.front());
  const bool same_type =
      std::all_of(array.begin(), array.end(), [&](const auto& e) { return type_of(e) == first; });
  if (!same_type) layouts_.insert(layout_of(array));
  for (const auto& e : array)
    if (same_type || e.is_structured()) element_schema_->add(e);
}

void Schema::add(const ordered_json& value) {
  types_.insert(type_of(value));
  if (value.is_string()) add_text(value.get_ref<const std::string&>());
  if (value.is_object()) add_object(value);
  if (value.is_array()) add_array(value);
}

json Schema::to_json() const {
  json out{{"types", types_}};
  if (free_text_) out["texts"] = "any";
  if (!enum_values_.empty()) out["texts"] = enum_values_;
  if (!layouts_.empty()) out["layouts"] = layouts_;
  if (element_schema_) out["elements"] = element_schema_->to_json();
  if (fields_.empty()) return out;
  for (const auto& [name, field] : fields_)
    out["fields"][name] = {{"optional", field.optional || field.seen < object_count_},
                           {"form", field.schema->to_json()}};
  if (!sorted_) out["order"] = adjacent_fields_;
  return out;
}

Schema Schema::from_json(const json& saved) {
  Schema out;
  out.types_ = texts(saved.at("types"));
  if (const auto it = saved.find("texts"); it != saved.end()) {
    out.free_text_ = it->is_string();
    if (!out.free_text_) out.enum_values_ = texts(*it);
  }
  if (saved.contains("layouts")) out.layouts_ = texts(saved["layouts"]);
  if (saved.contains("elements"))
    out.element_schema_ = std::make_shared<Schema>(from_json(saved["elements"]));
  if (saved.contains("fields"))
    for (const auto& [name, saved_field] : saved["fields"].items()) {
      auto& field = out.fields_[name];
      field.optional = saved_field.at("optional").get<bool>();
      field.schema = std::make_shared<Schema>(from_json(saved_field.at("form")));
    }
  out.sorted_ = !saved.contains("order");
  if (!out.sorted_) out.adjacent_fields_ = saved["order"].get<decltype(out.adjacent_fields_)>();
  return out;
}

void Schema::compare_fields(const Schema& current, const std::string& path,
                            std::vector<std::string>& out) const {
  for (const auto& [name, field] : fields_) {
    const auto it = current.fields_.find(name);
    const auto at = path + "." + name;
    if (it == current.fields_.end()) {
      out.push_back(at + ": field is missing");
      continue;
    }
    const bool optional = field.optional || field.seen < object_count_;
    const bool currently_optional = it->second.optional || it->second.seen < current.object_count_;
    if (optional != currently_optional)
      out.push_back(
          at + (optional ? ": was optional, is now required" : ": was required, is now optional"));
    for (auto& d : field.schema->differences(*it->second.schema, at)) out.push_back(std::move(d));
  }
  for (const auto& [name, field] : current.fields_)
    if (!fields_.contains(name)) out.push_back(path + "." + name + ": new field");
  if (sorted_ != current.sorted_) out.push_back(path + ": order of fields changed");
  if (!sorted_ && !current.sorted_)
    for (const auto& [first, second] : current.adjacent_fields_)
      if (adjacent_fields_.contains({second, first}) && !adjacent_fields_.contains({first, second}))
        out.push_back(path + ": " + first + " now comes before " + second);
}

std::vector<std::string> Schema::differences(const Schema& current, const std::string& path) const {
  std::vector<std::string> out;
  if (types_ != current.types_)
    out.push_back(path + ": types changed from " + joined(types_) + " to " +
                  joined(current.types_));
  if (layouts_ != current.layouts_)
    out.push_back(path + ": layouts changed from [" + joined(layouts_) + "] to [" +
                  joined(current.layouts_) + "]");
  if (!free_text_ && current.free_text_) out.push_back(path + ": enumerated text became free text");
  if (!free_text_)
    for (const auto& c : current.enum_values_)
      if (!enum_values_.contains(c)) out.push_back(path + ": new enumerated text '" + c + "'");
  compare_fields(current, path, out);
  if (!element_schema_ != !current.element_schema_)
    out.push_back(path + (element_schema_ ? "[]: no longer has elements" : "[]: now has elements"));
  if (element_schema_ && current.element_schema_)
    for (auto& d : element_schema_->differences(*current.element_schema_, path + "[]"))
      out.push_back(std::move(d));
  return out;
}
}  // namespace limemast::compat

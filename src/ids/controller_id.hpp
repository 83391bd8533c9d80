#pragma once
// Identity of a running controller.
#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace limemast::ids {
/// One incarnation of a controller: its label and the revision at which its member key was written,
/// for example "drover-1@412". A restarted controller gets a new id. The empty id identifies no
/// controller.
class ControllerId {
 public:
  ControllerId() = default;
  ControllerId(const std::string& label, std::uint64_t incarnation)
      : text_(label + kSeparator + std::to_string(incarnation)) {}
  /// Creates an id from the form returned by text(), as found in messages and stored records. Any
  /// text is accepted; one that is not an id matches no member.
  static ControllerId from_text(std::string text) {
    ControllerId id;
    id.text_ = std::move(text);
    return id;
  }

  bool empty() const { return text_.empty(); }
  /// The controller's label, which does not change when it restarts.
  std::string label() const { return text_.substr(0, text_.rfind(kSeparator)); }
  /// The form used in messages and stored records.
  const std::string& text() const { return text_; }
  auto operator<=>(const ControllerId&) const = default;

 private:
  static constexpr char kSeparator = '@';
  std::string text_;
};

inline void to_json(nlohmann::json& json, const ControllerId& id) { json = id.text(); }
inline void from_json(const nlohmann::json& json, ControllerId& id) {
  id = ControllerId::from_text(json.get<std::string>());
}
}  // namespace limemast::ids

template <>
struct fmt::formatter<limemast::ids::ControllerId> : fmt::formatter<std::string> {
  template <class Context>
  auto format(const limemast::ids::ControllerId& id, Context& context) const {
    return fmt::formatter<std::string>::format(id.text(), context);
  }
};

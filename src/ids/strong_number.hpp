#pragma once
// Type-safe numbers that identify or order things of one kind.
#include <compare>
#include <cstdint>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace limemast::ids {
/// A number of the given kind. Numbers of different kinds do not compare with or convert to each
/// other. In JSON and log messages it is a plain number.
template <class Kind>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::uint64_t value) : value_(value) {}
  constexpr std::uint64_t value() const { return value_; }
  constexpr auto operator<=>(const StrongNumber&) const = default;

 private:
  std::uint64_t value_ = 0;
};

template <class Kind>
void to_json(nlohmann::json& json, const StrongNumber<Kind>& number) {
  json = number.value();
}
template <class Kind>
void from_json(const nlohmann::json& json, StrongNumber<Kind>& number) {
  number = StrongNumber<Kind>(json.get<std::uint64_t>());
}
}  // namespace limemast::ids

template <class Kind>
struct fmt::formatter<limemast::ids::StrongNumber<Kind>> : fmt::formatter<std::uint64_t> {
  template <class Context>
  auto format(const limemast::ids::StrongNumber<Kind>& number, Context& context) const {
    return fmt::formatter<std::uint64_t>::format(number.value(), context);
  }
};

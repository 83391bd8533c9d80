#pragma once
// Membership epoch numbers, and the fencing tokens by which workers distinguish commands of an
// earlier controller from those of a later one.
#include "ids/strong_number.hpp"

namespace limemast::ids {
/// Number of a membership epoch: the revision at which its record was written, so it only
/// increases. 0 means that there is no epoch yet.
using EpochNumber = StrongNumber<struct EpochNumberKind>;
inline constexpr EpochNumber kNoEpoch{};

/// Orders the commands to one machine. A worker drops a command with a lower token than the highest
/// one it has seen, which it reports in its heartbeats. The upper bits are the membership epoch in
/// which the command was issued. The lower bits are incremented for a single machine when an
/// earlier command to it may still be in transit.
class FencingToken {
 public:
  constexpr FencingToken() = default;
  constexpr explicit FencingToken(std::uint64_t value) : value_(value) {}
  /// Returns the lowest token of an epoch.
  static constexpr FencingToken base(EpochNumber epoch) {
    return FencingToken(epoch.value() << kPerMachineBits);
  }
  constexpr EpochNumber epoch() const { return EpochNumber(value_ >> kPerMachineBits); }
  /// Returns the next token of the same epoch. The last token of an epoch is its own successor, so
  /// that the tokens of one epoch never reach those of the next.
  constexpr FencingToken next() const {
    return is_last_of_epoch() ? *this : FencingToken(value_ + 1);
  }
  constexpr bool is_last_of_epoch() const { return (value_ & kPerMachineMask) == kPerMachineMask; }
  constexpr std::uint64_t value() const { return value_; }
  constexpr auto operator<=>(const FencingToken&) const = default;

 private:
  static constexpr unsigned kPerMachineBits = 16;
  static constexpr std::uint64_t kPerMachineMask = (std::uint64_t{1} << kPerMachineBits) - 1;
  std::uint64_t value_ = 0;
};
/// Token of a worker that has not received a command from any controller.
inline constexpr FencingToken kNoToken{};

inline void to_json(nlohmann::json& json, const FencingToken& token) { json = token.value(); }
inline void from_json(const nlohmann::json& json, FencingToken& token) {
  token = FencingToken(json.get<std::uint64_t>());
}
}  // namespace limemast::ids

template <>
struct fmt::formatter<limemast::ids::FencingToken> : fmt::formatter<std::uint64_t> {
  template <class Context>
  auto format(const limemast::ids::FencingToken& token, Context& context) const {
    return fmt::formatter<std::uint64_t>::format(token.value(), context);
  }
};

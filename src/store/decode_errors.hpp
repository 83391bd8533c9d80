#pragma once
// Counts stored records and messages that could not be decoded.
#include <cstdint>
#include <set>
#include <string>

namespace limemast::store {
/// Counts records and messages that could not be decoded, for example because another build wrote
/// them or somebody edited them by hand. A decode error never ends the process: the reader chooses
/// the safe behaviour and records the error here. Each key is logged once.
class DecodeErrors {
 public:
  /// `key` is the key of the record or the kind of the message.
  void record(const std::string& key);
  /// Number of errors since the process started, including repeated ones.
  std::uint64_t count() const { return count_; }

 private:
  std::uint64_t count_ = 0;
  std::set<std::string> logged_keys_;
};
}  // namespace limemast::store

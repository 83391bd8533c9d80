#include "store/decode_errors.hpp"

#include <spdlog/spdlog.h>

namespace limemast::store {
namespace {
/// Number of distinct keys that are logged. Further errors are only counted, so that a store full
/// of unreadable records cannot flood the log.
constexpr std::size_t kMaxLoggedKeys = 200;
}  // namespace

void DecodeErrors::record(const std::string& key) {
  ++count_;
  if (logged_keys_.size() < kMaxLoggedKeys && logged_keys_.insert(key).second)
    spdlog::error("cannot decode {}; it is left unchanged", key);
}
}  // namespace limemast::store

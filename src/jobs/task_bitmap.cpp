#include "jobs/task_bitmap.hpp"

#include <algorithm>
#include <optional>

namespace limemast::jobs {
namespace {
constexpr char kHexDigits[] = "0123456789abcdef";
constexpr std::size_t kChunkBytes = TaskBitmap::kChunkTasks / 8;

std::optional<unsigned> value_of_digit(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  return std::nullopt;
}
}  // namespace

std::string TaskBitmap::chunk_hex(std::uint32_t chunk) const {
  std::string hex;
  const std::size_t first = chunk * kChunkBytes;
  const std::size_t end = std::min(bytes_.size(), first + kChunkBytes);
  for (std::size_t i = first; i < end; ++i) {
    hex += kHexDigits[bytes_[i] >> 4];
    hex += kHexDigits[bytes_[i] & 15];
  }
  return hex;
}

bool TaskBitmap::merge_hex(std::uint32_t chunk, const std::string& hex) {
  const std::size_t first = chunk * kChunkBytes;
  if (hex.size() % 2 != 0 || first + hex.size() / 2 > bytes_.size()) return false;
  for (std::size_t i = 0; i < hex.size() / 2; ++i) {
    const auto high = value_of_digit(hex[2 * i]);
    const auto low = value_of_digit(hex[2 * i + 1]);
    if (!high || !low) return false;
    bytes_[first + i] = static_cast<std::uint8_t>(bytes_[first + i] | *high << 4 | *low);
  }
  return true;
}
}  // namespace limemast::jobs

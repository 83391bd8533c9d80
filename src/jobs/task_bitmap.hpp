#pragma once
// A set of the tasks of a job, divided into chunks that fit into stored values.
#include <cstdint>
#include <string>
#include <vector>

namespace limemast::jobs {
/// A set of task indices. It is stored in chunks, because the bitmap of the largest job exceeds the
/// key-value store's maximum value size.
class TaskBitmap {
 public:
  static constexpr std::uint32_t kChunkTasks = 8192;  ///< tasks per chunk

  /// An empty set that can hold the tasks 0 to `tasks` - 1.
  explicit TaskBitmap(std::uint32_t tasks = 0) : bytes_((tasks + 7) / 8) {}
  bool test(std::uint32_t task) const { return (bytes_[task / 8] >> (task % 8) & 1) != 0; }
  void set(std::uint32_t task) {
    bytes_[task / 8] = static_cast<std::uint8_t>(bytes_[task / 8] | 1U << (task % 8));
  }
  std::uint32_t chunk_count() const {
    return static_cast<std::uint32_t>((bytes_.size() * 8 + kChunkTasks - 1) / kChunkTasks);
  }
  /// Encodes the chunk's bytes as lower-case hexadecimal digits.
  std::string chunk_hex(std::uint32_t chunk) const;
  /// Adds the tasks of an encoded chunk to the set. Returns false if the text is not a chunk of a
  /// set of this size; the bytes before the first invalid digit are still added.
  bool merge_hex(std::uint32_t chunk, const std::string& hex);

 private:
  std::vector<std::uint8_t> bytes_;
};

/// One chunk of the bitmap of a job's completed tasks.
struct BitmapChunk {
  std::string uid;
  std::uint32_t index = 0;  ///< the chunk's position in the bitmap
  std::string hex;          ///< see `TaskBitmap::chunk_hex`
};
}  // namespace limemast::jobs

#pragma once
// Bit set of dense ids (id_interner.hpp).
#include <bit>
#include <vector>

#include "ids/id_interner.hpp"

namespace limemast::ids {
/// A set of dense ids with one bit per id. A set over 2,000 machines takes 250 bytes, so every job
/// can keep the set of machines that hold its probes.
class DenseIdSet {
 public:
  bool contains(DenseId id) const {
    return id / kBits < words_.size() && (words_[id / kBits] & mask(id)) != 0;
  }
  /// Returns false if the id was already in the set.
  bool insert(DenseId id) {
    if (contains(id)) return false;
    if (id / kBits >= words_.size()) words_.resize(id / kBits + 1);
    words_[id / kBits] |= mask(id);
    ++size_;
    return true;
  }
  /// Returns false if the id was not in the set.
  bool erase(DenseId id) {
    if (!contains(id)) return false;
    words_[id / kBits] &= ~mask(id);
    --size_;
    return true;
  }
  /// Erases all ids that are in the other set.
  void subtract(const DenseIdSet& other) {
    size_ = 0;
    for (std::size_t w = 0; w < words_.size(); ++w) {
      if (w < other.words_.size()) words_[w] &= ~other.words_[w];
      size_ += static_cast<std::size_t>(std::popcount(words_[w]));
    }
  }
  void clear() {
    words_.clear();
    size_ = 0;
  }
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  /// Calls `visit` with each id in ascending order. `visit` may erase the id that it is called
  /// with.
  template <class Visit>
  void for_each(Visit visit) const {
    for (std::size_t w = 0; w < words_.size(); ++w)
      for (auto left = words_[w]; left != 0; left &= left - 1)
        visit(static_cast<DenseId>(w * kBits + static_cast<std::size_t>(std::countr_zero(left))));
  }

 private:
  using Word = std::uint64_t;
  static constexpr std::size_t kBits = 64;
  static constexpr Word mask(DenseId id) { return Word{1} << id % kBits; }

  std::vector<Word> words_;
  std::size_t size_ = 0;
};
}  // namespace limemast::ids

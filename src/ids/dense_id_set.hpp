#pragma once
// Sets of dense ids (id_interner.hpp) as bits.
#include <bit>
#include <vector>

#include "ids/id_interner.hpp"

namespace limemast::ids {
/// A set of dense ids in one bit each. Of a thousand jobs each knows which of two thousand machines
/// hold a probe of it, in 250 bytes.
class DenseIdSet {
 public:
  bool contains(DenseId id) const {
    return id / kBits < words_.size() && (words_[id / kBits] & mask(id)) != 0;
  }
  /// False if it was in already.
  bool insert(DenseId id) {
    if (contains(id)) return false;
    if (id / kBits >= words_.size()) words_.resize(id / kBits + 1);
    words_[id / kBits] |= mask(id);
    ++size_;
    return true;
  }
  /// False if it was not in.
  bool erase(DenseId id) {
    if (!contains(id)) return false;
    words_[id / kBits] &= ~mask(id);
    --size_;
    return true;
  }
  /// Erases all that are in the other set.
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
  /// Calls `visit` with each id in ascending order; it may erase the one that it is given.
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

#pragma once
#include <cstdint>
#include <ostream>
#include <string>

#include "simulation/simulated_cluster.hpp"

namespace limemast::compat {
/// The 64-bit FNV-1a hash.
class Fnv1a {
 public:
  void add(const void* data, std::size_t size);
  void add(const std::string& text) { add(text.data(), text.size()); }
  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 14695981039346656037ull;
  std::uint64_t value_ = kOffsetBasis;
};

/// Hashes everything that controllers send: time, sender, receiver and bytes of each item. Writes
/// one line of text per item to the trace, if there is one.
class OutgoingLog {
 public:
  /// `trace` may be null and must outlive the log.
  OutgoingLog(const simulation::SimulatedWorld& world, std::ostream* trace)
      : world_(world), trace_(trace) {}
  void add(const simulation::SimulatedCluster::Outgoing& item);
  std::uint64_t hash() const { return hash_.value(); }
  std::uint64_t count() const { return count_; }

 private:
  const simulation::SimulatedWorld& world_;
  std::ostream* trace_;
  Fnv1a hash_;
  std::uint64_t count_ = 0;
};
}  // namespace limemast::compat

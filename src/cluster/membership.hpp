#pragma once
#include <set>

#include "cluster/keys.hpp"
#include "store/mirror.hpp"

namespace limemast::cluster {
/// One run of one controller: "drover-1@412", 412 being the stamp of its node key.
using Tag = std::string;
std::string label_of(const Tag& tag);

struct Generation {
  std::uint64_t number = 0;  ///< the stamp of the record: it only grows
  Tag leader;
  std::set<Tag> members;
};

constexpr unsigned kFenceBits = 16;
inline std::uint64_t mandate_base(std::uint64_t generation) { return generation << kFenceBits; }
inline std::uint64_t generation_of(std::uint64_t mandate) { return mandate >> kFenceBits; }

/// Holds this controller's grant, takes part in the election, and knows what it is entitled to.
class Membership {
 public:
  struct Events {
    std::function<void()> changed;  ///< a new generation was seen
    std::function<void()> lost;     ///< our grant has ended: everything known here is void
  };
  Membership(net::Runtime& runtime, const wire::Settings& settings, store::Client& client, store::Mirror& mirror);
  void start(Events events);
  /// To be called with each batch of the mirror's changes.
  void on_changes(const std::vector<store::Change>& changes);

  const Generation& generation() const { return generation_; }
  const Tag& self() const { return self_; }
  /// May act for the controllers: the grant counts and the generation names us.
  bool entitled() const;
  /// When the last request that the state service granted was sent.
  net::Time served_by_state() const { return served_; }
  bool leads() const { return entitled() && generation_.leader == self_; }
  bool member(const Tag& tag) const { return generation_.members.contains(tag); }
  /// The member that runs on the controller `label`, or "".
  Tag member_at(const std::string& label) const;
  /// The generation before had a member that the present one has not.
  bool lost_member() const { return lost_member_; }
  /// Conditions for every write: a transaction applied minutes late must fail.
  std::vector<store::Condition> fences() const;
  /// The generation from which on the present leader has led without a break.
  std::uint64_t leading_since() const { return leading_since_; }

 private:
  void clear_predecessor();
  void take_grant();
  void put_node();
  void touch();
  void elect();
  void write_generation();
  void lose();
  bool node_key_is_ours() const;

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  store::Client& client_;
  store::Mirror& mirror_;
  Events events_;
  std::string incarnation_;
  net::Duration ttl_;
  std::uint64_t grant_ = 0;
  net::Time valid_until_{};
  std::uint64_t node_stamp_ = 0;
  Tag self_;
  Generation generation_;
  std::uint64_t leading_since_ = 0;
  net::Time served_{};
  bool lost_member_ = false;
  bool electing_ = false;
  bool writing_ = false;
  bool lost_ = false;
};
}  // namespace limemast::cluster

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

/// Grants are renewed each second: without one for this long, renewals have failed.
constexpr std::chrono::seconds kUnserved{4};
/// For this long after the sending of a renewal that was granted a controller is certain to be a member.
constexpr std::chrono::milliseconds kCertainFor{2500};

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
  /// When the last renewal that the state service granted was sent.
  net::Time served_by_state() const { return served_; }
  /// It did so of late.
  bool served() const { return runtime_.now() - served_ < kUnserved; }
  /// So lately that we are still a member, whatever others may have ruled meanwhile: a renewal that was granted was sent
  /// no longer ago than kCertainFor. Only then may users be told anything but final states from memory.
  bool certain() const { return entitled() && runtime_.now() - served_ < kCertainFor; }
  /// From here on no member that was lost tells users anything from memory. What was taken over must not end before.
  net::Time others_silent_from() const { return others_silent_from_; }
  bool leads() const { return entitled() && generation_.leader == self_; }
  bool member(const Tag& tag) const { return generation_.members.contains(tag); }
  /// The member that runs on the controller `label`, or "".
  Tag member_at(const std::string& label) const;
  /// The generation before had a member that the present one has not.
  bool lost_member() const { return lost_member_; }
  /// Conditions for every write: a transaction applied minutes late must fail.
  std::vector<store::Condition> fences() const;
  std::uint64_t grant() const { return grant_; }
  /// Our grant is as good as ended: we start anew.
  void give_up() { lose(); }
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
  net::Time others_silent_from_{};
  bool lost_member_ = false;
  bool electing_ = false;
  bool writing_ = false;
  bool lost_ = false;
};
}  // namespace limemast::cluster

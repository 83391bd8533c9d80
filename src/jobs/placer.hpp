#pragma once
#include "jobs/book.hpp"
#include "sched/placement.hpp"

namespace limemast::jobs {
/// The leader's part of Eagle: places long tasks and services, keeps the short part, sends the long-task map.
class Placer {
 public:
  Placer(net::Runtime& runtime, const wire::Settings& settings, cluster::Membership& membership, cluster::Router& router,
         cluster::JobIndex& index, machines::Registry& registry, Book& book);
  /// Places what can be placed; cheap when nothing waits.
  void run();
  /// Machines that short jobs may use ahead of others.
  const std::set<std::string>& short_part() const { return registry_.long_map().short_part; }
  void send_map();

 private:
  struct Slot {
    const View* view = nullptr;
    machines::Room free;
  };
  /// Urgent work first, then what can still be in time, by deadline.
  using Order = std::tuple<int, bool, net::WallTime, int, net::WallTime, std::string>;
  Order order_of(const Job& job, net::WallTime now) const;
  std::map<std::string, Slot> slots() const;
  void place_gang(const Job& job, std::map<std::string, Slot>& slots);
  bool place_one(const Job& job, std::map<std::string, Slot>& slots);
  bool evict_for(const Job& job, std::map<std::string, Slot>& slots);

  net::Runtime& runtime_;
  const wire::Settings& settings_;
  cluster::Membership& membership_;
  cluster::Router& router_;
  cluster::JobIndex& index_;
  machines::Registry& registry_;
  Book& book_;
  std::uint64_t serial_ = 0;
};
}  // namespace limemast::jobs

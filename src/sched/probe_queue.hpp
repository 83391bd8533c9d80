#pragma once
#include <algorithm>
#include <list>
#include <string>
#include <unordered_map>

#include "net/runtime.hpp"

namespace limemast::sched {
/// A job's standing request for room on one machine (a probe stands for the job, not for one task of it).
struct Probe {
  std::string uid;
  std::string owner;
  wire::Seconds estimate{0};
  std::uint32_t remaining = 0;
  double cpus = 0;
  double ram_gb = 0;
  double accelerators = 0;
  wire::Seconds bypassed{0};
  net::Time not_before{};

  double work() const { return remaining * estimate.count(); }
};

/// One machine's probes in order of arrival. Chooses by least remaining work; a pass that would lift a
/// passed probe's counter above `cap` times its own estimate is barred, and the first in line runs.
class ProbeQueue {
 public:
  explicit ProbeQueue(double cap) : cap_(cap) {}
  ProbeQueue(const ProbeQueue&) = delete;
  ProbeQueue& operator=(const ProbeQueue&) = delete;
  static constexpr std::size_t kMaxProbes = 512;

  /// False if the queue is full; a probe of a job that has one here already only renews it.
  bool add(Probe probe);
  void remove(const std::string& uid);
  void set_remaining(const std::string& uid, std::uint32_t remaining);
  void postpone(const std::string& uid, net::Time until);
  /// The probe to pull for, among those that `fits` admits.
  template <class Fits>
  const Probe* choose(net::Time now, Fits fits) const {
    const Probe* first = nullptr;
    const Probe* best = nullptr;
    // The longest task that may still pass all that stand before: a probe that cannot run now (no room for it, or its
    // owner asked to wait) is not passed by others.
    auto may_pass = wire::Seconds::max();
    for (const auto& p : probes_) {
      if (p.not_before > now || !fits(p)) continue;
      if (!first) first = &p;
      if ((!best || p.work() < best->work()) && p.estimate <= may_pass) best = &p;
      may_pass = std::min(may_pass, cap_ * p.estimate - p.bypassed);
    }
    return best ? best : first;
  }
  /// A task of `uid` was handed out: the probes it passed are compensated.
  template <class Fits>
  void took(const std::string& uid, net::Time now, Fits fits) {
    const auto* taken = find(uid);
    if (!taken) return;
    for (auto& p : probes_) {
      if (p.uid == uid) break;
      if (p.not_before <= now && fits(p)) p.bypassed += taken->estimate;
    }
  }
  const Probe* find(const std::string& uid) const;
  const std::list<Probe>& all() const { return probes_; }
  bool empty() const { return probes_.empty(); }

 private:
  double cap_;
  std::list<Probe> probes_;
  std::unordered_map<std::string, std::list<Probe>::iterator> by_job_;
};
}  // namespace limemast::sched

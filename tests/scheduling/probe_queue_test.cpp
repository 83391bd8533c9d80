#include "scheduling/probe_queue.hpp"

#include <list>
#include <map>
#include <memory>
#include <random>

#include <gtest/gtest.h>

namespace limemast::scheduling {
namespace {
using namespace std::chrono_literals;
constexpr double kBypassCap = 5;
constexpr auto kAnyNeedFits = [](const Resources&) { return true; };

ProbedJob job(const std::string& uid, double estimate, std::uint32_t remaining, double cpus = 1) {
  ProbedJob probed;
  probed.uid = uid;
  probed.owner = ids::ControllerId::from_text("owner");
  probed.estimate = wire::Seconds(estimate);
  probed.remaining = remaining;
  probed.need = {cpus, 1, 0};
  return probed;
}

class ProbeQueueTest : public ::testing::Test {
 protected:
  /// Adds a probe of a job whose tasks have an estimated run time of `estimate` seconds.
  DenseId add(const std::string& uid, double estimate, std::uint32_t remaining, double cpus = 1) {
    const auto id = table.upsert(job(uid, estimate, remaining, cpus));
    EXPECT_TRUE(queue.add(id));
    return id;
  }
  /// The uid of the job that is chosen next; empty if there is none.
  std::string next(net::Time now = {}) {
    const auto id = queue.choose(now, kAnyNeedFits);
    return id ? table.at(*id).uid : "";
  }
  ProbeTable table;
  ProbeQueue queue{table, 7, kBypassCap};
};

TEST_F(ProbeQueueTest, ChoosesJobWithLeastRemainingWork) {
  const auto longer = add("long", 10, 10);
  add("short", 10, 2);
  EXPECT_EQ(next(), "short");
  table.set_remaining(longer, 1);
  EXPECT_EQ(next(), "long");
}

TEST_F(ProbeQueueTest, ProbeIsBypassedUpToTheCapOnly) {
  add("first", 10, 100);
  const auto bypasser = add("bypasser", 20, 4);
  int bypasses = 0;
  while (next() == "bypasser") {
    queue.count_bypassed(bypasser, {}, kAnyNeedFits);
    ASSERT_LT(++bypasses, 100);
  }
  // The cap of 5 times the estimate of 10 s allows two tasks of 20 s but not a third.
  EXPECT_EQ(bypasses, 2);
}

TEST_F(ProbeQueueTest, ChoosesOnlyJobsThatFitAndAreNotDeferred) {
  add("large", 1, 1, 8);
  const auto small = add("small", 50, 50);
  const auto fits = [](const Resources& n) { return n.cpus <= 2; };
  EXPECT_EQ(queue.choose({}, fits), small);
  queue.defer(small, net::Time(5s));
  EXPECT_EQ(queue.choose(net::Time(4s), fits), std::nullopt);
  EXPECT_EQ(queue.choose(net::Time(5s), fits), small);
  table.defer(small, net::Time(9s));  // defers the job on all machines
  EXPECT_EQ(queue.choose(net::Time(8s), fits), std::nullopt);
  table.upsert(job("small", 50, 49));  // new probes end the deferral
  EXPECT_EQ(queue.choose(net::Time(8s), fits), small);
}

TEST_F(ProbeQueueTest, HoldsOneProbePerJobAndRejectsWhenFull) {
  const auto a = add("a", 1, 1);
  EXPECT_EQ(add("a", 1, 7), a);
  EXPECT_EQ(queue.size(), 1u);
  EXPECT_EQ(table.at(a).remaining, 7u);
  for (std::size_t i = 1; i < ProbeQueue::kMaxProbes; ++i) add(std::to_string(i), 1, 1);
  EXPECT_FALSE(queue.add(table.upsert(job("one more", 1, 1))));
}

/// A reference implementation of the queue with the same rules: a separate list that is searched
/// from the front.
struct ReferenceQueue {
  struct Probe {
    std::string uid;
    double estimate;
    std::uint32_t remaining;
    double cpus;
    double bypassed = 0;
    net::Time not_before{};
  };
  double cap;
  std::list<Probe> probes;
  Probe* find(const std::string& uid) {
    for (auto& probe : probes)
      if (probe.uid == uid) return &probe;
    return nullptr;
  }
  std::string choose(net::Time now, double free_cpus) const {
    const Probe* best = nullptr;
    double max_estimate = 1e300;
    for (const auto& probe : probes) {
      if (probe.not_before > now || probe.cpus > free_cpus) continue;
      if ((!best || probe.remaining * probe.estimate < best->remaining * best->estimate) &&
          probe.estimate <= max_estimate)
        best = &probe;
      max_estimate = std::min(max_estimate, cap * probe.estimate - probe.bypassed);
    }
    return best ? best->uid : "";
  }
  void count_bypassed(const std::string& uid, net::Time now, double free_cpus) {
    const auto estimate = find(uid)->estimate;
    for (auto& probe : probes) {
      if (probe.uid == uid) break;
      if (probe.not_before <= now && probe.cpus <= free_cpus) probe.bypassed += estimate;
    }
  }
};

/// Applies the same random operations to the queues of two machines and to two reference queues.
/// The parameter is the seed.
class ProbeQueueRandomHistoryTest : public ::testing::TestWithParam<unsigned> {
 protected:
  static constexpr std::size_t kMachines = 2;
  void SetUp() override {
    const double cap = 1 + static_cast<double>(below(5));
    references.assign(kMachines, ReferenceQueue{cap, {}});
    for (DenseId machine = 0; machine < kMachines; ++machine)
      queues.push_back(std::make_unique<ProbeQueue>(table, 60 + 9 * machine, cap));
    const std::size_t count = 5 + below(300);
    for (std::size_t i = 0; i < count; ++i) {
      const auto uid = "wk-" + std::to_string(i);
      // There are only a few different estimates and needs, so that jobs often have equal work.
      const auto cpus = static_cast<double>(1 + below(3));
      const auto remaining = static_cast<std::uint32_t>(below(GetParam() % 2 ? 6 : 400));
      const auto estimate = static_cast<double>(1 + below(4) * 5);
      jobs[uid] = job(uid, estimate, remaining, cpus);
    }
  }
  std::uint64_t below(std::uint64_t bound) { return random() % bound; }

  void add(std::size_t machine, const ProbedJob& added) {
    ASSERT_TRUE(queues[machine]->add(table.upsert(added)));
    auto& reference = references[machine];
    if (auto* probe = reference.find(added.uid))
      probe->not_before = {};
    else
      reference.probes.push_back(
          {added.uid, added.estimate.count(), added.remaining, added.need.cpus});
  }
  void remove(std::size_t machine, const std::string& uid) {
    if (const auto id = table.find(uid)) queues[machine]->remove(*id);
    references[machine].probes.remove_if([&](const auto& probe) { return probe.uid == uid; });
  }
  void set_remaining(const std::string& uid, std::uint32_t remaining) {
    jobs[uid].remaining = remaining;
    if (const auto id = table.find(uid)) table.set_remaining(*id, remaining);
    for (auto& reference : references)
      if (auto* probe = reference.find(uid)) probe->remaining = remaining;
  }
  void defer(std::size_t machine, const std::string& uid, net::Time until) {
    if (const auto id = table.find(uid)) queues[machine]->defer(*id, until);
    if (auto* probe = references[machine].find(uid)) probe->not_before = until;
  }
  /// Expects both queues to choose the same job, and takes a task of it.
  void take_next(std::size_t machine, net::Time now, double free_cpus) {
    auto& queue = *queues[machine];
    auto& reference = references[machine];
    const auto fits = [&](const Resources& need) { return need.cpus <= free_cpus; };
    const auto id = queue.choose(now, fits);
    const auto expected = reference.choose(now, free_cpus);
    ASSERT_EQ(id ? table.at(*id).uid : "", expected);
    if (!id) return;
    ++chosen;
    bypasses += expected != reference.probes.front().uid;
    queue.count_bypassed(*id, now, fits);
    reference.count_bypassed(expected, now, free_cpus);
  }
  void random_step(net::Time now) {
    const auto machine = below(kMachines);
    const auto uid = "wk-" + std::to_string(below(jobs.size()));
    const auto free_cpus = static_cast<double>(below(4));
    const auto action = below(10);
    if (action < 3)
      add(machine, jobs[uid]);
    else if (action == 3)
      remove(machine, uid);
    else if (action == 4)
      set_remaining(uid, static_cast<std::uint32_t>(below(400)));
    else if (action == 5)
      defer(machine, uid, now + 1s);
    else
      take_next(machine, now, free_cpus);
    if (HasFatalFailure()) return;
    ASSERT_EQ(queues[machine]->size(), references[machine].probes.size());
  }

  std::mt19937_64 random{GetParam()};
  ProbeTable table;
  std::vector<std::unique_ptr<ProbeQueue>> queues;
  std::vector<ReferenceQueue> references;
  std::map<std::string, ProbedJob> jobs;
  std::size_t chosen = 0;
  std::size_t bypasses = 0;
};

TEST_P(ProbeQueueRandomHistoryTest, ChoosesSameJobAsReferenceQueue) {
  net::Time now{};
  for (int step = 0; step < 4000; ++step) {
    SCOPED_TRACE("step " + std::to_string(step));
    now += 50ms;
    random_step(now);
    if (HasFatalFailure()) return;
  }
  EXPECT_GT(chosen, 500u);
  EXPECT_GT(bypasses, 50u);
  for (auto& queue : queues) queue->clear();
  EXPECT_EQ(table.size(), 0u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, ProbeQueueRandomHistoryTest, ::testing::Range(1u, 21u));

// The tables must not grow with ended jobs, and an id must not be used for two jobs at once.
TEST(ProbeTableTest, ReusesIdsAndErasesEndedJobs) {
  ProbeTable table;
  std::mt19937_64 random(5);
  std::map<std::string, DenseId> live;
  std::vector<std::unique_ptr<ProbeQueue>> queues;
  for (DenseId machine = 0; machine < 40; ++machine)
    queues.push_back(std::make_unique<ProbeQueue>(table, machine, kBypassCap));
  ids::IdInterner names;
  for (int i = 0; i < 100'000; ++i) {
    const auto uid = "wk-" + std::to_string(i);
    const auto id = table.upsert(job(uid, 10, 5));
    EXPECT_EQ(names.assign(uid), names.assign(uid));
    for (int k = 0; k < 4; ++k) queues[random() % queues.size()]->add(id);
    live[uid] = id;
    if (live.size() < 200) continue;
    auto ended = std::next(live.begin(), static_cast<std::ptrdiff_t>(random() % live.size()));
    ASSERT_EQ(table.at(ended->second).uid, ended->first);
    ASSERT_EQ(names.name_of(*names.find(ended->first)), ended->first);
    const auto machines = table.machines_of(ended->second);
    machines.for_each([&](DenseId machine) { queues[machine]->remove(ended->second); });
    names.release(ended->first);
    live.erase(ended);
  }
  EXPECT_EQ(table.size(), live.size());
  EXPECT_EQ(names.size(), live.size());
  EXPECT_LE(names.id_limit(), 200u);
  EXPECT_EQ(table.by_remaining_work().size(), live.size());
}
}  // namespace
}  // namespace limemast::scheduling

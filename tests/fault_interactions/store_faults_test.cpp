// A key-value store that is slow, unavailable, or commits transactions late, and lost quota grants
// between controllers.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
/// A job counts as forgotten if no status query for it is answered for this long after the last
/// fault.
constexpr auto kMaxUnanswered = 75s;

class LateTransactions : public FaultInteraction {};

/// The hexadecimal bitmaps of completed tasks in a progress record, by job and index of the bitmap.
using CompletionBitmaps = std::map<std::pair<std::string, std::uint32_t>, std::string>;
std::map<std::string, CompletionBitmaps> recorded_completions(const StateService& state) {
  std::map<std::string, CompletionBitmaps> completions;
  state.for_each_key([&](const std::string& key, const json& value) {
    if (!key.starts_with("progress/")) return;
    for (const auto& entry : value) completions[key][{entry.at(0), entry.at(1)}] = entry.at(2);
  });
  return completions;
}
/// Whether a task that is completed in `before` is not completed in `now`.
bool misses_completions(const std::string& now, const std::string& before) {
  for (std::size_t i = 0; i < before.size(); ++i) {
    const auto bits = [&](const std::string& hex) {
      return i < hex.size() ? std::stoul(hex.substr(i, 1), nullptr, 16) : 0ul;
    };
    if (bits(before) & ~bits(now)) return true;
  }
  return false;
}

// Guards against a late transaction that overwrites a progress record with an older one, which each
// record's revision as a condition of the transaction prevents. Attempts are cleared once their
// completion is recorded, so no record may lose a completion.
TEST_P(LateTransactions, NeverRemoveRecordedCompletions) {
  const auto jobs = submit_arrays(12, 12, 30);
  cluster_.delay_transactions(0.5, 100s);
  std::map<std::string, CompletionBitmaps> before;
  std::size_t removed = 0;
  for (int i = 0; i < 260; ++i) {
    cluster_.run(500ms);
    const auto now = recorded_completions(cluster_.state());
    for (const auto& [key, old_bitmaps] : before) {
      const auto record = now.find(key);
      if (record == now.end()) continue;
      for (const auto& [job_and_index, hex] : old_bitmaps)
        if (const auto bitmap = record->second.find(job_and_index); bitmap != record->second.end())
          removed += misses_completions(bitmap->second, hex);
    }
    before = now;
    if (i % 60 == 59) {
      const auto restart_after = seconds(uniform(0.02, 3));
      cluster_.crash(world_.below(3), restart_after);
    }
  }
  EXPECT_EQ(removed, 0u);
  EXPECT_LT(run_until(400s, [&] { return all_done(jobs); }), 400s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LateTransactions, testing::Range<std::uint64_t>(1, 7));

class LostTransactionResponses : public FaultInteraction {};

// Transactions are committed at once but their responses are lost, while other controllers read and
// use the written records. The writer must read its records back, and may crash as well.
TEST_P(LostTransactionResponses, AreResolvedByReadingBack) {
  cluster_.query_concurrently(300s, 0.2);
  cluster_.delay_transactions(0.4, 120s, true);
  std::vector<std::string> all;
  for (int round = 0; round < 6; ++round) {
    for (auto& uid : submit_arrays(5, 3, uniform(5, 20))) all.push_back(uid);
    for (auto& uid : submit_arrays(1, 3, 70)) all.push_back(uid);
    const auto to_cancel = submit_services(3, 2);
    cluster_.run(seconds(uniform(3, 9)));
    cancel(to_cancel);
    cluster_.run(seconds(uniform(0.1, 3)));
    if (round % 2) {
      const auto restart_after = seconds(uniform(0.02, 4));
      cluster_.crash(world_.below(2) ? leader() : world_.below(3), restart_after);
    }
    cluster_.run(seconds(uniform(3, 8)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  const auto has_ended = [&](const auto& uid) { return !cluster_.final_phase(uid).empty(); };
  EXPECT_LT(run_until(200s, [&] { return std::all_of(all.begin(), all.end(), has_ended); }), 200s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LostTransactionResponses, testing::Range<std::uint64_t>(1, 7));

class SlowThenUnavailableStore : public FaultInteraction {};

// The store becomes slow, rejects only the leader, and is then unavailable to all for longer than
// cancel_s. Status queries must be answered again well before a job counts as forgotten.
TEST_P(SlowThenUnavailableStore, LeavesNoStatusQueryUnanswered) {
  std::vector<std::string> uncancelled = submit_arrays(6, 3, 50);
  for (int round = 0; round < 2; ++round) {
    const auto to_cancel = submit_arrays(10, 3, 58);
    cluster_.run(25s);
    cluster_.slow_state_service(seconds(uniform(0.2, 3)), 16s);
    cluster_.run(seconds(uniform(0, 2)));
    const auto old_leader = leader();
    if (round == 1 && GetParam() % 2)
      cluster_.cut(old_leader, Side::State, true, 16s);
    else
      cluster_.reject_at_store(old_leader, 16s);
    for (const auto& uid : to_cancel) cluster_.cancel(uid);
    cluster_.run(seconds(uniform(1, 4)));
    cluster_.state_outage(seconds(default_settings().cancel_timeout.count() + uniform(5, 25)));
    cluster_.run(70s);
    for (const auto& uid : to_cancel) EXPECT_EQ(cluster_.final_phase(uid), "cancelled");
    EXPECT_LT(cluster_.longest_unanswered(), kMaxUnanswered / 3);
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(run_until(200s, [&] { return all_done(uncancelled); }), 200s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SlowThenUnavailableStore, testing::Range<std::uint64_t>(1, 7));

class CancelAtStoreOutage : public FaultInteraction {};

// Jobs are cancelled at the moment at which the store starts to reject only the leader. One second
// later the store is unavailable to all for longer than cancel_s.
TEST_P(CancelAtStoreOutage, ConfirmsEachCancellation) {
  for (int round = 0; round < 2; ++round) {
    auto to_cancel = submit_arrays(12, 3, 58);
    for (auto& uid : submit_services(6, 2)) to_cancel.push_back(uid);
    cluster_.run(20s);
    cancel(to_cancel);
    cluster_.reject_at_store(leader(), 14s);
    if (round)
      cluster_.hang_machines(cluster_.machines_with(to_cancel.front()), seconds(uniform(3, 9)));
    cluster_.run(1s);
    cluster_.state_outage(seconds(settings_.cancel_timeout.count() + uniform(2, 20)));
    cluster_.run(seconds(settings_.cancel_timeout.count() + 45));
    ASSERT_EQ(violations(cluster_.invariants()), "");
    EXPECT_EQ(count_cancelled(to_cancel), to_cancel.size());
    EXPECT_LT(cluster_.longest_unanswered(), kMaxUnanswered);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelAtStoreOutage, testing::Range<std::uint64_t>(1, 7));

// Guards against a quota grant that is lost between controllers and never sent again, which blocked
// the jobs of its recipient, and all others that waited for the granted quota, until the next
// leader.
class LostQuotaGrant : public FaultInteraction {};
TEST_P(LostQuotaGrant, IsResent) {
  cluster_.lose_messages("grant", 6s);
  const auto jobs = submit_arrays(9, 4, 12);
  EXPECT_LT(run_until(150s, [&] { return all_done(jobs); }), 150s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LostQuotaGrant, testing::Range<std::uint64_t>(1, 7));
}  // namespace
}  // namespace limemast

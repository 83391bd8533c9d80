// A key-value store that is slow, unavailable, or carries transactions out late; lost messages
// about quota.
#include "fault_interactions/fault_fixture.hpp"

namespace limemast {
namespace {
/// A job about which no query is answered for so long after the last fault counts as forgotten.
constexpr auto kForgotten = 75s;

class LateTransactions : public FaultInteraction {};

/// Tasks that each record of progress calls done, by job and piece.
using Recorded = std::map<std::pair<std::string, std::uint32_t>, std::string>;
std::map<std::string, Recorded> recorded(const StateService& state) {
  std::map<std::string, Recorded> out;
  state.for_each_key([&](const std::string& key, const json& value) {
    if (!key.starts_with("progress/")) return;
    for (const auto& p : value) out[key][{p.at(0), p.at(1)}] = p.at(2);
  });
  return out;
}
bool lacks_some(const std::string& now, const std::string& before) {
  for (std::size_t i = 0; i < before.size(); ++i) {
    const auto bits = [&](const std::string& hex) {
      return i < hex.size() ? std::stoul(hex.substr(i, 1), nullptr, 16) : 0ul;
    };
    if (bits(before) & ~bits(now)) return true;
  }
  return false;
}

// A transaction without an answer is carried out late, after newer ones of the same run: attempts
// are cleared on the strength of what is recorded, so no record of progress may ever say less of a
// job than it did. Without the revision of each record as a condition it did, on each of these
// seeds.
TEST_P(LateTransactions, NeverRemoveRecordedCompletions) {
  const auto jobs = arrays(12, 12, 30);
  cluster_.delay_transactions(0.5, 100s);
  std::map<std::string, Recorded> before;
  std::size_t withdrawn = 0;
  for (int i = 0; i < 260; ++i) {
    cluster_.run(500ms);
    const auto now = recorded(cluster_.state());
    for (const auto& [key, was] : before) {
      const auto is = now.find(key);
      if (is == now.end()) continue;
      for (const auto& [piece, hex] : was)
        if (const auto p = is->second.find(piece); p != is->second.end())
          withdrawn += lacks_some(p->second, hex);
    }
    before = now;
    if (i % 60 == 59) cluster_.crash(world_.below(3), seconds(s(0.02, 3)));
  }
  EXPECT_EQ(withdrawn, 0u);
  EXPECT_LT(until(400s, [&] { return all_done(jobs); }), 400s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LateTransactions, testing::Range<std::uint64_t>(1, 7));

class LostTransactionResponses : public FaultInteraction {};

// Transactions are carried out at once and only their answers are lost, while others read what was
// written and act on it: acceptances, ends, registrations, progress, generations. Then the writer
// ends as well.
TEST_P(LostTransactionResponses, AreReadBackBeforeAnyoneActs) {
  cluster_.query_concurrently(300s, 0.2);
  cluster_.delay_transactions(0.4, 120s, true);
  std::vector<std::string> all;
  for (int round = 0; round < 6; ++round) {
    for (auto& uid : arrays(5, 3, s(5, 20))) all.push_back(uid);
    for (auto& uid : arrays(1, 3, 70)) all.push_back(uid);
    const auto doomed = services(3, 2);
    cluster_.run(seconds(s(3, 9)));
    cancel(doomed);
    cluster_.run(seconds(s(0.1, 3)));
    if (round % 2)
      cluster_.crash(world_.below(2) ? leader() : world_.below(3), seconds(s(0.02, 4)));
    cluster_.run(seconds(s(3, 8)));
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  const auto over = [&](const auto& uid) { return !cluster_.final_phase(uid).empty(); };
  EXPECT_LT(until(200s, [&] { return std::all_of(all.begin(), all.end(), over); }), 200s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LostTransactionResponses, testing::Range<std::uint64_t>(1, 7));

class SlowThenUnavailableStore : public FaultInteraction {};

// The state service answers slowly, then refuses the leader alone, then everybody for longer than
// cancel_s, twice, while users cancel and ask. Afterwards each job's questions are answered well
// before it would count as forgotten.
TEST_P(SlowThenUnavailableStore, LeavesNoJobUnanswered) {
  std::vector<std::string> kept = arrays(6, 3, 50);
  for (int twice = 0; twice < 2; ++twice) {
    const auto doomed = arrays(10, 3, 58);
    cluster_.run(25s);
    cluster_.slow_state_service(seconds(s(0.2, 3)), 16s);
    cluster_.run(seconds(s(0, 2)));
    const auto old = leader();
    if (twice == 1 && GetParam() % 2)
      cluster_.cut(old, Side::State, true, 16s);
    else
      cluster_.reject_at_store(old, 16s);
    for (const auto& uid : doomed) cluster_.cancel(uid);
    cluster_.run(seconds(s(1, 4)));
    cluster_.state_outage(seconds(settings().cancel_timeout.count() + s(5, 25)));
    cluster_.run(70s);
    for (const auto& uid : doomed) EXPECT_EQ(cluster_.final_phase(uid), "cancelled");
    EXPECT_LT(cluster_.longest_unanswered(), kForgotten / 3);
    ASSERT_EQ(violations(cluster_.invariants()), "");
  }
  EXPECT_LT(until(200s, [&] { return all_done(kept); }), 200s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SlowThenUnavailableStore, testing::Range<std::uint64_t>(1, 7));

class CancelAtStoreOutage : public FaultInteraction {};

// Jobs are cancelled at the very moment at which the state service refuses the leader alone, and a
// second later it is out for longer than cancel_s; twice.
TEST_P(CancelAtStoreOutage, ConfirmsEachCancellation) {
  for (int twice = 0; twice < 2; ++twice) {
    auto doomed = arrays(12, 3, 58);
    for (auto& uid : services(6, 2)) doomed.push_back(uid);
    cluster_.run(20s);
    cancel(doomed);
    cluster_.reject_at_store(leader(), 14s);
    if (twice) cluster_.hang_machines(cluster_.machines_with(doomed.front()), seconds(s(3, 9)));
    cluster_.run(1s);
    cluster_.state_outage(seconds(settings_.cancel_timeout.count() + s(2, 20)));
    cluster_.run(seconds(settings_.cancel_timeout.count() + 45));
    ASSERT_EQ(violations(cluster_.invariants()), "");
    EXPECT_EQ(cancelled(doomed), doomed.size());
    EXPECT_LT(cluster_.longest_unanswered(), kForgotten);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelAtStoreOutage, testing::Range<std::uint64_t>(1, 7));

// A grant of a team's limit that is lost on a link: its holder went on speaking of the time before,
// and was not heard any more. Its jobs, and whatever else waited for what it had been granted,
// stood still for as long as that leader led.
class LostQuotaGrant : public FaultInteraction {};
TEST_P(LostQuotaGrant, IsRepeated) {
  cluster_.lose_messages("grant", 6s);
  const auto jobs = arrays(9, 4, 12);
  EXPECT_LT(until(150s, [&] { return all_done(jobs); }), 150s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LostQuotaGrant, testing::Range<std::uint64_t>(1, 7));
}  // namespace
}  // namespace limemast

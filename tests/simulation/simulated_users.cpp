// Users submit jobs, query their status and cancel them.
#include <algorithm>
#include <cmath>

#include "simulation/simulated_cluster.hpp"
#include "simulation/simulation_constants.hpp"

namespace limemast::simulation {
namespace {
constexpr auto kStatusTimeout = 2s;
constexpr auto kSubmissionTimeout = 5s;
}  // namespace

wire::JobSpec SimulatedCluster::random_job() {
  wire::JobSpec s;
  char text[16];
  std::snprintf(text, sizeof text, "wk-%06u", static_cast<unsigned>(next_job_++));
  s.uid = text;
  s.workload = "w";
  s.team = world_.chance(0.5) ? "red" : "blue";
  s.service = world_.chance(0.25);
  s.rank = s.service            ? wire::Rank::Production
           : world_.chance(0.5) ? wire::Rank::Standard
                                : wire::Rank::Low;
  s.tasks = s.service ? 1 + static_cast<std::uint32_t>(world_.below(3))
                      : 1 + static_cast<std::uint32_t>(world_.below(20));
  s.cpus = world_.chance(0.5) ? 2 : 4;
  s.ram_gb = 2;
  s.image = "img-" + std::to_string(world_.below(3));
  s.image_gb = 1;
  s.spot = !s.service && world_.chance(0.7);
  s.spread = s.service && world_.chance(0.5);
  s.one_zone = !s.service && world_.chance(0.2);
  if (world_.chance(0.15)) s.zone = settings_.zones[world_.below(3)];
  if (s.zone) s.spread = false;
  if (world_.chance(0.15)) s.types = std::vector<std::string>{kMachineTypes[world_.below(2)].name};
  s.estimate = wire::Seconds(s.service ? 0 : world_.chance(0.3) ? 70 : world_.uniform(5, 40));
  return s;
}

void SimulatedCluster::submit_random_jobs() {
  if (random_submissions_) {
    const bool cancel_later = world_.chance(0.25);
    submit(random_job(), cancel_later);
  }
  world_.after(seconds(-options_.mean_submission_interval_s * std::log(world_.uniform(0.01, 1))),
               [this] { submit_random_jobs(); });
}

void SimulatedCluster::submit(wire::JobSpec spec, bool cancel_later) {
  const auto uid = spec.uid;
  auto& job = jobs_[uid];
  job.spec = spec;
  job.run_time_s = std::max(2.0, spec.estimate.count() * world_.uniform(0.4, 1.6));
  job.always_fails =
      !options_.scripted && !spec.service && world_.chance(options_.failing_job_share);
  job.last_answer_at = world_.now();
  invariants_.submitted(spec);
  send_submission(uid);
  // Services and jobs that always fail run until they are cancelled.
  if (cancel_later || (spec.service && !options_.scripted) || job.always_fails)
    world_.after(seconds(world_.uniform(1, spec.service ? 200 : 60)), [this, uid] { cancel(uid); });
  // A status query for a job that was never submitted must get no status.
  const auto unknown_uid = "wk-9" + uid.substr(4);
  to_controller(world_.below(nodes_.size()), Side::Cloud,
                {"GET", "/submissions/" + unknown_uid, {}}, kStatusTimeout,
                [this, unknown_uid](net::HttpResult r) {
                  invariants_.status_answered(unknown_uid, {}, r.status, "");
                });
}

namespace {
std::string parse_phase(const net::HttpResult& r) {
  const auto body = json::parse(r.body, nullptr, false);
  return body.is_object() ? body.value("phase", "") : "";
}
constexpr unsigned kQueryRounds = 4;
constexpr double kQueryRoundSpreadS = 0.012;  // time over which the queries of a round spread
}  // namespace

void SimulatedCluster::follow_up_answer(const std::string& uid,
                                        const InvariantChecker::KnownStatus& before) {
  const auto now = invariants_.known(uid);
  if (before.accepted == now.accepted && before.final == now.final) return;
  if (concurrent_query_faults_ == 0) return;
  query_after_change(uid);
  if (!before.accepted && now.final.empty() && world_.chance(cancel_after_accept_share_))
    cancel(uid);
}

void SimulatedCluster::query_after_change(const std::string& uid) {
  for (unsigned round = 0; round < kQueryRounds; ++round)
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const auto random_delay = [&] {
        return seconds(world_.uniform(0, kQueryRoundSpreadS) + kQueryRoundSpreadS * round * round);
      };
      world_.after(random_delay(), [this, uid, i] { query_status(uid, i); });
      if (round % 2 == 0) world_.after(random_delay(), [this, uid, i] { resubmit(uid, i); });
    }
}

void SimulatedCluster::resubmit(const std::string& uid, std::size_t node) {
  const auto then = invariants_.known(uid);
  to_controller(node, Side::Cloud,
                {"POST", "/submissions", wire::to_json(jobs_.at(uid).spec).dump()},
                kSubmissionTimeout, [this, uid, then](net::HttpResult r) {
                  const auto before = invariants_.known(uid);
                  invariants_.submission_answered(uid, then, r.status, parse_phase(r));
                  follow_up_answer(uid, before);
                });
}

void SimulatedCluster::send_submission(const std::string& uid) {
  const auto then = invariants_.known(uid);
  to_controller(world_.below(nodes_.size()), Side::Cloud,
                {"POST", "/submissions", wire::to_json(jobs_.at(uid).spec).dump()},
                kSubmissionTimeout, [this, uid, then](net::HttpResult r) {
                  auto& job = jobs_.at(uid);
                  const auto before = invariants_.known(uid);
                  invariants_.submission_answered(uid, then, r.status, parse_phase(r));
                  follow_up_answer(uid, before);
                  if (r.status != 200 && r.status != 201) {
                    if (r.status != 400 && r.status != 422)
                      world_.after(std::max(retry_after_, seconds(world_.uniform(1, 2))),
                                   [this, uid] { send_submission(uid); });
                    return;
                  }
                  if (std::exchange(job.polled, true)) return;
                  world_.after(seconds(world_.uniform(0.1, 3)), [this, uid] { poll(uid); });
                  if (world_.chance(0.3))
                    world_.after(seconds(world_.uniform(1, 40)),
                                 [this, uid] { send_submission(uid); });  // late resubmission
                });
}

void SimulatedCluster::poll(const std::string& uid) {
  const auto then = invariants_.known(uid);
  to_controller(world_.below(nodes_.size()), Side::Cloud, {"GET", "/submissions/" + uid, {}},
                kStatusTimeout, [this, uid, then](net::HttpResult r) {
                  const auto before = invariants_.known(uid);
                  invariants_.status_answered(uid, then, r.status, parse_phase(r));
                  follow_up_answer(uid, before);
                  if (r.status == 200) jobs_.at(uid).last_answer_at = world_.now();
                  const auto next_poll_s = invariants_.known(uid).final.empty()
                                               ? world_.uniform(2, 5)
                                               : world_.uniform(20, 60);
                  world_.after(seconds(next_poll_s), [this, uid] { poll(uid); });
                });
}

void SimulatedCluster::query_status(const std::string& uid, std::size_t node) {
  const auto then = invariants_.known(uid);
  to_controller(node, Side::Cloud, {"GET", "/submissions/" + uid, {}}, kStatusTimeout,
                [this, uid, then](net::HttpResult r) {
                  const auto before = invariants_.known(uid);
                  invariants_.status_answered(uid, then, r.status, parse_phase(r));
                  follow_up_answer(uid, before);
                });
}

void SimulatedCluster::cancel(const std::string& uid) {
  if (!invariants_.known(uid).accepted) return void(world_.after(3s, [this, uid] { cancel(uid); }));
  if (jobs_.at(uid).cancel_requested_at == Time{}) jobs_.at(uid).cancel_requested_at = world_.now();
  invariants_.asked_to_cancel(uid);
  send_cancellation(uid);
}

void SimulatedCluster::send_cancellation(const std::string& uid) {
  const auto then = invariants_.known(uid);
  to_controller(
      world_.below(nodes_.size()), Side::Cloud, {"POST", "/submissions/" + uid + "/abort", {}},
      kSubmissionTimeout, [this, uid, then](net::HttpResult r) {
        const auto before = invariants_.known(uid);
        invariants_.status_answered(uid, then, r.status, parse_phase(r));
        if (before.final.empty() && r.status == 200)
          longest_cancellation_ =
              std::max(longest_cancellation_, world_.now() - jobs_.at(uid).cancel_requested_at);
        follow_up_answer(uid, before);
        if (r.status != 200)
          world_.after(seconds(world_.uniform(1, 2)), [this, uid] { send_cancellation(uid); });
      });
}
}  // namespace limemast::simulation

#include "compat/fault_day.hpp"

#include <algorithm>

namespace limemast::compat {
namespace {
using namespace std::chrono_literals;
using simulation::seconds;
using simulation::SimulatedCluster;
using wire::json;
using Side = SimulatedCluster::Side;
constexpr std::size_t kMachinesPerPool = 3;
constexpr double kMeanSubmissionGapS = 8;
constexpr auto kStartupTime = 10s;
constexpr auto kSettleTime = 40s;
constexpr auto kNormalProcessingTime = 400us, kOverloadedProcessingTime = 15000us;
constexpr auto kOverloadDuration = 20s;
constexpr std::size_t kMalformedRequestKinds = 12, kOperatorRequestKinds = 10;
const std::string kOperatorApi = "/operator/v1/";
}  // namespace

wire::Settings fault_day_settings(std::uint64_t seed) {
  auto s = simulation::settings_for_tests();
  s.teams = {{"red", {40, 60, 0, 0}}, {"blue", {0, 0, 0, 0}}, {"green", {30, 40, 0, 0}}};
  if (seed % 5 == 0) s.teams["red"] = {10, 16, 0, 0};
  s.objectives = {{"finished", "w", wire::Seconds(90), 0.9}, {"wait", "w", wire::Seconds(20), 0.9}};
  s.operators.enabled = true;
  s.operators.max_requests_per_s = seed % 7 == 0 ? 2 : 200;
  s.operators.page_size = seed % 2 == 0 ? 5 : 200;
  s.operators.history_interval = wire::Seconds(3);
  s.drains.no_checkpoint_grace_period = wire::Seconds(15);
  s.drains.max_moving_tasks = 6;
  s.start.query_machines_after_restart = seed % 4 == 0;
  s.tuning.prioritize_underserved = seed % 4 == 1;
  s.tuning.idle_return = wire::Seconds(15);
  return s;
}

FaultDay::FaultDay(simulation::SimulatedWorld& world, std::uint64_t seed,
                   SimulatedCluster::Observer observer, FaultDayOptions options)
    : seed_(seed),
      world_(world),
      settings_(fault_day_settings(seed)),
      options_(options),
      cluster_(world_, settings_,
               {.machines_per_pool = kMachinesPerPool,
                .mean_submission_interval_s = kMeanSubmissionGapS,
                .early_heartbeat_replaces_next = seed % 2 == 0,
                .observer = std::move(observer)}) {
  // Every sixth seed is a day with overload: admission control rejects requests only if processing
  // takes time.
  if (seed % 6 == 3) cluster_.set_processing_time(kNormalProcessingTime);
}

void FaultDay::run() {
  const auto end = world_.now() + options_.length;
  submit_jobs();
  cluster_.run(kStartupTime);
  while (world_.now() < end) {
    run_random_action();
    cluster_.run(std::min<net::Duration>(random_duration(0.2, 2.5), end - world_.now()));
  }
}

void FaultDay::overload_controllers() {
  cluster_.set_processing_time(kOverloadedProcessingTime);
  cluster_.slow_down(0, 4, kOverloadDuration);
  for (int i = 0; i < 10; ++i) {
    submit_jobs();
    query_any_job();
    cluster_.run(2s);
  }
  cluster_.set_processing_time(kNormalProcessingTime);
}

void FaultDay::restart_all_controllers() {
  for (std::size_t i = 0; i < settings_.controller_count; ++i) cluster_.crash(i, 200ms);
  cluster_.run(5s);
}

void FaultDay::send_all_requests() {
  if (seed_ % 6 == 3) overload_controllers();
  if (settings_.start.query_machines_after_restart) restart_all_controllers();
  cluster_.run(kSettleTime);
  for (std::size_t i = 0; i < kMalformedRequestKinds; ++i) {
    send_malformed_request(i);
    cluster_.run(500ms);
  }
  for (std::size_t i = 0; i < kOperatorRequestKinds; ++i) {
    query_operator_api(i);
    cluster_.run(3s);
  }
  for (const auto& id : {"machine/" + any_machine(), "zone/" + settings_.zones[0]})
    for (const char* method : {"PUT", "PUT", "DELETE", "DELETE"}) {
      send_request(method, kOperatorApi + "drains/" + id,
                   method[0] == 'P' ? R"({"note":"test"})" : "");
      cluster_.run(1500ms);
    }
  const auto controller = any_controller();
  cluster_.query_status(any_job(), controller);
  cluster_.run(3s);
}

void FaultDay::run_random_action() {
  const auto draw = world_.below(100);
  if (draw < 22) return submit_jobs();
  if (draw < 32) return cancel_any_job();
  if (draw < 40) return query_any_job();
  if (draw < 44) return send_malformed_request(world_.below(kMalformedRequestKinds));
  if (draw < 62) {
    send_request("GET", "/ready");
    return query_operator_api(world_.below(kOperatorRequestKinds));
  }
  if (draw < 72) return change_drain();
  if (options_.faults) inject_fault();
}

std::size_t FaultDay::any_controller() { return world_.below(settings_.controller_count); }
net::Duration FaultDay::random_duration(double min_s, double max_s) {
  return seconds(world_.uniform(min_s, max_s));
}

// ---- user requests ----

wire::JobSpec FaultDay::draw_job() {
  auto spec = cluster_.random_job();
  const auto shape = world_.below(4);
  spec.service = shape == 0;
  spec.gang = shape == 1;
  if (spec.service) spec.estimate = wire::Seconds(0);
  if (spec.service || spec.gang) spec.tasks = 1 + static_cast<std::uint32_t>(world_.below(4));
  if (spec.gang) {
    spec.spread = false;
    spec.estimate = wire::Seconds(world_.uniform(5, 80));
  }
  if (chance(0.3)) spec.team = "green";
  if (chance(0.3)) {
    spec.checkpoint_interval = wire::Seconds(10);
    spec.checkpoint_duration = wire::Seconds(1.5);
  }
  if (chance(0.3)) spec.due = wire::Seconds(world_.uniform(30, 200));
  if (chance(0.2)) spec.rank = wire::Rank::Urgent;
  if (chance(0.2)) spec.estimate = wire::Seconds(world_.uniform(61, 90));
  return spec;
}

void FaultDay::submit_jobs() {
  for (auto remaining = 1 + world_.below(4); remaining > 0; --remaining) {
    submitted_.push_back(draw_job());
    cluster_.submit(submitted_.back(), chance(0.2));
  }
}

std::string FaultDay::any_job() { return submitted_[world_.below(submitted_.size())].uid; }

void FaultDay::cancel_any_job() {
  for (int i = 0; i < 2; ++i) cluster_.cancel(any_job());
}

void FaultDay::query_any_job() {
  const auto uid = any_job();
  for (std::size_t i = 0; i < settings_.controller_count; ++i) cluster_.query_status(uid, i);
  if (chance(0.5)) cluster_.resubmit(uid, any_controller());
}

void FaultDay::send_malformed_request(std::size_t kind) {
  auto body = wire::to_json(submitted_.front());
  switch (kind) {
    case 0:
      return send_request("POST", "/submissions", "not JSON");
    case 1:
      body.erase("rank");
      return send_request("POST", "/submissions", body.dump());
    case 2:
      body["cpus"] = "many";
      return send_request("POST", "/submissions", body.dump());
    case 3:  // resubmits a job with another size
      body["cpus"] = 1.25;
      return send_request("POST", "/submissions", body.dump());
    case 4:  // can never run
      body["uid"] = "wk-77" + submitted_.front().uid.substr(5);
      body["cpus"] = 4000;
      return send_request("POST", "/submissions", body.dump());
    case 5:
      body["uid"] = "wk-78" + submitted_.front().uid.substr(5);
      body["owner"] = "nobody";
      return send_request("POST", "/submissions", body.dump());
    case 6:
      return send_request("GET", "/submissions");
    case 7:
      return send_request("POST", "/submissions/" + any_job());
    case 8:
      return send_request("GET", "/submissions/" + any_job() + "/abort");
    case 9:
      return send_request("POST", "/hello", R"({"host":"n-1"})");
    case 10:
      return send_request("GET", "/nowhere");
    default:
      send_request("POST", "/submissions/wk-999999/abort");
      send_request("POST", "/submissions/nonsense/abort");
      send_request("GET", "/submissions/nonsense");
      send_request("GET", "/hello");
      return send_request("POST", "/ready");
  }
}

// ---- operator requests ----

void FaultDay::send_request(const std::string& method, const std::string& path,
                            const std::string& body) {
  cluster_.ask(any_controller(), {method, path, body}, [](const net::HttpResponse&) {});
}

std::string FaultDay::any_machine() {
  const auto all = cluster_.all_machines();
  if (all.empty()) return "n-000001";
  return *std::next(all.begin(), static_cast<std::ptrdiff_t>(world_.below(all.size())));
}

void FaultDay::query_operator_api(std::size_t kind) {
  switch (kind) {
    case 0:
      send_request("GET", kOperatorApi + "jobs?limit=3");
      return send_request("GET", kOperatorApi + "jobs?from=" + any_job());
    case 1:
      return send_request("GET", kOperatorApi + "jobs/" + any_job());
    case 2:
      send_request("GET", kOperatorApi + "machines?limit=4");
      return send_request("GET", kOperatorApi + "machines?from=" + any_machine());
    case 3:
      return send_request("GET", kOperatorApi + "teams");
    case 4:
      return send_request("GET", kOperatorApi + "controllers");
    case 5:
      return send_request("GET", kOperatorApi + "history");
    case 6:
      return send_request("GET", kOperatorApi + "metrics");
    case 7:
      send_request("GET", kOperatorApi + "jobs?limit=0");
      send_request("GET", kOperatorApi + "machines?limit=x");
      return send_request("POST", kOperatorApi + "jobs");
    case 8:
      send_request("GET", kOperatorApi + "nowhere");
      return send_request("GET", kOperatorApi + "jobs/wk-999999");
    default:
      send_request("GET", kOperatorApi + "drains");
      send_request("GET", kOperatorApi + "machines");
      return send_request("GET", kOperatorApi + "jobs");
  }
}

void FaultDay::change_drain() {
  const auto draw = world_.below(8);
  if (draw == 0) {
    send_request("PUT", kOperatorApi + "drains/machine/no-such-machine", "{}");
    send_request("PUT", kOperatorApi + "drains/rack/r1", "{}");
    send_request("PUT", kOperatorApi + "drains/zone/" + settings_.zones[0], R"({"note":7})");
    return send_request("GET", kOperatorApi + "drains/zone/a");
  }
  if (draw < 4 && !drained_.empty()) {
    send_request("DELETE", kOperatorApi + "drains/" + drained_.back());
    return drained_.pop_back();
  }
  drained_.push_back(chance(0.3) ? "zone/" + settings_.zones[world_.below(3)]
                                 : "machine/" + any_machine());
  send_request("PUT", kOperatorApi + "drains/" + drained_.back(),
               chance(0.5) ? json{{"note", "maintenance"}, {"giveBack", chance(0.5)}}.dump() : "");
  world_.after(random_duration(1, 6), [this] { send_request("GET", kOperatorApi + "drains"); });
}

// ---- faults ----

void FaultDay::inject_fault() {
  switch (world_.below(3)) {
    case 0:
      return inject_store_fault();
    case 1:
      return inject_controller_fault();
    default:
      return inject_machine_fault();
  }
}

void FaultDay::inject_store_fault() {
  const auto duration = random_duration(2, 20);
  switch (world_.below(9)) {
    case 0:
      return cluster_.state_outage(random_duration(1, 12));
    case 1:
      return cluster_.slow_state_service(random_duration(0.3, 3), duration);
    case 2:
      return cluster_.delay_transactions(0.3, duration);
    case 3:
      return cluster_.delay_transactions(0.3, duration, true);
    case 4:
      return cluster_.reject_at_store(any_controller(), duration);
    case 5:
      return cluster_.stall_watches(any_controller(), duration);
    case 6: {
      const bool hold = chance(0.5);
      return cluster_.cut(any_controller(), Side::State, hold, duration);
    }
    case 7:
      return cluster_.cloud_outage(duration);
    default: {
      const bool hold = chance(0.5);
      return cluster_.cut(any_controller(), Side::Cloud, hold, duration);
    }
  }
}

void FaultDay::inject_controller_fault() {
  const auto node = chance(0.5) ? cluster_.leader() : any_controller();
  const auto duration = random_duration(2, 20);
  switch (world_.below(10)) {
    case 0:
      return cluster_.crash(node, random_duration(0.02, 10));
    case 1:
      for (std::size_t i = 0; i < settings_.controller_count; ++i)
        cluster_.crash(i, random_duration(0.02, 5));
      return;
    case 2:
      return cluster_.freeze(node, duration);
    case 3:
      return cluster_.drop_peer_messages_to(node, duration);
    case 4:
      return cluster_.cut(node, Side::Peers, chance(0.5), duration);
    case 5:
      return cluster_.cut(node, Side::Workers, chance(0.5), duration);
    case 6:
      for (auto side : {Side::State, Side::Peers}) cluster_.cut(node, side, false, duration);
      return;
    case 7:
      return cluster_.delay_links(node, random_duration(0.2, 1.5), duration);
    case 8:
      return cluster_.cut_zone(settings_.zones[world_.below(settings_.zones.size())], duration);
    default:
      cluster_.query_concurrently(random_duration(5, 20), 0.2);
      return cluster_.slow_down(node, 40, duration);
  }
}

void FaultDay::inject_machine_fault() {
  const auto duration = random_duration(2, 25);
  const auto one_in_four = [this](const std::string&, const std::string&) { return chance(0.25); };
  switch (world_.below(12)) {
    case 0:
      return cluster_.block_inbound_to_machines(one_in_four, duration);
    case 1:
      return cluster_.block_heartbeats(one_in_four, duration);
    case 2:
      return cluster_.hang_random_machine(duration);
    case 3:
      return cluster_.hang_machines(cluster_.machines_with(any_job()), duration);
    case 4:
      return cluster_.kill_machines(1 + world_.below(3));
    case 5:
      return cluster_.reclaim_machine(true);
    case 6:
      return cluster_.reclaim_machine(false);
    case 7:
      return cluster_.make_machine_faulty(duration);
    case 8:
      return cluster_.duplicate_heartbeats_late(0.3, duration);
    case 9:
      return cluster_.replay_heartbeats_at_next_leader(0.5, random_duration(10, 40));
    case 10:
      for (auto receiver : {Side::Workers, Side::State, Side::Cloud})
        cluster_.duplicate_requests_late(receiver, 0.3, duration);
      return cluster_.duplicate_user_requests_late(0.3, duration);
    default:
      cluster_.cancel_at_end(0.4, duration);
      return cluster_.drop_direct_commands(duration);
  }
}
}  // namespace limemast::compat

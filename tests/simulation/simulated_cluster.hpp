#pragma once
#include <deque>
#include <set>

#include "app/controller_supervisor.hpp"
#include "simulation/invariant_checker.hpp"
#include "simulation/state_service.hpp"
#include "wire/worker.hpp"

namespace limemast::simulation {
/// A whole deployment in simulated time: controllers (the real ones), workers, cloud, state service
/// and users.
class SimulatedCluster {
 public:
  enum class Side { State, Cloud, Workers, Peers };

  /// Something that a controller sends, at the moment at which it sends it.
  struct Outgoing {
    const std::string& from;  ///< the controller's label
    const std::string& to;  ///< an endpoint, a controller's label, or "user", "worker", "operator"
    /// The request that is sent or, with `response`, the one that is answered.
    const net::HttpRequest* request = nullptr;
    const net::HttpResponse* response = nullptr;
    const json* message = nullptr;  ///< to another controller
  };
  using Observer = std::function<void(const Outgoing&)>;

  struct Options {
    std::size_t controllers = 3;
    std::size_t log_size = 10'000;
    std::size_t machines_per_pool = 4;      ///< machines to be had of each type, zone and kind
    double mean_submission_interval_s = 6;  ///< mean time between submissions
    double min_restart_s = 0.5,
           max_restart_s = 15;  ///< after how long a crashed controller is back, in random troubles
    double failing_job_share =
        0.04;  ///< share of jobs submitted with a mistake: they fail on every machine
    /// A report because of a change takes the place of the next one by plan, as with real workers;
    /// else it comes in addition.
    bool early_heartbeat_replaces_next = false;
    bool scripted = false;                   ///< jobs neither fail nor are cancelled by chance
    double min_boot_s = 1, max_boot_s = 12;  ///< from a machine's hire until it is up
    double boot_failure_share = 0.03;        ///< share of machines that never are
    /// Called for all that leaves a controller; must neither change the cluster nor draw chances.
    Observer observer = nullptr;
  };
  SimulatedCluster(SimulatedWorld& world, wire::Settings settings, Options options);
  ~SimulatedCluster();

  void run(Duration time);
  InvariantChecker& invariants() { return invariants_; }
  StateService& state() { return state_; }

  // Troubles.
  void crash(std::size_t node, Duration back_after);
  void cut(std::size_t node, Side side, bool hold, Duration time);
  /// The process stands still within its next callback, while its clock and its timers run on: what
  /// that callback sends leaves when it goes on, and then timers fire before anything that came
  /// meanwhile is read.
  void freeze(std::size_t node, Duration time);
  /// Each thing that a controller does takes this long of its processor, `times` that for this one
  /// for a while: what comes meanwhile waits in line, timers too. Nothing costs anything by
  /// default.
  void set_processing_time(Duration each) {
    for (auto& n : nodes_) n.each = each;
  }
  void slow_down(std::size_t node, double times, Duration time);
  /// What others say to this controller is lost on the way; what it says arrives.
  void drop_peer_messages_to(std::size_t node, Duration time);
  /// Direct commands to machines are lost for a while: what they are ordered comes with the answers
  /// to their reports.
  void drop_direct_commands(Duration time);
  /// Messages of this kind between controllers are lost for a while.
  void lose_messages(const std::string& kind, Duration time);
  /// What this controller sends for a while arrives up to `late` later, in any order, whether it
  /// still lives by then or not.
  void delay_links(std::size_t node, Duration late, Duration time);
  /// Each call of the state service takes up to `late` longer for a while.
  void slow_state_service(Duration late, Duration time);
  /// Nothing crosses the border of the zone; it is held and arrives afterwards.
  void cut_zone(const std::string& zone, Duration time);
  /// Machines stop for good. The cloud lists them as running for 30 s more, then as failed.
  void kill_machines(std::size_t count);
  void state_outage(Duration time);
  /// The state service refuses this controller alone; its open watches wait, its grant runs out.
  void reject_at_store(std::size_t node, Duration time);
  /// Answers to this controller's watches are held, all its other calls are answered.
  void stall_watches(std::size_t node, Duration time);
  /// For a while that share of transactions gets no answer and is carried out 2 to 12 s later,
  /// after newer ones. `at_once`: only the answer is lost.
  void delay_transactions(double share, Duration time, bool at_once = false);
  /// Of that share of the workers' reports a copy arrives again later, from 2 s to well over a
  /// lease, at any controller; its answer is lost.
  void duplicate_heartbeats_late(double share, Duration time);
  /// Of that share of the workers' reports a copy is kept, the oldest of each machine since the
  /// last leader began, and reaches every controller when another one leads.
  void replay_heartbeats_at_next_leader(double share, Duration time);
  /// These machines reach no controller; direct commands reach them.
  void block_heartbeats(
      const std::function<bool(const std::string& name, const std::string& zone)>& which,
      Duration time);
  /// For a while users ask at all controllers, again and again within milliseconds, and repeat the
  /// submission, right after a job was accepted, ended or confirmed as cancelled; that share of
  /// them cancels at once.
  void query_concurrently(Duration time, double cancel_at_once = 0);
  /// For a while that share of the jobs that end is called off at the moment of the end.
  void cancel_at_end(double share, Duration time);
  /// These machines stand still and go on later.
  void hang_machines(const std::set<std::string>& names, Duration time);
  /// These machines are heard, and hear nothing: neither answers to their reports nor direct
  /// commands. Machines by `which`.
  void block_inbound_to_machines(
      const std::function<bool(const std::string& name, const std::string& zone)>& which,
      Duration time);
  void cloud_outage(Duration time);
  void hang_random_machine(Duration time);
  void reclaim_machine(bool notice);
  void make_machine_faulty(Duration time);
  void inject_random_fault();

  void submit(wire::JobSpec spec, bool cancel = false);
  /// Its user cancels it, and asks again until it is answered.
  void cancel(const std::string& uid);
  wire::JobSpec random_job();
  void stop_arrivals() { arrivals_ = false; }
  /// Array jobs that are not over yet, and replicas of services that do not run.
  std::vector<std::string> unfinished() const;
  /// Tasks of each job that run on some machine now, whoever knows of it.
  std::map<std::string, std::uint32_t> running() const;
  std::size_t up_machines() const;
  std::set<std::string> all_machines() const;
  /// Machines that are no more, and those that the controllers have written down in the state
  /// service.
  std::set<std::string> terminated_machines() const;
  std::set<std::string> registered_machines() const;
  /// Tasks that were told to stop and did.
  std::size_t stopped_tasks() const { return stopped_tasks_; }
  /// A user asks this controller about the job, once; the rules see the answer.
  void query_status(const std::string& uid, std::size_t node);
  /// Machines with a task of this job that has not exited.
  std::set<std::string> machines_with(const std::string& uid) const;
  /// From now on the longest for which tasks of an accepted job waited while a machine that fits
  /// had room and its team was under its limit, without a break. Jobs that are bound to one zone by
  /// their own tasks, or spread, are left out.
  void watch_waiting_jobs();
  Duration longest_wait_with_room() const { return longest_wait_; }
  /// For how long a question about an accepted job that is not over has had no good answer, the
  /// longest of all.
  Duration longest_unanswered() const;
  bool accepted(const std::string& uid) const { return invariants_.known(uid).accepted; }
  std::string final_phase(const std::string& uid) const { return invariants_.known(uid).final; }
  /// A user submits the job once more, at this controller.
  void resubmit(const std::string& uid, std::size_t node);
  /// How long each cancellation took from the first request to its confirmation, the longest of
  /// all.
  Duration longest_cancellation() const { return longest_cancellation_; }
  /// Machines whose lease has ended at least once.
  std::size_t leases_lost() const;
  /// Machines that controllers have sent to another one, and reports that a controller gets now.
  std::size_t redirected() const { return redirected_; }
  std::size_t machines_of(std::size_t node) const;
  /// How many messages of this kind controllers have sent each other, themselves left out.
  std::size_t messages(const std::string& kind) const;
  std::size_t up_controllers() const;
  /// The controller that leads, as it sees it itself.
  std::size_t leader() const;
  const app::ControllerInstance* node(std::size_t i) const {
    return nodes_[i].controller ? &nodes_[i].controller->node() : nullptr;
  }
  void ask(std::size_t node, const net::HttpRequest& request, net::Responder respond);

 private:
  class Runtime;
  struct Task {
    std::string uid;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    wire::TaskPhase phase = wire::TaskPhase::Fetching;
    wire::ExitCause exit_cause = wire::ExitCause::None;
    std::uint64_t serial = 0;
  };
  struct Worker {
    std::string name, type, zone, address;
    bool spot = false, up = false, hung = false, sick = false, gone = false;
    int deaf = 0, mute = 0;
    std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0, serial = 0, plan = 0;
    std::size_t home = 0;
    Time last_ok{};
    std::uint64_t in_flight = 0;
    std::optional<double> preemption_notice;
    std::vector<Task> tasks;
    std::set<std::string> images;
    std::deque<std::function<void()>> while_hung;
    Time rented{};
    std::optional<Time> died;
  };
  struct NodeProcess {
    std::unique_ptr<Runtime> runtime;
    std::unique_ptr<app::ControllerSupervisor> controller;
    wire::Settings settings;
    std::map<Side, int> cut;
    std::map<Side, std::vector<std::function<void()>>> held;
    bool hold = false;
    std::uint64_t start = 0;
    bool deaf = false;
    int refused = 0, stalled = 0;
    std::vector<std::function<void()>>
        unread_watches;  ///< while it is refused, or its watches hang
    Duration late{};
    Duration each{}, worked{};
    double times = 1;
    Time busy_until{};
    bool in_line = false;  ///< the first of `line` is due when the processor is free
    std::deque<std::function<void()>> line;
    Duration freeze_next{};
    bool frozen = false;
    std::vector<std::function<void()>> unsent, late_timers, unread;  ///< while it stands still
  };
  struct UserJob {
    wire::JobSpec spec;
    double run_s = 0;
    bool always_fails = false;
    bool polled = false;  ///< its user polls it
    Time last_answer{};
    Time cancel_asked{};
  };

  void observe(std::size_t node, const std::string& to, const net::HttpRequest* request,
               const net::HttpResponse* response, const json* message) const;
  void start(std::size_t node);
  void within(std::size_t node, bool timer, std::function<void()> act);
  void wake(std::size_t node);
  void work(std::size_t node);
  void leave(std::size_t node, std::function<void()> send);
  void link(std::size_t node, Side side, std::function<void()> deliver,
            const std::string& to_zone = {});
  Duration latency() { return seconds(world_.uniform(0.001, 0.01)); }
  void to_state(std::size_t node, const net::HttpRequest& request,
                const StateService::Answer& answer);
  void release_watches(std::size_t node);
  void unheard(Worker& w);
  void to_controller(std::size_t node, Side side, const net::HttpRequest& request, Duration timeout,
                     std::function<void(net::HttpResult)> done, const std::string& zone = {});

  void cloud(const net::HttpRequest& request, const StateService::Answer& answer);
  void snapshot();
  void boot(const std::string& name);
  void remove_worker(Worker& w);

  void report(const std::string& name);
  void send_heartbeat_soon(Worker& w);
  void send_heartbeat_after(Worker& w, Duration delay);
  std::size_t home_in(const std::string& body) const;
  wire::Heartbeat account(Worker& w);
  void execute(Worker& w, const json& orders);
  void drop_all(Worker& w);
  void check_lease(Worker& w);
  void when_awake(const std::string& name, std::function<void(Worker&)> act);
  void end_task(Worker& w, Task& t, wire::ExitCause exit_cause);
  void start_task(Worker& w, Task& t);
  void image_ready(const std::string& name, std::uint64_t serial);
  void orders(const std::string& name, const net::HttpRequest& request,
              const StateService::Answer& answer);
  double free_cpus(const Worker& w) const;

  void arrive();
  void send_submission(const std::string& uid);
  void poll(const std::string& uid);
  void send_cancellation(const std::string& uid);
  /// An answer is taken in: what it newly says is looked at closely, if users do so now.
  void learn(const std::string& uid, const InvariantChecker::KnownStatus& before);
  void query_after_change(const std::string& uid);
  void check_leader();
  void hang_machine(const std::string& name, Duration time);

  SimulatedWorld& world_;
  wire::Settings settings_;
  Options options_;
  StateService state_;
  InvariantChecker invariants_;
  std::vector<NodeProcess> nodes_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, UserJob> jobs_;
  std::map<std::string, json> hires_;
  std::deque<json> snapshots_;
  Duration state_late_{};
  double writes_late_ = 0, reports_late_ = 0, answers_lost_ = 0, kept_for_next_ = 0;
  struct Copy {
    net::HttpRequest request;
    std::string zone;
  };
  std::map<std::string, Copy> for_next_;  ///< by machine
  json led_by_;
  int looking_closely_ = 0;
  double cancel_at_once_ = 0, cancel_at_end_ = 0;
  Duration longest_cancellation_{};
  std::size_t stopped_tasks_ = 0;
  void check_waiting_jobs();
  bool has_room_for(const wire::JobSpec& spec) const;
  bool watching_waits_ = false;
  std::map<std::string, Time> waiting_since_;
  Duration longest_wait_{};
  bool direct_lost_ = false;
  std::string cut_zone_;
  std::vector<std::function<void()>> at_border_;
  bool cloud_down_ = false;
  bool arrivals_ = true;
  int outages_ = 0;
  std::uint64_t next_machine_ = 1;
  std::uint64_t next_job_ = 1;
  std::uint64_t next_serial_ = 1;
  std::size_t redirected_ = 0;
  Duration told_to_wait_{};  ///< while an answer is read: its Retry-After
  std::map<std::string, std::size_t> messages_;
  std::set<std::string> lost_kinds_;
};

wire::Settings settings_for_tests();
}  // namespace limemast::simulation

#pragma once
#include <deque>
#include <set>

#include "app/controller_supervisor.hpp"
#include "simulation/invariant_checker.hpp"
#include "simulation/state_service.hpp"
#include "wire/worker.hpp"

namespace limemast::simulation {
/// A deployment in simulated time: the real controllers with simulated workers, cloud, state
/// service and users.
class SimulatedCluster {
 public:
  /// The other end of a controller's link.
  enum class Side { State, Cloud, Workers, Peers };

  /// Something that a controller sends, observed when it is sent.
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
    std::size_t log_size = 10'000;  ///< changes that the state service keeps for watches
    /// The most machines that the cloud rents out of each type and zone, spot and on-demand apart.
    std::size_t machines_per_pool = 4;
    double mean_submission_interval_s = 6;
    /// Range of the time after which inject_random_fault restarts a crashed controller.
    double min_restart_s = 0.5, max_restart_s = 15;
    /// Share of the submitted jobs, services left out, whose tasks fail on every machine.
    double failing_job_share = 0.04;
    /// A heartbeat sent because of a change replaces the next scheduled one, as with real workers.
    /// If false, the scheduled one is sent as well.
    bool early_heartbeat_replaces_next = false;
    /// Jobs do not fail at random, and services are not cancelled at random.
    bool scripted = false;
    double min_boot_s = 1, max_boot_s = 12;  ///< from the launch of a machine until it is up
    double boot_failure_share = 0.03;        ///< share of the launched machines that never come up
    /// Called for everything that a controller sends. It must not change the cluster or draw random
    /// numbers.
    Observer observer = nullptr;
  };
  SimulatedCluster(SimulatedWorld& world, wire::Settings settings, Options options);
  ~SimulatedCluster();

  void run(Duration time);
  InvariantChecker& invariants() { return invariants_; }
  StateService& state() { return state_; }

  // Faults. Each ends after `time`.
  void crash(std::size_t node, Duration restart_after);
  /// Cuts the controller's links to `side`. What is sent meanwhile is lost or, with `hold`,
  /// delivered afterwards.
  void cut(std::size_t node, Side side, bool hold, Duration time);
  /// Freezes the controller's process in its next callback, while its clock and timers run on.
  /// Afterwards what that callback sent leaves first, then due timers fire, then the requests and
  /// messages that arrived meanwhile are processed.
  void freeze(std::size_t node, Duration time);
  /// Each callback of a controller occupies its processor for this time, and later callbacks queue,
  /// timers included. The default is zero.
  void set_processing_time(Duration per_callback) {
    for (auto& n : nodes_) n.time_per_callback = per_callback;
  }
  /// Multiplies the processing time of this controller by `factor`.
  void slow_down(std::size_t node, double factor, Duration time);
  /// Drops messages from other controllers to this one. Its own messages arrive.
  void drop_peer_messages_to(std::size_t node, Duration time);
  /// Drops direct commands to machines, which then get commands only in the answers to their
  /// heartbeats.
  void drop_direct_commands(Duration time);
  /// Drops messages of this kind between controllers.
  void lose_messages(const std::string& kind, Duration time);
  /// Delays each thing that this controller sends or receives over its links by up to `max_delay`,
  /// so that the order changes. What it sent arrives even if it crashes meanwhile.
  void delay_links(std::size_t node, Duration max_delay, Duration time);
  /// Delays requests to the state service and its answers by up to `max_delay` each.
  void slow_state_service(Duration max_delay, Duration time);
  /// Holds all traffic across the border of the zone and delivers it afterwards.
  void cut_zone(const std::string& zone, Duration time);
  /// Stops random machines for good. The cloud lists them as running for kFailureListDelay, then as
  /// failed.
  void kill_machines(std::size_t count);
  /// Stops these machines for good, likewise.
  void kill_machines(const std::set<std::string>& names);
  /// From now on the cloud rents out at most this many machines of the type in the zone, spot or
  /// on-demand. Machines that are rented already stay.
  void set_pool_size(const std::string& type, const std::string& zone, bool spot,
                     std::size_t machines) {
    pool_sizes_[{type, zone, spot}] = machines;
  }
  void state_outage(Duration time);
  /// The state service rejects the requests of this controller alone and holds the answers to its
  /// open watches, so that its lease expires.
  void reject_at_store(std::size_t node, Duration time);
  /// Holds the answers to this controller's watches. Its other requests are answered.
  void stall_watches(std::size_t node, Duration time);
  /// Gives this share of the transactions no answer and executes them 2 to 12 s later, after newer
  /// ones, or at once with `execute_at_once`.
  void delay_transactions(double share, Duration time, bool execute_at_once = false);
  /// For this share of the heartbeats a copy reaches a random controller between 2 s and 1.6 worker
  /// leases later. The answer to the copy is lost.
  void duplicate_heartbeats_late(double share, Duration time);
  /// For this share of the controllers' requests to `receiver` that are executed and answered, a
  /// copy arrives between 2 and 20 s later and is handled like any other request. Its answer is
  /// lost. Requests that only read are not copied.
  void duplicate_requests_late(Side receiver, double share, Duration time);
  /// Likewise for submissions and cancellations of users. The copy reaches a random controller.
  void duplicate_user_requests_late(double share, Duration time);
  /// Copies that have arrived because of duplicate_requests_late or duplicate_user_requests_late.
  std::size_t duplicates_delivered() const { return duplicates_delivered_; }
  /// Copies of requests to the cloud that launched or terminated a machine.
  std::size_t cloud_duplicates_with_effect() const { return cloud_duplicates_with_effect_; }
  /// Raises each machine's fencing token to the last one of its epoch.
  void exhaust_fencing_tokens();
  /// Sets each machine's fencing token back to the first one of its epoch, as no worker does.
  void reset_fencing_tokens();
  /// How often a worker executed a Start command of an attempt that it had executed before in the
  /// same incarnation. Each attempt may be started only once.
  std::size_t attempts_started_twice() const { return attempts_started_twice_; }
  /// Copies this share of the heartbeats and keeps each machine's oldest copy since the last change
  /// of leader. The copies reach every controller when another one becomes leader.
  void replay_heartbeats_at_next_leader(double share, Duration time);
  /// The heartbeats of the machines chosen by `which` reach no controller. Direct commands reach
  /// these machines.
  void block_heartbeats(
      const std::function<bool(const std::string& name, const std::string& zone)>& which,
      Duration time);
  /// Right after a job was accepted, finished or confirmed as cancelled, users query all
  /// controllers several times within milliseconds and resubmit the job. They cancel this share of
  /// the newly accepted jobs at once.
  void query_concurrently(Duration time, double cancel_at_once = 0);
  /// This share of the jobs is cancelled when the last task ends.
  void cancel_at_end(double share, Duration time);
  void hang_machines(const std::set<std::string>& names, Duration time);
  /// The heartbeats of the machines chosen by `which` arrive, but these machines get neither the
  /// answers nor direct commands.
  void block_inbound_to_machines(
      const std::function<bool(const std::string& name, const std::string& zone)>& which,
      Duration time);
  void cloud_outage(Duration time);
  /// Replaces Options::boot_failure_share for the machines launched from now on.
  void set_boot_failure_share(double share) { options_.boot_failure_share = share; }
  void hang_random_machine(Duration time);
  /// Preempts a random spot machine, 5 s after a notice or without one.
  void reclaim_machine(bool notice);
  /// All tasks that start on some machine fail.
  void make_machine_faulty(Duration time);
  void inject_random_fault();

  /// With `cancel_later`, its user cancels the job after a random time.
  void submit(wire::JobSpec spec, bool cancel_later = false);
  /// Tasks of this submitted job that start from now on run for `run_time_s`, whatever its
  /// estimate.
  void set_run_time(const std::string& uid, double run_time_s) {
    jobs_.at(uid).run_time_s = run_time_s;
  }
  /// The job's user cancels it and repeats the request until it is confirmed.
  void cancel(const std::string& uid);
  wire::JobSpec random_job();
  void stop_arrivals() { random_submissions_ = false; }
  /// Jobs without a known final status, apart from services and jobs that always fail.
  std::vector<std::string> unfinished() const;
  /// Running tasks of each job on all machines, whether or not a controller knows of them.
  std::map<std::string, std::uint32_t> running() const;
  std::size_t up_machines() const;
  std::set<std::string> all_machines() const;
  std::set<std::string> terminated_machines() const;
  /// Machines in the registration records of the state service.
  std::set<std::string> registered_machines() const;
  /// The number of tasks that ended because of a Stop command.
  std::size_t stopped_tasks() const { return stopped_tasks_; }
  /// A user queries the job's status once, at this controller. The invariants are checked on the
  /// answer.
  void query_status(const std::string& uid, std::size_t node);
  /// Machines with a task of this job that has not exited.
  std::set<std::string> machines_with(const std::string& uid) const;
  /// Whether a working machine that the job may use has room for one of its tasks and the team is
  /// below its limit.
  bool has_room_for(const wire::JobSpec& spec) const;
  /// Machines that the cloud has rented out so far.
  std::size_t launched_machines() const { return workers_.size(); }
  /// Starts to measure longest_wait_with_room anew.
  void watch_waiting_jobs();
  /// The longest uninterrupted time during which tasks of an accepted job waited although a
  /// suitable machine had room and the team was below its limit. Jobs bound to one zone by their
  /// own tasks, spread jobs and gangs are left out.
  Duration longest_wait_with_room() const { return longest_wait_; }
  /// The longest time since the last successful status poll of an accepted job without a known
  /// final status.
  Duration longest_unanswered() const;
  bool accepted(const std::string& uid) const { return invariants_.known(uid).accepted; }
  /// The job's final phase if its user knows it, else "".
  std::string final_phase(const std::string& uid) const { return invariants_.known(uid).final; }
  /// A user repeats the job's submission at this controller.
  void resubmit(const std::string& uid, std::size_t node);
  /// The longest time from the first request for a cancellation to its confirmation.
  Duration longest_cancellation() const { return longest_cancellation_; }
  /// Machines whose lease has expired at least once.
  std::size_t leases_lost() const;
  /// How often a machine was redirected to another controller.
  std::size_t redirected() const { return redirected_; }
  /// Machines that send their heartbeats to this controller now.
  std::size_t machines_of(std::size_t node) const;
  /// The number of messages of this kind that controllers have sent to other controllers.
  std::size_t messages(const std::string& kind) const;
  /// Controllers that run and may act.
  std::size_t up_controllers() const;
  /// The index of the first controller that considers itself leader; if there is none, the last
  /// index.
  std::size_t leader() const;
  const app::ControllerInstance* node(std::size_t i) const {
    return nodes_[i].controller ? &nodes_[i].controller->node() : nullptr;
  }
  /// Sends an operator's request to the controller without latency, unless its process is down.
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
    bool spot = false, up = false, hung = false, faulty = false, terminated = false;
    int inbound_blocked = 0, heartbeats_blocked = 0;  ///< the number of faults that block it
    std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0, serial = 0, heartbeat_timer = 0;
    std::size_t heartbeat_target = 0;  ///< index of the controller that gets its heartbeats
    Time last_acknowledged_at{};       ///< when the last heartbeat that renewed its lease was sent
    std::uint64_t heartbeat_in_flight = 0;
    std::optional<double> preemption_notice;
    std::vector<Task> tasks;
    std::set<std::tuple<std::string, std::uint32_t, std::uint64_t>>
        started_attempts;  ///< in this incarnation
    std::set<std::string> images;
    std::deque<std::function<void()>> while_hung;
    Time launched_at{};
    std::optional<Time> died_at;
  };
  struct NodeProcess {
    std::unique_ptr<Runtime> runtime;
    std::unique_ptr<app::ControllerSupervisor> controller;
    wire::Settings settings;
    std::map<Side, int> cut;
    std::map<Side, std::vector<std::function<void()>>> held_deliveries;
    bool hold_while_cut = false;
    std::uint64_t process_number = 0;  ///< counts the starts of this controller
    bool drops_peer_messages = false;
    int rejected_by_store = 0, watches_stalled = 0;
    std::vector<std::function<void()>>
        held_watch_answers;  ///< while the state service rejects it or its watches are stalled
    Duration max_link_delay{};
    Duration time_per_callback{}, busy_time{};
    double slowdown = 1;
    Time busy_until{};
    bool queue_timer_set = false;  ///< process_callback_queue is scheduled for busy_until
    std::deque<std::function<void()>> callback_queue;
    Duration freeze_at_next_callback{};
    bool frozen = false;
    std::vector<std::function<void()>> held_sends, held_timers, held_arrivals;  ///< while frozen
  };
  struct UserJob {
    wire::JobSpec spec;
    double run_time_s = 0;
    bool always_fails = false;
    bool polled = false;  ///< its user polls its status
    Time last_answer_at{};
    Time cancel_requested_at{};
  };

  void observe(std::size_t node, const std::string& to, const net::HttpRequest* request,
               const net::HttpResponse* response, const json* message);
  /// Checks the fencing token of a command that leaves a controller.
  void check_token(std::size_t node, const std::string& to, const net::HttpRequest* request,
                   const net::HttpResponse* response);
  void start(std::size_t node);
  /// Runs a callback of the controller at once, queues it while the processor is busy, or holds it
  /// while the process is frozen.
  void run_on_controller(std::size_t node, bool timer, std::function<void()> act);
  void resume(std::size_t node);
  void process_callback_queue(std::size_t node);
  void send_unless_frozen(std::size_t node, std::function<void()> send);
  void send_over_link(std::size_t node, Side side, std::function<void()> deliver,
                      const std::string& to_zone = {});
  Duration latency() { return seconds(world_.uniform(0.001, 0.01)); }
  void to_state(std::size_t node, const net::HttpRequest& request,
                const StateService::Answer& answer);
  void handle_controller_request(std::size_t node, Side receiver, const net::Endpoint& to,
                                 const net::HttpRequest& request,
                                 const StateService::Answer& answer);
  /// Called when the request was executed: delivers a copy of it later if the fault chooses it.
  void duplicate_late(Side receiver, const net::Endpoint& to, const net::HttpRequest& request);
  void deliver_duplicate(Side receiver, const net::Endpoint& to, const net::HttpRequest& request);
  void duplicate_user_request_late(const net::HttpRequest& request);
  void release_watches(std::size_t node);
  void retry_with_next_controller(Worker& w);
  void to_controller(std::size_t node, Side side, const net::HttpRequest& request, Duration timeout,
                     std::function<void(net::HttpResult)> done, const std::string& zone = {});

  void handle_cloud_request(const net::HttpRequest& request, const StateService::Answer& answer);
  void record_machine_list();
  void boot(const std::string& name);
  void remove_worker(Worker& w);

  void send_heartbeat(const std::string& name);
  void send_heartbeat_soon(Worker& w);
  void send_heartbeat_after(Worker& w, Duration delay);
  std::size_t redirect_target(const std::string& body) const;
  wire::Heartbeat make_heartbeat(Worker& w);
  void execute_commands(Worker& w, const json& commands);
  void drop_all_tasks(Worker& w);
  void check_lease(Worker& w);
  /// The machine stops with all that is on it.
  void kill(Worker& w);
  /// The most machines that the cloud rents out of this kind.
  std::size_t pool_size(const std::string& type, const std::string& zone, bool spot) const;
  /// Runs `act` on the machine now, or when it no longer hangs. Does nothing if it is not up.
  void when_not_hung(const std::string& name, std::function<void(Worker&)> act);
  void end_task(Worker& w, Task& t, wire::ExitCause exit_cause);
  void start_task(Worker& w, Task& t);
  void image_ready(const std::string& name, std::uint64_t serial);
  void handle_direct_commands(const std::string& name, const net::HttpRequest& request,
                              const StateService::Answer& answer);
  double free_cpus(const Worker& w) const;

  void submit_random_jobs();
  void send_submission(const std::string& uid);
  void poll(const std::string& uid);
  void send_cancellation(const std::string& uid);
  /// If an answer changed what the user knows of the job, starts the queries of query_concurrently
  /// while that fault is on.
  void follow_up_answer(const std::string& uid, const InvariantChecker::KnownStatus& before);
  void query_after_change(const std::string& uid);
  void replay_heartbeats_to_new_leader();
  void hang_machine(const std::string& name, Duration time);

  SimulatedWorld& world_;
  wire::Settings settings_;
  Options options_;
  StateService state_;
  InvariantChecker invariants_;
  std::vector<NodeProcess> nodes_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, UserJob> jobs_;
  std::map<std::tuple<std::string, std::string, bool>, std::size_t>
      pool_sizes_;                        ///< by type, zone and whether spot
  std::map<std::string, json> launches_;  ///< answers to launch requests, by the request's name
  std::deque<json> machine_lists_;        ///< one a second, the newest first
  Duration max_state_delay_{};
  double delayed_transaction_share_ = 0, duplicated_heartbeat_share_ = 0,
         lost_transaction_answer_share_ = 0, replayed_heartbeat_share_ = 0;
  std::map<Side, double> duplicated_request_share_;  ///< by receiver
  double duplicated_user_request_share_ = 0;
  std::size_t duplicates_delivered_ = 0, cloud_duplicates_with_effect_ = 0,
              attempts_started_twice_ = 0;
  struct SavedHeartbeat {
    net::HttpRequest request;
    std::string zone;
  };
  std::map<std::string, SavedHeartbeat> heartbeats_to_replay_;  ///< by machine
  json last_leader_;
  int concurrent_query_faults_ = 0;
  double cancel_after_accept_share_ = 0, cancel_at_end_share_ = 0;
  Duration longest_cancellation_{};
  std::size_t stopped_tasks_ = 0;
  void check_waiting_jobs();
  bool watching_waiting_jobs_ = false;
  std::map<std::string, Time> waiting_since_;
  Duration longest_wait_{};
  bool direct_commands_dropped_ = false;
  std::string isolated_zone_;
  std::vector<std::function<void()>> held_at_zone_border_;
  bool cloud_down_ = false;
  bool random_submissions_ = true;
  int state_outages_ = 0;
  std::uint64_t next_machine_ = 1;
  std::uint64_t next_job_ = 1;
  std::uint64_t next_serial_ = 1;
  std::size_t redirected_ = 0;
  Duration retry_after_{};  ///< Retry-After of the answer that is being processed
  std::map<std::string, std::size_t> messages_sent_;
  std::set<std::string> dropped_message_kinds_;
};

/// Three zones and two teams; only team red has a guarantee and a limit.
wire::Settings settings_for_tests();
}  // namespace limemast::simulation

// A job bound to one zone loses its machine while a larger job is bound to another zone.
#include "../standin/world.hpp"

namespace {
using namespace standin;

JobShape service(const std::string& district, int shards, double cpus) {
  JobShape j;
  j.workload = "assetfeed";
  j.team = "corrosion-lab";
  j.shape = "daemon";
  j.rank = "production";
  j.shards = shards;
  j.cpus = cpus;
  j.ram_gb = 3.1;
  j.expect_s = 0;
  j.run_s = 1e6;
  j.district = district;
  return j;
}

constexpr int kFirInKootenay = 6;

/// Whether a machine of kootenay has no task or is still booting.
bool some_machine_is_empty(Deployment& d) {
  int used = 0;
  for (const auto& worker : d.cloud->workers())
    if (worker->zone() == "kootenay" && worker->live_tasks() > 0) ++used;
  return used < kFirInKootenay - d.cloud->left("fir/kootenay");
}

void start(Deployment& d, const std::string& uid, std::size_t tasks) {
  if (!d.insist("submit", uid)) d.give_up("a job is not accepted");
  if (!d.wait_running(uid, tasks, 25)) d.give_up("a job does not start");
}
}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 3) return 2;
  static Deployment d(waterworks(), {},
                      {{"cedar/fraser", 11},
                       {"cedar/burrard", 7},
                       {"fir/fraser", 4},
                       {"fir/kootenay", kFirInKootenay},
                       {"fir/burrard", 3}},
                      argv[1], argv[2]);
  if (!d.wait_ready(20)) d.give_up("the controllers do not become ready");

  start(d, d.add_job(service("kootenay", 1, 2)), 1);
  JobShape sync;
  sync.cpus = 16;
  sync.ram_gb = 4.4;
  sync.district = "kootenay";
  sync.expect_s = 50;
  sync.run_s = 60;
  const auto job = d.add_job(sync);
  start(d, job, 1);
  start(d, d.add_job(service("fraser", 10, 4)), 10);
  // Fills the machines of kootenay that are still empty, so that the job needs a new one.
  // A machine that is kept for services takes no other job for a while.
  sync.run_s = 200;
  int fillers = 0;
  for (Time full = Clock::now(); seconds_between(full, Clock::now()) < 4;) {
    pause(0.2);
    if (!some_machine_is_empty(d)) continue;
    auto kept = service("kootenay", 1, 16);
    kept.rank = "standard";  // stops no other task
    const auto filler = d.add_job(fillers % 2 == 0 ? sync : kept);
    if (++fillers > 4 || !d.insist("submit", filler)) d.give_up("a machine stays empty");
    for (int i = 0; i < 40 && some_machine_is_empty(d); ++i) pause(0.2);
    full = Clock::now();
  }

  const auto machines = d.ledger.machines_of(job);
  if (machines.empty()) d.give_up("the job does not run any more");
  const auto machine = *machines.begin();
  if (with_trouble()) d.cloud->stop(machine);
  const auto lost = Clock::now();
  const double last = 109 - d.record.now();
  for (double next = 0; seconds_between(lost, Clock::now()) < last;) {
    pause(0.2);
    if (d.ledger.completed_tasks(job) == 1) break;
    if (seconds_between(lost, Clock::now()) < next) continue;
    next += 10;
    d.record.line(std::to_string(seconds_between(lost, Clock::now())) +
                  " s after the loss: " + std::to_string(d.ledger.tasks_on_machines(job)) +
                  " tasks of " + job + " on machines; the cloud has " +
                  std::to_string(d.cloud->left("fir/kootenay")) + " more fir in kootenay");
    d.request(static_cast<std::size_t>(next / 10) % 3, "poll", job);
  }
  if (d.ledger.completed_tasks(job) == 0 && d.ledger.tasks_on_machines(job) == 0)
    d.ledger.broken("accepted_must_run", job + " is on no machine " +
                                             std::to_string(seconds_between(lost, Clock::now())) +
                                             " s after the loss of its machine");
  d.finish();
}

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

constexpr int kFirInKootenay = 4;

int rented_in_kootenay(Deployment& d) { return kFirInKootenay - d.cloud->left("fir/kootenay"); }

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
  sync.expect_s = 60;
  sync.run_s = 110;
  const auto job = d.add_job(sync);
  start(d, job, 1);
  start(d, d.add_job(service("fraser", 10, 4)), 10);
  // Machines beyond the two that are needed in kootenay are given back after a while.
  constexpr int kNeeded = 2;
  for (int i = 0; i < 400 && rented_in_kootenay(d) > kNeeded; ++i) pause(0.1);
  if (rented_in_kootenay(d) != kNeeded)
    d.give_up("there are other machines in kootenay than expected");

  const auto machine = *d.ledger.machines_of(job).begin();
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

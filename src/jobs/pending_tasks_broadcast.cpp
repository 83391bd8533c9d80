#include "jobs/pending_tasks_broadcast.hpp"

#include "messages/probes.hpp"

namespace limemast::jobs {
namespace {
using namespace std::chrono_literals;
constexpr auto kRepeatInterval = 5s;

PendingTasksAnnouncement::Counts counts_of(const Job& job) {
  return {job.pending(), job.unfinished()};
}
}  // namespace

bool PendingTasksBroadcast::is_due(const Job& job) const {
  return job.announcement.last != counts_of(job) ||
         runtime_.now() - job.announcement.last_at > kRepeatInterval;
}

void PendingTasksBroadcast::send(const std::vector<Job*>& jobs) {
  messages::PendingTasks message;
  for (auto* job : jobs) {
    const auto counts = counts_of(*job);
    message.jobs.push_back({job->record.spec.uid, counts.pending, counts.unfinished});
    job->announcement = {counts, runtime_.now(), false};
    if (counts.pending == 0) job->probing.machines.clear();
  }
  message_bus_.broadcast(message);
  message_bus_.send(membership_.self(), message);
}
}  // namespace limemast::jobs

#include "jobs/job.hpp"

namespace limemast::jobs {
const char* name_of(Phase phase) {
  switch (phase) {
    case Phase::Pending:
      return "pending";
    case Phase::Running:
      return "running";
    case Phase::Done:
      return "done";
    case Phase::Cancelled:
      return "cancelled";
  }
  return "";
}

std::optional<Phase> final_phase(const std::string& name) {
  for (const auto phase : {Phase::Done, Phase::Cancelled})
    if (name == name_of(phase)) return phase;
  return std::nullopt;
}

std::optional<Phase> final_phase(const wire::json& record) {
  return final_phase(cluster::text_in(record, "phase"));
}

Status status_of(const Job& job) {
  Status status;
  status.done = job.completed_tasks;
  for (const auto& [index, assignment] : job.assignments) status.running += assignment.running;
  status.final_record_pending = job.final_phase && !job.completed;
  if (job.completed)
    status.phase = *job.final_phase;
  else
    status.phase = status.running > 0 ? Phase::Running : Phase::Pending;
  return status;
}
}  // namespace limemast::jobs
